/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Reports lost runs and answers to suspected requests, retrying until a control instance accepts them. */

import { randomUUID } from 'node:crypto';
import { type Millis, systemClock } from '../../../base/clock.js';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import { reportRunsMethod } from '../common/fleetWire.js';
import {
	type AnsweredRequest,
	type ObservedLostRun,
	type RunReport,
	toReportedRun
} from '../common/quarantineTypes.js';

/** Reports within this time are sent in one call; a terminating target loses all its runs at once. */
const BATCH_WINDOW_MS = 30;
const CALL_TIMEOUT_MS = 600;
/** Pause between calls until each control instance has been tried once. */
const RETRY_PAUSE_MS = 100;
/** Pause between calls after that. */
const SLOW_RETRY_PAUSE_MS = 1000;
/** Maximum number of pending runs, and of pending digests; the oldest are dropped beyond it. */
const MAX_PENDING = 256;

interface DatedAnswer extends AnsweredRequest {
	/** On the monotonic clock. */
	readonly answeredAt: Millis;
}

/** Sends the lost runs and answers that the control instances have not yet accepted. */
export class RunReporter {
	private _pendingRuns: ObservedLostRun[] = [];
	private _answers: AnsweredRequest[] = [];
	private _earlierAnswers: DatedAnswer[] = [];
	private _isSending = false;
	private _isStopped = false;

	/** @param _controlAddresses addresses of the control instances in the order to try them */
	constructor(
		private readonly _calls: IPeerCalls,
		private readonly _controlAddresses: () => readonly string[],
		private readonly _log: ILogService
	) {}

	/** Queues a lost run. */
	reportRun(run: ObservedLostRun): void {
		this._pendingRuns.push(run);
		this._startSending();
	}

	/** Queues the digest of a suspected request that a target answered. */
	reportAnswer(digest: string): void {
		if (!this._answers.some(answer => answer.digest === digest)) {
			this._answers.push({ digest, reportId: randomUUID() });
			this._startSending();
		}
	}

	/** Queues when a request that became suspected was last answered. */
	reportEarlierAnswer(digest: string, answeredAt: Millis): void {
		this._earlierAnswers.push({ digest, reportId: randomUUID(), answeredAt });
		this._startSending();
	}

	/** Stops sending; pending reports are discarded. */
	stop(): void {
		this._isStopped = true;
	}

	private _startSending(): void {
		this._pendingRuns = this._pendingRuns.slice(-MAX_PENDING);
		this._answers = this._answers.slice(-MAX_PENDING);
		this._earlierAnswers = this._earlierAnswers.slice(-MAX_PENDING);
		if (!this._isSending) {
			this._isSending = true;
			void this._sendPending();
		}
	}

	private get _hasPending(): boolean {
		return this._pendingRuns.length + this._answers.length + this._earlierAnswers.length > 0;
	}

	private async _sendPending(): Promise<void> {
		await pause(BATCH_WINDOW_MS);
		for (let attempt = 0; !this._isStopped && this._hasPending; attempt++) {
			const runs = this._pendingRuns;
			const answered = this._answers;
			const earlier = this._earlierAnswers;
			if (await this._send(attempt, runs, answered, earlier)) {
				this._pendingRuns = this._pendingRuns.filter(run => !runs.includes(run));
				this._answers = this._answers.filter(answer => !answered.includes(answer));
				this._earlierAnswers = this._earlierAnswers.filter(answer => !earlier.includes(answer));
			} else {
				await pause(attempt < this._controlAddresses().length ? RETRY_PAUSE_MS : SLOW_RETRY_PAUSE_MS);
			}
		}
		this._isSending = false;
	}

	/**
	 * Sends a report to the control instance whose turn it is.
	 * @returns whether it was accepted
	 */
	private async _send(
		attempt: number,
		runs: readonly ObservedLostRun[],
		answered: readonly AnsweredRequest[],
		earlier: readonly DatedAnswer[]
	): Promise<boolean> {
		const controls = this._controlAddresses();
		const address = controls[attempt % Math.max(1, controls.length)];
		if (address === undefined) {
			return false;
		}
		const now = systemClock.now();
		const report: RunReport = {
			endedRuns: runs.map(run => toReportedRun(run, now)),
			answered,
			earlierAnswers: earlier.map(({ answeredAt, ...answer }) => ({ ...answer, agoMs: now - answeredAt }))
		};
		try {
			await this._calls.call(address, reportRunsMethod, { report, isForwarded: false }, CALL_TIMEOUT_MS);
			return true;
		} catch (error) {
			const reason = (error as Error).message;
			this._log.warn('cannot report lost runs', { task: 'fleet', address, runs: runs.length, reason });
			return false;
		}
	}
}

function pause(ms: Millis): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}
