/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What may be claimed about a request that did not end normally. */

import type { Millis } from './clock.js';

/**
 * Whether a request ran at a target.
 * - `not-run`: certain that no byte of it was written to a target's socket.
 * - `may-have-run`: bytes may have reached a target and its answer is missing.
 * - `ran`: a target answered.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Why the system itself answered a request; a closed list so that metrics stay bounded. */
export enum RefusalReason {
	BadRequest = 'bad-request',
	UnknownService = 'unknown-service',
	UnknownGroup = 'unknown-group',
	/** The caller showed no key, or one that no team holds. */
	UnknownKey = 'unknown-key',
	/** The homes of its route and of its team have no region in common. */
	NoHomeRegion = 'no-home-region',
	/** Targets ended under it, one after the other: it is sent to none any more. */
	Quarantined = 'quarantined',
	/** Its team has used up its limit. */
	OverLimit = 'over-limit',
	BodyTooLarge = 'body-too-large',
	NoConfiguration = 'no-configuration',
	NoCapacity = 'no-capacity',
	/** All targets that it could go to want to be left alone for now. */
	TargetsAtRest = 'targets-at-rest',
	/** All targets that it could go to are at the limits that they named for all instances, or want to be left alone. */
	TargetsAtLimit = 'targets-at-limit',
	LinkFull = 'link-full',
	QueueFull = 'queue-full',
	DeadlinePassed = 'deadline-passed',
	DeadlineUnreachable = 'deadline-unreachable',
	NoQuorum = 'no-quorum',
	OrderKeyTooOld = 'order-key-too-old',
	OrderKeyConflict = 'order-key-conflict',
	OrderInProgress = 'order-in-progress',
	OrderOutcomeUnknown = 'order-outcome-unknown',
	AnswerNotKept = 'answer-not-kept',
	TargetFailed = 'target-failed',
	Cancelled = 'cancelled',
	Draining = 'draining'
}

/** A request given up on by the system, with what is certain about it. */
export class RequestError extends Error {
	/**
	 * @param verdict what is certain about the request
	 * @param reason the cause, from the closed list
	 * @param status the HTTP status of the answer
	 * @param retryAfterMs when asking again may help, in milliseconds
	 */
	constructor(
		readonly verdict: Verdict,
		readonly reason: RefusalReason,
		readonly status: number,
		message: string,
		readonly retryAfterMs?: Millis
	) {
		super(message);
		this.name = 'RequestError';
	}
}
