/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Makes the attempts of one request, each after the checks that it has to pass, until it can be answered. */

import { type Millis, systemClock } from '../../../base/clock.js';
import { RefusalReason } from '../../../base/verdict.js';
import { type IReturnTimes, SHORT_RETRY_AFTER_MS } from '../../admission/common/returnTimes.js';
import { type IShortageAdmission, ShortageOutcome } from '../../admission/common/shortageAdmission.js';
import { QuarantinePhase } from '../../fleet/common/quarantineTypes.js';
import type { IPermit, ITargetLimits } from '../../limits/common/targetLimits.js';
import { type ITeamLimits, LimitVerdict } from '../../limits/common/teamLimits.js';
import type { ChosenTarget } from '../../placement/common/targetChoice.js';
import type { TargetSelector } from '../../placement/common/targetSelector.js';
import { type AttemptOutcome, NotRunCause } from '../common/attempt.js';
import type { DrainGuard } from '../common/drainGuard.js';
import type { AttemptSender } from './attemptSender.js';
import type { LocalResponse } from './callerExchange.js';
import type { QuarantineGuard } from './quarantineGuard.js';
import type { RelayClient } from './relay/relayClient.js';
import type { RequestCompletion } from './requestCompletion.js';
import {
	drainRequestOf,
	quarantinedResponse,
	type RequestContext,
	teamLimitResponse,
	unavailableResponse
} from './requestContext.js';
import type { RequestIntake } from './requestIntake.js';
import type { RetryPolicy } from './retryPolicy.js';

/** No attempt is started with less time than this left before the deadline. */
const MIN_REMAINING_MS: Millis = 20;

/** Why a request is refused during a shortage, by the cause that admission named. */
const SHORTAGE_REASONS = {
	rank: RefusalReason.LowRank,
	'team-share': RefusalReason.OverTeamShare,
	deadline: RefusalReason.DeadlineUnreachable
} as const;

/** Refusals after which another entry instance may serve a request that found no connection here. */
const RELAYED_REASONS: ReadonlySet<LocalResponse['reason']> = new Set([
	RefusalReason.TargetFailed,
	RefusalReason.NoCapacity
]);

/** Services that forwarding a request uses. */
export interface RequestForwarderDependencies {
	readonly intake: RequestIntake;
	readonly admission: IShortageAdmission;
	readonly returnTimes: IReturnTimes;
	readonly teamLimits: ITeamLimits;
	readonly targetLimits: ITargetLimits;
	readonly quarantineGuard: QuarantineGuard;
	readonly selector: TargetSelector;
	readonly attemptSender: AttemptSender;
	readonly retryPolicy: RetryPolicy;
	readonly completion: RequestCompletion;
	readonly relayClient: RelayClient;
	readonly drainGuard: DrainGuard;
}

/** Forwards requests to targets. */
export class RequestForwarder {
	constructor(private readonly _dependencies: RequestForwarderDependencies) {}

	/**
	 * Makes attempts until the request is answered or its caller has disconnected. The checks before each attempt go from those
	 * that cost nothing to those that wait for other instances: deadline, access, admission under shortage, the limit of the team,
	 * the limit of retries, the end of a stop, quarantine, target selection, the limit of the target.
	 */
	async forward(context: RequestContext): Promise<void> {
		const { exchange } = context;
		const { attemptSender, quarantineGuard, retryPolicy, completion } = this._dependencies;
		while (!exchange.isDisconnected) {
			const refusal = this._refuseBeforeWaiting(context) ?? (await this._acquireTeamPermit(context));
			if (refusal) {
				completion.finishWithLocalResponse(context, refusal);
				return;
			}
			if (exchange.isDisconnected) {
				return;
			}
			if (!retryPolicy.coverNextAttempt(context)) {
				completion.finishWithLocalResponse(context, retryPolicy.noTargetResponse(context));
				return;
			}
			const candidate = this._chooseTarget(context);
			if (!('known' in candidate)) {
				await this._relayOrRefuse(context, candidate);
				return;
			}
			const permit = await this._acquireTargetPermit(context, candidate);
			if (permit === 'none') {
				retryPolicy.giveBackRetry(context);
				continue;
			}
			const sentAt = systemClock.now();
			const outcome = await attemptSender.send(context, candidate, permit);
			this._recordDuration(context, outcome, sentAt);
			quarantineGuard.recordOutcome(context, outcome);
			const decision = retryPolicy.decide(context, outcome);
			this._recordOutcome(context, outcome, decision === 'again');
			if (decision === 'again') {
				continue;
			}
			if (decision !== 'pass') {
				await this._relayOrRefuse(context, decision);
			} else if (outcome.type === 'answer') {
				completion.finishWithTargetResponse(context, outcome);
			}
			return;
		}
	}

	/**
	 * Refuses the request, unless no connection to a target could be established and another entry instance can serve it. A request
	 * that a target has rejected is relayed only with a retry, since the other instance sends it to a target again.
	 */
	private async _relayOrRefuse(context: RequestContext, refusal: LocalResponse): Promise<void> {
		const { relayClient, retryPolicy, completion } = this._dependencies;
		const isCertainlyNotRun = refusal.verdict === 'not-run' && context.possibleRuns === 0;
		const isConnectionMissing = context.connectFailures > 0 && RELAYED_REASONS.has(refusal.reason);
		const mayRelay =
			isCertainlyNotRun && isConnectionMissing && !context.isRelayed && retryPolicy.coverNextAttempt(context);
		if (!mayRelay || !(await relayClient.relay(context))) {
			completion.finishWithLocalResponse(context, refusal);
		}
	}

	/** The response that refuses the request by what this instance knows; undefined where it may go on. */
	private _refuseBeforeWaiting(context: RequestContext): LocalResponse | undefined {
		const { intake, admission, returnTimes } = this._dependencies;
		const now = systemClock.now();
		if (context.deadline - now < MIN_REMAINING_MS) {
			return unavailableResponse(RefusalReason.DeadlinePassed, SHORT_RETRY_AFTER_MS);
		}
		const accessDenied = intake.recheckAccess(context);
		if (accessDenied) {
			return accessDenied;
		}
		const decision = admission.decide(context, now);
		if (decision.kind === 'refuse') {
			return unavailableResponse(SHORTAGE_REASONS[decision.cause], returnTimes.retryAfterMs(context, now));
		}
		context.utilizationFactor = decision.utilizationFactor;
		return undefined;
	}

	/** The target of the next attempt, or the response where there is none. */
	private _chooseTarget(context: RequestContext): ChosenTarget | LocalResponse {
		const { quarantineGuard, selector, retryPolicy, admission, drainGuard } = this._dependencies;
		const now = systemClock.now();
		if (!drainGuard.mayPassOn(drainRequestOf(context), now)) {
			return unavailableResponse(RefusalReason.Draining, SHORT_RETRY_AFTER_MS);
		}
		context.phase = quarantineGuard.phase(context);
		if (context.phase === QuarantinePhase.Quarantined) {
			return quarantinedResponse();
		}
		const candidate = selector.choose(context, now);
		if (candidate) {
			return candidate;
		}
		admission.recordOutcome(context, ShortageOutcome.NoTarget, now);
		return retryPolicy.noTargetResponse(context);
	}

	private _recordDuration({ route }: RequestContext, outcome: AttemptOutcome, sentAt: Millis): void {
		const now = systemClock.now();
		if (outcome.type === 'answer') {
			const durationMs = outcome.remainingBody ? Number.POSITIVE_INFINITY : now - sentAt;
			this._dependencies.drainGuard.recordAttempt(route.name, durationMs, now);
		} else if (outcome.type === 'abandoned') {
			this._dependencies.drainGuard.recordAttempt(route.name, now - sentAt, now);
		}
	}

	private _recordOutcome(context: RequestContext, outcome: AttemptOutcome, isRetried: boolean): void {
		const { admission, returnTimes } = this._dependencies;
		const now = systemClock.now();
		admission.recordOutcome(context, isRetried ? ShortageOutcome.Other : shortageOutcomeOf(outcome), now);
		if (outcome.type === 'answer') {
			returnTimes.recordCompletion(context, now);
		}
	}

	/**
	 * Takes a permit from the team's rate limit. One permit covers one attempt that may have run; attempts that certainly did not run
	 * leave it unused.
	 * @returns the response that refuses the request where no permit was granted; otherwise undefined
	 */
	private async _acquireTeamPermit(context: RequestContext): Promise<LocalResponse | undefined> {
		if (context.hasTeamPermit || !context.team) {
			return undefined;
		}
		const admission = await this._dependencies.teamLimits.admit(context.team);
		context.hasTeamPermit = admission.verdict === LimitVerdict.Admitted;
		return context.hasTeamPermit ? undefined : teamLimitResponse(admission);
	}

	/** Takes a permit from the target's rate limit; undefined where the target has no limit, `'none'` where no permit is available. */
	private async _acquireTargetPermit(
		context: RequestContext,
		{ known }: ChosenTarget
	): Promise<IPermit | 'none' | undefined> {
		const { targetLimits } = this._dependencies;
		if (targetLimits.perSecond(known.record, systemClock.now()) === undefined) {
			return undefined;
		}
		const permit = await targetLimits.acquirePermit(known.record);
		context.permitsDenied += permit ? 0 : 1;
		return permit ?? 'none';
	}
}

function shortageOutcomeOf(outcome: AttemptOutcome): ShortageOutcome {
	if (outcome.type === 'answer') {
		return ShortageOutcome.Completed;
	}
	const isFull = outcome.type === 'not-run' && outcome.cause === NotRunCause.Full;
	return isFull ? ShortageOutcome.TargetFull : ShortageOutcome.Other;
}
