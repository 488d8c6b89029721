/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Tells a fault of this instance's links from faults of targets: several targets that fail or fall silent while not a single one
 * responds make the links suspect. A suspicion has to be confirmed by health checks of other targets.
 */

import type { Millis } from '../../../base/clock.js';

/** Targets that have to fail, or fall silent, without a response of any target. */
const MIN_SUSPECT_TARGETS = 3;
/** An attempt is overdue after this time at the earliest, and only if no target has responded for as long. */
const MIN_SILENCE_MS: Millis = 500;
/** An attempt is overdue after the typical response time, multiplied by this. */
const OVERDUE_FACTOR = 1.5;
const INITIAL_RESPONSE_MS: Millis = 500;
const RESPONSE_TIME_SMOOTHING = 0.1;

/** An attempt at a target that has not been answered. */
interface PendingAttempt {
	readonly targetId: string;
	readonly sentAt: Millis;
}

/** Identifies an attempt that was begun. */
export type AttemptHandle = symbol;

/** What this instance's attempts show about its links to targets. */
export class TargetContact {
	private _contactAt: Millis;
	private _typicalResponseMs = INITIAL_RESPONSE_MS;
	/** When attempts at targets last failed without a response, since the last contact with any target. */
	private readonly _failures = new Map<string, Millis>();
	private readonly _pending = new Map<AttemptHandle, PendingAttempt>();

	constructor(now: Millis) {
		this._contactAt = now;
	}

	/** When any target last responded. */
	get contactAt(): Millis {
		return this._contactAt;
	}

	/** Records an attempt that is about to be made. */
	begin(targetId: string, now: Millis): AttemptHandle {
		const handle = Symbol(targetId);
		this._pending.set(handle, { targetId, sentAt: now });
		return handle;
	}

	/** Records that a target has responded to an attempt, whatever the response is. */
	recordResponse(handle: AttemptHandle, now: Millis): void {
		const attempt = this._take(handle);
		if (attempt) {
			this._typicalResponseMs += RESPONSE_TIME_SMOOTHING * (now - attempt.sentAt - this._typicalResponseMs);
		}
		this.recordContact(now);
	}

	/** Records that an attempt ended without any response: no connection, a lost one, or one that stayed silent. */
	recordFailure(handle: AttemptHandle, now: Millis): void {
		const attempt = this._take(handle);
		if (attempt) {
			this._failures.set(attempt.targetId, now);
		}
	}

	/** Records the end of an attempt that shows nothing, as when its caller has left early. */
	discard(handle: AttemptHandle): void {
		this._take(handle);
	}

	/** Records that a target responded. */
	recordContact(now: Millis): void {
		this._contactAt = Math.max(this._contactAt, now);
		this._failures.clear();
	}

	/** Number of targets whose attempts have failed since a time, and since the last contact. */
	failedTargetsSince(since: Millis): number {
		return [...this._failures.values()].filter(at => at >= since).length;
	}

	/** Whether the last attempt at a target failed, and no target has responded since. */
	hasFailed(targetId: string): boolean {
		return this._failures.has(targetId);
	}

	/** Time after which a response is overdue. */
	get overdueMs(): Millis {
		return Math.max(MIN_SILENCE_MS, OVERDUE_FACTOR * this._typicalResponseMs);
	}

	/** Whether the links of this instance, rather than single targets, seem to have failed. */
	isSuspect(now: Millis): boolean {
		const suspectTargets = new Set(this._failures.keys());
		const { overdueMs } = this;
		if (now - this._contactAt >= overdueMs) {
			for (const { targetId, sentAt } of this._pending.values()) {
				if (now - sentAt >= overdueMs) {
					suspectTargets.add(targetId);
				}
			}
		}
		return suspectTargets.size >= MIN_SUSPECT_TARGETS;
	}

	private _take(handle: AttemptHandle): PendingAttempt | undefined {
		const attempt = this._pending.get(handle);
		this._pending.delete(handle);
		return attempt;
	}
}
