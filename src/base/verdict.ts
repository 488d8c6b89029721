/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Outcomes and errors of requests that the system itself answers. */

import type { Millis } from './clock.js';

/**
 * Whether a request ran at a target.
 * - `not-run`: no byte of it was written to the socket of a target.
 * - `may-have-run`: bytes may have reached a target, but there is no complete response.
 * - `ran`: a target responded.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Why the system itself answered a request; a closed list, which bounds the cardinality of metrics. */
export enum RefusalReason {
	BadRequest = 'bad-request',
	UnknownService = 'unknown-service',
	UnknownGroup = 'unknown-group',
	/** The request has no API key, or one that belongs to no team. */
	UnknownKey = 'unknown-key',
	/** The route and the team of the request have no home region in common. */
	NoHomeRegion = 'no-home-region',
	/** Several targets stopped while running the request, so it is not sent to further targets. */
	Quarantined = 'quarantined',
	/** The team of the request has used up its rate limit. */
	OverLimit = 'over-limit',
	BodyTooLarge = 'body-too-large',
	NoConfiguration = 'no-configuration',
	NoCapacity = 'no-capacity',
	/** During a shortage of slots, requests of a higher rank go first. */
	LowRank = 'low-rank',
	/** During a shortage of slots, the team asks for more than its share. */
	OverTeamShare = 'over-team-share',
	/** All eligible targets requested backoff. */
	TargetsBackingOff = 'targets-at-rest',
	/** All eligible targets are at their reported rate limits or requested backoff. */
	TargetsRateLimited = 'targets-at-limit',
	LinkFull = 'link-full',
	/** This instance has more requests than its processor can pass on. */
	Overloaded = 'overloaded',
	QueueFull = 'queue-full',
	DeadlinePassed = 'deadline-passed',
	DeadlineUnreachable = 'deadline-unreachable',
	NoQuorum = 'no-quorum',
	OrderKeyTooOld = 'order-key-too-old',
	OrderKeyConflict = 'order-key-conflict',
	OrderInProgress = 'order-in-progress',
	OrderOutcomeUnknown = 'order-outcome-unknown',
	ResponseNotStored = 'answer-not-kept',
	TargetFailed = 'target-failed',
	/** This instance is partitioned from all targets, and no other instance took the request. */
	TargetsUnreachable = 'targets-unreachable',
	Cancelled = 'cancelled',
	Draining = 'draining'
}

/** The system failed or refused a request. */
export class RequestError extends Error {
	/**
	 * @param verdict whether the request ran at a target
	 * @param status HTTP status of the response
	 * @param retryAfterMs delay after which a retry may succeed, in milliseconds
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
