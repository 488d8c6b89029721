/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Filters correlated losses: targets that stop together, for instance with their data hall, may have been executing the same
 * request, and are evidence against it only once. A lost run counts if it was sent after the last counted one had ended.
 */

import type { Millis } from '../../../base/clock.js';
import type { ReportedLostRun } from './quarantineTypes.js';

/** Number of requests tracked; above it the oldest is evicted, and the next lost run of that request always counts. */
const MAX_REQUESTS = 2048;

/** Maximum difference between the delays of two reports; a run sent this long after another one had ended was certainly sent later. */
const MAX_REPORT_SKEW_MS = 500;

/**
 * Targets that stop within this time count as one loss, even if the request was sent to the second only after the first had
 * failed. Must exceed the delay between regions, by which an instance may notice two simultaneous stops apart.
 */
const SIMULTANEOUS_LOSS_MS = 50;

interface RecordedLoss {
	readonly targetId: string;
	readonly requestId: string;
	readonly endedAt: Millis;
}

/** Tracks the last counted loss of each request. Does no I/O; callers pass the time. */
export class IndependentLossFilter {
	private readonly _lastByDigest = new Map<string, RecordedLoss>();

	/** Returns whether a lost run counts, and records it if so; a repeated report of the last recorded run is accepted again. */
	recordIfIndependent(run: ReportedLostRun, now: Millis): boolean {
		const { digest, requestId, targetId } = run;
		const last = this._lastByDigest.get(digest);
		if (last?.requestId === requestId && last.targetId === targetId) {
			return true;
		}
		const endedAt = now - run.endedAgoMs;
		if (last && !isIndependent(run, last, now - run.sentAgoMs, endedAt)) {
			return false;
		}
		this._recordLoss(digest, { requestId, targetId, endedAt });
		return true;
	}

	private _recordLoss(digest: string, loss: RecordedLoss): void {
		this._lastByDigest.delete(digest);
		this._lastByDigest.set(digest, loss);
		if (this._lastByDigest.size > MAX_REQUESTS) {
			this._lastByDigest.delete(this._lastByDigest.keys().next().value!);
		}
	}
}

/**
 * Whether a run was sent after the recorded loss. If it is the next attempt of the same request, or was sent while the request
 * was already suspected, that is known without comparing times, and only simultaneous stops are excluded.
 */
function isIndependent(run: ReportedLostRun, last: RecordedLoss, sentAt: Millis, endedAt: Millis): boolean {
	if (sentAt >= last.endedAt + MAX_REPORT_SKEW_MS) {
		return true;
	}
	const isNextAttempt = run.requestId === last.requestId && run.afterTargetId === last.targetId;
	return (isNextAttempt || run.wasSuspected) && endedAt >= last.endedAt + SIMULTANEOUS_LOSS_MS;
}
