/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** One request on its way to its answer, and what outcomes mean for it. */

import type { Millis } from '../../../base/clock.js';
import { RefusalReason } from '../../../base/verdict.js';
import { type LimitAnswer, LimitVerdict } from '../../limits/common/teamLimits.js';
import type { QuarantinePhase } from '../../fleet/common/quarantineTypes.js';
import type { RequestIdentity } from '../../fleet/common/requestIdentity.js';
import type { Route, Team } from '../../routes/common/routeTable.js';
import type { DeniedAccess } from '../../routes/common/teamAccess.js';
import type { AttemptOutcome, TargetAnswer } from '../common/attempt.js';
import type { AttemptTrace } from '../common/requestTrace.js';
import type { CallerExchange, OwnAnswer } from './callerExchange.js';
import type { RequestBody } from './requestBody.js';
import { RequestEnd } from './requestRecorder.js';

/** Statuses from here on say that a target failed. */
const STATUS_FAILURES = 500;
const STATUS_UNKNOWN_KEY = 401;
const STATUS_FORBIDDEN = 403;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;

/** One request on its way. */
export interface Journey {
	readonly exchange: CallerExchange;
	readonly route: Route;
	/** Regions in which it may be served; empty means any. */
	readonly homeRegions: readonly string[];
	/** The team on whose behalf it is sent; undefined for nobody's. */
	readonly team: Team | undefined;
	readonly service: string;
	readonly body: RequestBody;
	readonly deadline: Millis;
	readonly tried: Set<string>;
	/** Whether the limit of its team leaves room to send it to one more target; always where there is no limit. */
	hasLeave: boolean;
	/** Targets that may have run the request. */
	arrivals: number;
	/** Targets that turned it away. */
	refusals: number;
	noConnections: number;
	/** Permits within limits of targets that were asked for and not got. */
	permitsDenied: number;
	/** What a target answered, if that was a failure and another target was asked. */
	failure?: TargetAnswer;
	readonly attempts: AttemptTrace[];
	/** What was known of it when its next target was chosen. */
	phase: QuarantinePhase;
	/** Hash of host and path, once it was needed. */
	pathHash?: number;
	/** What stays the same when its caller sends it again, once that was needed. */
	identity?: RequestIdentity;
	/** The target of the attempt before, where its connection was lost. */
	lostTargetId?: string;
	/** Whether a target ended under it. */
	hasEndedTarget?: boolean;
}

/** Whether a target answered that it failed. */
export function isFailure(answer: TargetAnswer): boolean {
	return answer.status >= STATUS_FAILURES;
}

/** Whether a target may have begun to run the request. */
export function mayHaveRun(outcome: AttemptOutcome): boolean {
	return outcome.type === 'abandoned' ? outcome.mayHaveRun : outcome.type !== 'not-run';
}

/** An outcome in a word, with its cause, for the log. */
export function describeOutcome(outcome: AttemptOutcome): string {
	switch (outcome.type) {
		case 'answer':
			return `answer: ${outcome.status}`;
		case 'not-run':
			return `${outcome.type}: ${outcome.cause}`;
		case 'broken':
			return `${outcome.type}: ${outcome.cause}${outcome.detail === undefined ? '' : `, ${outcome.detail}`}`;
		case 'abandoned':
			return outcome.type;
	}
}

/** How a request ended that got an answer of the system's own. */
export function endOf(answer: OwnAnswer): RequestEnd {
	if (answer.verdict === 'not-run') {
		return RequestEnd.Refused;
	}
	return answer.reason === RefusalReason.DeadlinePassed ? RequestEnd.TimeOver : RequestEnd.Broken;
}

/** The answer to a request that may not be served; asking again does not help. */
export function denial({ reason }: DeniedAccess): OwnAnswer {
	const status = reason === RefusalReason.UnknownKey ? STATUS_UNKNOWN_KEY : STATUS_FORBIDDEN;
	return { status, verdict: 'not-run', reason };
}

/** The answer to a request beyond its team's limit, or one whose team's credits nobody could renew. */
export function limitRefusal({ verdict, retryAfterMs }: LimitAnswer): OwnAnswer {
	return verdict === LimitVerdict.OverLimit
		? { status: STATUS_TOO_MANY, verdict: 'not-run', reason: RefusalReason.OverLimit, retryAfterMs }
		: refusal(RefusalReason.NoQuorum, retryAfterMs);
}

/** The answer to a request that ends each target that runs it; asking again does not help, so no time is named. */
export function quarantineRefusal(): OwnAnswer {
	return { status: STATUS_UNAVAILABLE, verdict: 'not-run', reason: RefusalReason.Quarantined };
}

/** A refusal: nothing has run, and asking again may help. */
export function refusal(reason: RefusalReason, retryAfterMs: Millis): OwnAnswer {
	return { status: STATUS_UNAVAILABLE, verdict: 'not-run', reason, retryAfterMs };
}
