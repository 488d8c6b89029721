/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** State of one request while it is forwarded, classification of attempt outcomes, and the local responses that refuse requests. */

import type { Millis } from '../../../base/clock.js';
import { RefusalReason } from '../../../base/verdict.js';
import { type LimitDecision, LimitVerdict } from '../../limits/common/teamLimits.js';
import type { RequestRank } from '../../admission/common/requestRank.js';
import type { QuarantinePhase } from '../../fleet/common/quarantineTypes.js';
import type { RequestIdentity } from '../../fleet/common/requestIdentity.js';
import type { Route, Team } from '../../routes/common/routeTable.js';
import type { DeniedAccess } from '../../routes/common/teamAccess.js';
import type { AttemptOutcome, TargetResponse } from '../common/attempt.js';
import type { DrainRequest } from '../common/drainGuard.js';
import type { AttemptLabels, AttemptTrace } from '../common/requestTrace.js';
import type { RetryPermit } from '../common/serviceRetryBudget.js';
import type { CallerExchange, LocalResponse } from './callerExchange.js';
import type { RequestBody } from './requestBody.js';
import { RequestEnd } from './requestRecorder.js';

const STATUS_UNAUTHORIZED = 401;
const STATUS_FORBIDDEN = 403;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;

/** One request while it is forwarded. */
export interface RequestContext {
	readonly exchange: CallerExchange;
	readonly route: Route;
	/** Regions in which the request may be served; empty for any. */
	readonly homeRegions: readonly string[];
	/** The team on whose behalf the request is sent; undefined for none. */
	readonly team: Team | undefined;
	/** Name of the team; undefined for none. */
	readonly teamName: string | undefined;
	readonly rank: RequestRank;
	readonly service: string;
	readonly body: RequestBody;
	/** On the monotonic clock. */
	readonly deadline: Millis;
	/** Whether another entry instance relayed it, so that it must not be relayed again. */
	readonly isRelayed: boolean;
	/** Whether it has been counted as a first attempt, which allows for retries. */
	isCounted: boolean;
	/** The entry instance that it was last relayed to. */
	relayedTo?: string;
	/** Ids of targets that are not selected for this request again. */
	readonly tried: Set<string>;
	/** Whether an unused permit of the team's rate limit covers the next attempt; stays true for a team without a limit. */
	hasTeamPermit: boolean;
	/** Factor on the utilization up to which targets take the request, as admission decided for the next attempt. */
	utilizationFactor: number;
	/** Attempts that may have run the request. */
	possibleRuns: number;
	/** Attempts that reached a target and were refused by it. */
	refusals: number;
	connectFailures: number;
	/** Attempts that may have been written to a target, by this instance or the one that relayed the request. */
	writtenAttempts: number;
	/** A retry for the next attempt, of this instance or the one that relayed the request. */
	retryPermit?: RetryPermit;
	/** Permits within rate limits of targets that were requested and denied. */
	permitsDenied: number;
	/** The latest server error of a target after which the request was retried. */
	errorResponse?: TargetResponse;
	readonly attempts: AttemptTrace[];
	/** Addresses that the attempts were made at, in order. */
	readonly attemptedAddresses: string[];
	/** Quarantine phase of the request when its current target was selected. */
	phase: QuarantinePhase;
	/** Hash of host and path; computed on first use. */
	pathHash?: number;
	/** Identity that is the same when the caller repeats the request; computed on first use. */
	identity?: RequestIdentity;
	/** Target of the previous attempt, where its connection was lost. */
	lostTargetId?: string;
	/** Whether a target stopped while running the request. */
	wasLostWithTarget?: boolean;
}

/** What the decision to pass a request on while this instance drains depends on. */
export function drainRequestOf({ route, deadline, body, exchange }: RequestContext): DrainRequest {
	const isWhole = body.bufferedLength !== undefined || exchange.request.complete;
	return { route: route.name, deadline, isWhole };
}

/** In place of a cause: a response without a length, whose end is the end of its connection. */
const ENDS_WITH_CONNECTION = 'ends-with-connection';

/** Whether the target may have started to run the request. */
export function mayHaveRun(outcome: AttemptOutcome): boolean {
	return outcome.type === 'abandoned' ? outcome.mayHaveRun : outcome.type !== 'not-run';
}

/** The type of an outcome with its status or cause, for logs. */
export function describeOutcome(outcome: AttemptOutcome): string {
	switch (outcome.type) {
		case 'answer':
			return `answer: ${outcome.status}${outcome.endsWithConnection ? `, ${ENDS_WITH_CONNECTION}` : ''}`;
		case 'not-run':
			return `${outcome.type}: ${outcome.cause}`;
		case 'broken':
			return `${outcome.type}: ${outcome.cause}${outcome.detail === undefined ? '' : `, ${outcome.detail}`}`;
		case 'abandoned':
			return outcome.type;
	}
}

/** The type of an outcome and, from a closed list, its cause, as metric labels. */
export function outcomeLabels(outcome: AttemptOutcome): AttemptLabels {
	switch (outcome.type) {
		case 'answer':
			return { outcome: outcome.type, cause: outcome.endsWithConnection ? ENDS_WITH_CONNECTION : '' };
		case 'not-run':
		case 'broken':
			return { outcome: outcome.type, cause: outcome.cause };
		case 'abandoned':
			return { outcome: outcome.type, cause: '' };
	}
}

/** How a request that got a local response ended. */
export function requestEndOf(response: LocalResponse): RequestEnd {
	if (response.verdict === 'not-run') {
		return RequestEnd.Refused;
	}
	return response.reason === RefusalReason.DeadlinePassed ? RequestEnd.TimedOut : RequestEnd.Broken;
}

/** Without a Retry-After, since a retry does not help. */
export function accessDeniedResponse({ reason }: DeniedAccess): LocalResponse {
	const status = reason === RefusalReason.UnknownKey ? STATUS_UNAUTHORIZED : STATUS_FORBIDDEN;
	return { status, verdict: 'not-run', reason };
}

/** 429 for a team over its rate limit; 503 where the team's permits could not be renewed. */
export function teamLimitResponse({ verdict, retryAfterMs }: LimitDecision): LocalResponse {
	return verdict === LimitVerdict.OverLimit
		? { status: STATUS_TOO_MANY, verdict: 'not-run', reason: RefusalReason.OverLimit, retryAfterMs }
		: unavailableResponse(RefusalReason.NoQuorum, retryAfterMs);
}

/** For a request that stops each target that runs it; without a Retry-After, since a retry does not help. */
export function quarantinedResponse(): LocalResponse {
	return { status: STATUS_UNAVAILABLE, verdict: 'not-run', reason: RefusalReason.Quarantined };
}

/**
 * 503 for a request that has not run.
 * @param retryAfterMs delay after which a retry may succeed; undefined where it would not
 */
export function unavailableResponse(reason: RefusalReason, retryAfterMs: Millis | undefined): LocalResponse {
	return { status: STATUS_UNAVAILABLE, verdict: 'not-run', reason, retryAfterMs };
}
