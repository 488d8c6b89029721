/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Decides what follows an attempt at a target, within the bounds of retries. */

import { systemClock } from '../../../base/clock.js';
import { RefusalReason } from '../../../base/verdict.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import { QuarantinePhase } from '../../fleet/common/quarantineTypes.js';
import { RepeatRule } from '../../routes/common/routeTable.js';
import { type AttemptOutcome, type NotRun, NotRunCause, type TargetAnswer } from '../common/attempt.js';
import { CallerReturns } from '../common/placement/callerReturns.js';
import { RetryAllowance } from '../common/retryAllowance.js';
import type { IServiceBounds } from '../common/serviceBounds.js';
import { mayTryAgain } from '../common/targets/targetRefusal.js';
import type { OwnAnswer } from './callerExchange.js';
import { isFailure, type Journey, refusal } from './journey.js';
import type { TargetSelector } from './placement/targetSelector.js';
import type { QuarantineGuard } from './quarantineGuard.js';

/** Nothing was tried at the target: another one is asked, which costs nobody a retry. */
const WITHHELD: ReadonlySet<NotRunCause> = new Set([
	NotRunCause.AtRest,
	NotRunCause.AtLimit,
	NotRunCause.ConnectionsInUse
]);
/** Connections that did not come up before a request is given up. */
const MAX_NO_CONNECTION = 4;
/** Targets that turned a request away before it is given up. */
const MAX_REFUSALS = 3;
/** A caller whose request a target may soon have room for is told to come back after this. */
export const RETRY_SOON_MS = 100;

/** The attempts that may still follow. */
export class FollowUp {
	private readonly _allowances = new Map<string, RetryAllowance>();
	private readonly _returnsByService = new Map<string, CallerReturns>();

	constructor(
		private readonly _view: FleetView,
		private readonly _selector: TargetSelector,
		private readonly _quarantine: QuarantineGuard,
		private readonly _bounds: IServiceBounds
	) {}

	/** What follows an attempt: another one, an answer of the system's own, or that the target's answer is passed on. */
	after(journey: Journey, outcome: AttemptOutcome): OwnAnswer | 'again' | 'pass' {
		switch (outcome.type) {
			case 'answer':
				if (this._mayReplace(journey, outcome)) {
					journey.failure = outcome;
					return 'again';
				}
				return 'pass';
			case 'abandoned':
				return outcome.mayHaveRun
					? { status: 504, verdict: 'may-have-run', reason: RefusalReason.DeadlinePassed }
					: refusal(RefusalReason.DeadlinePassed, RETRY_SOON_MS);
			case 'not-run':
				return this._afterNotRun(journey, outcome);
			case 'broken':
				return this._afterBroken(journey);
		}
	}

	private _afterBroken(journey: Journey): OwnAnswer | 'again' {
		journey.arrivals++;
		// Where targets ended under it before, another one would too.
		const isSuspected = this._quarantine.phase(journey) !== QuarantinePhase.Clear;
		const mayRunAgain = journey.route.repeatRule !== RepeatRule.AtMostOnce && !isSuspected;
		return mayRunAgain && this._mayRetry(journey)
			? 'again'
			: { status: 502, verdict: 'may-have-run', reason: RefusalReason.TargetFailed };
	}

	/** Whether a failure that a target answered with may be replaced by what another target answers. */
	private _mayReplace(journey: Journey, answer: TargetAnswer): boolean {
		if (!isFailure(answer) || answer.rest || journey.route.repeatRule === RepeatRule.AtMostOnce) {
			return false;
		}
		journey.arrivals++;
		return this._mayRetry(journey);
	}

	private _afterNotRun(journey: Journey, outcome: NotRun): OwnAnswer | 'again' {
		if (WITHHELD.has(outcome.cause)) {
			return 'again';
		}
		if (!outcome.hasArrived) {
			journey.noConnections++;
			return journey.noConnections < MAX_NO_CONNECTION ? 'again' : refusal(RefusalReason.TargetFailed, RETRY_SOON_MS);
		}
		journey.refusals++;
		const { target } = journey.attempts.at(-1)!;
		if (mayTryAgain(outcome.cause, target, journey.attempts)) {
			journey.tried.delete(target);
		}
		return this._mayRetry(journey) ? 'again' : this.noTarget(journey);
	}

	/**
	 * No target takes the request now. Where all of them rest, or are at their limits, the caller is told when there is room, as far as
	 * it can still use that: to come back before brings it the same answer. Where room comes one place after the other, so do the callers.
	 */
	noTarget(journey: Journey): OwnAnswer {
		const now = systemClock.now();
		const room = this._selector.roomReturns(journey, now);
		if (room === undefined) {
			return refusal(RefusalReason.NoCapacity, RETRY_SOON_MS);
		}
		const usableMs = this._returns(journey.service).after(room, journey.deadline) - now;
		const isLimit = room.cause === NotRunCause.AtLimit;
		const reason = isLimit ? RefusalReason.TargetsAtLimit : RefusalReason.TargetsAtRest;
		return refusal(reason, Math.max(RETRY_SOON_MS, usableMs));
	}

	private _mayRetry(journey: Journey): boolean {
		return (
			journey.arrivals < journey.route.attempts &&
			journey.refusals < MAX_REFUSALS &&
			journey.body.isAvailable &&
			this.allowance(journey.service).take(this._view.entryCount, systemClock.now())
		);
	}

	private _returns(service: string): CallerReturns {
		let returns = this._returnsByService.get(service);
		if (!returns) {
			returns = new CallerReturns();
			this._returnsByService.set(service, returns);
		}
		return returns;
	}

	/** The retries of a service that this instance may make. */
	allowance(service: string): RetryAllowance {
		let allowance = this._allowances.get(service);
		if (!allowance) {
			allowance = new RetryAllowance(this._bounds.retries);
			this._allowances.set(service, allowance);
		}
		return allowance;
	}
}
