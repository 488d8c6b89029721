/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Decides whether a request is retried after an attempt, within the retry limits, and how it is answered otherwise. */

import { systemClock } from '../../../base/clock.js';
import { RefusalReason } from '../../../base/verdict.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import { QuarantinePhase } from '../../fleet/common/quarantineTypes.js';
import { RepeatRule } from '../../routes/common/routeTable.js';
import {
	type AttemptOutcome,
	isServerError,
	type NotRun,
	NotRunCause,
	type TargetResponse
} from '../common/attempt.js';
import { RetryAfterScheduler } from '../../admission/common/retryAfterScheduler.js';
import { type IReturnTimes, SHORT_RETRY_AFTER_MS } from '../../admission/common/returnTimes.js';
import { ServiceRetryBudget } from '../common/serviceRetryBudget.js';
import type { IServiceBounds } from '../common/serviceBounds.js';
import { mayRetrySameTarget } from '../../placement/common/targets/targetRefusal.js';
import type { LocalResponse } from './callerExchange.js';
import { type RequestContext, unavailableResponse } from './requestContext.js';
import type { TargetSelector } from '../../placement/common/targetSelector.js';
import type { QuarantineGuard } from './quarantineGuard.js';

/** Causes for which nothing was sent to the target; selecting another one does not count as a retry. */
const NOT_SENT_CAUSES: ReadonlySet<NotRunCause> = new Set([
	NotRunCause.BackingOff,
	NotRunCause.RateLimited,
	NotRunCause.ConnectionsInUse
]);
/** Failed connection attempts after which a request is refused. */
const MAX_CONNECT_FAILURES = 4;
/** Refusals by targets after which a request is not retried. */
const MAX_REFUSALS = 3;

/** Decides what follows each attempt. */
export class RetryPolicy {
	private readonly _retryBudgets = new Map<string, ServiceRetryBudget>();
	private readonly _retryAfterSchedulers = new Map<string, RetryAfterScheduler>();

	constructor(
		private readonly _view: FleetView,
		private readonly _selector: TargetSelector,
		private readonly _quarantine: QuarantineGuard,
		private readonly _returnTimes: IReturnTimes,
		private readonly _bounds: IServiceBounds
	) {}

	/** What follows an attempt: another attempt (`'again'`), forwarding the target's response (`'pass'`), or a local response. */
	decide(context: RequestContext, outcome: AttemptOutcome): LocalResponse | 'again' | 'pass' {
		switch (outcome.type) {
			case 'answer':
				if (this._mayRetryResponse(context, outcome)) {
					context.errorResponse = outcome;
					return 'again';
				}
				return 'pass';
			case 'abandoned':
				return outcome.mayHaveRun
					? { status: 504, verdict: 'may-have-run', reason: RefusalReason.DeadlinePassed }
					: unavailableResponse(RefusalReason.DeadlinePassed, SHORT_RETRY_AFTER_MS);
			case 'not-run':
				return this._decideAfterNotRun(context, outcome);
			case 'broken':
				return this._decideAfterBroken(context);
		}
	}

	private _decideAfterBroken(context: RequestContext): LocalResponse | 'again' {
		context.possibleRuns++;
		// A request that several targets were lost with would likely take down the next one too.
		const isSuspected = this._quarantine.phase(context) !== QuarantinePhase.Clear;
		const isRepeatable = context.route.repeatRule !== RepeatRule.AtMostOnce && !isSuspected;
		return isRepeatable && this._acquireRetry(context)
			? 'again'
			: { status: 502, verdict: 'may-have-run', reason: RefusalReason.TargetFailed };
	}

	/** Whether a target's error response may be discarded and the request sent to another target; takes a retry from the budget if so. */
	private _mayRetryResponse(context: RequestContext, response: TargetResponse): boolean {
		if (!isServerError(response) || response.remainingBody || context.route.repeatRule === RepeatRule.AtMostOnce) {
			return false;
		}
		context.possibleRuns++;
		return this._acquireRetry(context);
	}

	private _decideAfterNotRun(context: RequestContext, outcome: NotRun): LocalResponse | 'again' {
		if (!outcome.hasArrived) {
			this.giveBackRetry(context);
		}
		if (NOT_SENT_CAUSES.has(outcome.cause)) {
			return 'again';
		}
		if (!outcome.hasArrived) {
			context.connectFailures++;
			return context.connectFailures < MAX_CONNECT_FAILURES
				? 'again'
				: unavailableResponse(RefusalReason.TargetFailed, SHORT_RETRY_AFTER_MS);
		}
		context.refusals++;
		const { target } = context.attempts.at(-1)!;
		if (mayRetrySameTarget(outcome.cause, target, context.attempts)) {
			context.tried.delete(target);
		}
		return this._acquireRetry(context) ? 'again' : this.noTargetResponse(context);
	}

	/**
	 * The response where no target can take the request now. Where all targets are in backoff or at their rate limits, Retry-After states when
	 * capacity returns, at most the caller's deadline; callers are spread out where capacity returns one permit at a time.
	 */
	noTargetResponse(context: RequestContext): LocalResponse {
		const now = systemClock.now();
		const capacity = this._selector.nextCapacity(context, now);
		if (capacity === undefined) {
			return unavailableResponse(RefusalReason.NoCapacity, this._returnTimes.retryAfterMs(context, now));
		}
		const retryAfterMs = this._retryAfterSchedulerOf(context.service).after(capacity, context.deadline) - now;
		const isAtLimit = capacity.cause === NotRunCause.RateLimited;
		const reason = isAtLimit ? RefusalReason.TargetsRateLimited : RefusalReason.TargetsBackingOff;
		return unavailableResponse(reason, Math.max(SHORT_RETRY_AFTER_MS, retryAfterMs));
	}

	/** Makes sure that the next attempt is the first one of the request or has a retry; false where none can be taken. */
	coverNextAttempt(context: RequestContext): boolean {
		return context.writtenAttempts === 0 || context.retryPermit !== undefined || this._acquireRetry(context);
	}

	/** Gives back a retry that no attempt was written with, so that retries count when they reach a target. */
	giveBackRetry(context: RequestContext): void {
		context.retryPermit?.giveBack(systemClock.now());
		context.retryPermit = undefined;
	}

	/** Takes one retry from the budget; false where the request may not be retried or the budget is used up. */
	private _acquireRetry(context: RequestContext): boolean {
		const mayRetry =
			context.possibleRuns < context.route.attempts && context.refusals < MAX_REFUSALS && context.body.canBeSent;
		if (!mayRetry) {
			return false;
		}
		const budget = this.retryBudgetOf(context.service);
		context.retryPermit = budget.tryTake(this._view.entryCount, systemClock.now());
		return context.retryPermit !== undefined;
	}

	private _retryAfterSchedulerOf(service: string): RetryAfterScheduler {
		let scheduler = this._retryAfterSchedulers.get(service);
		if (!scheduler) {
			scheduler = new RetryAfterScheduler();
			this._retryAfterSchedulers.set(service, scheduler);
		}
		return scheduler;
	}

	/** The retry budget of a service at this instance. */
	retryBudgetOf(service: string): ServiceRetryBudget {
		let budget = this._retryBudgets.get(service);
		if (!budget) {
			budget = new ServiceRetryBudget(this._bounds.retries);
			this._retryBudgets.set(service, budget);
		}
		return budget;
	}
}
