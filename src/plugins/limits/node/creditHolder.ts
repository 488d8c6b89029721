/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The credits that a control instance holds for entry instances, mostly those of its data hall. A team's requests are spread over
 * many entry instances, where credits would often be held by one that doesn't need them. Few holders near the entry instances
 * keep access fast, and renew the credits at the leader ahead of need.
 */

import { Disposable, toDisposable } from '../../../base/disposable.js';
import { type Millis, systemClock } from '../../../base/clock.js';
import { type ISuspensionDetector, SuspensionDetector } from '../../../base/suspensionDetector.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';
import {
	type CreditGrant,
	type CreditReport,
	CreditShortage,
	type RenewRequest,
	type TakeRequest,
	type TakeResponse
} from '../common/limitWire.js';
import { MAX_RETURN_AGE_MS } from '../common/limitPolicy.js';
import { TeamCredits } from '../common/teamCredits.js';

/** Interval of periodic renewals; `CREDIT_LIFETIME_MS` is five times as long. */
const RENEW_INTERVAL_MS = 500;
/** Maximum time that a request waits for the leader: the delay after which its caller would be told to return otherwise. */
const MAX_WAIT_MS = 300;
/** Time after which requests that still wait ask again: there was no leader, or it had no credits although the team is within its limit. */
const LEADER_RETRY_DELAY_MS = 50;
/** Time for which replacements of spent credits are collected for one call; also bounds the number of these calls. */
const REFILL_DELAY_MS = 100;
/** Requests that start to wait within this time share a call to the leader. */
const BATCH_DELAY_MS = 3;
/** Timeout of renewals for waiting requests. Credits of a later response are not used; the ledger detects that they were lost. */
const URGENT_RENEW_TIMEOUT_MS = 500;
/** Timeout of periodic renewals, which is longer as responses may be late on a congested link; see `GRANT_LOST_AFTER_MS`. */
const PERIODIC_RENEW_TIMEOUT_MS = 1000;
/** Minimum time before credits are requested again for a team over its limit. */
const OVER_LIMIT_PAUSE_MS = 100;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 2000;

/** Renews credits at the leader's ledger; undefined if no leader responds. */
export type RenewCredits = (request: RenewRequest, timeoutMs: Millis) => Promise<readonly CreditGrant[] | undefined>;

/** Why a request got no credit; `leader` if no leader responded. */
export type RefusalCause = CreditShortage | 'leader';

/** Observes requests that found no credit. */
export interface ICreditObserver {
	/** Requests waited for the leader. */
	recordWaited(count: number): void;
	/** Requests got no credit. */
	recordRefused(cause: RefusalCause, count: number): void;
}

/** Credits by team. */
export class CreditHolder extends Disposable {
	private readonly _credits = new Map<string, TeamCredits>();
	private _sequence = 0;
	/** When a possible suspension of the machine was last detected. */
	private _suspensionDetectedAt: Millis = Number.NEGATIVE_INFINITY;
	/** The next call for waiting requests, until it is sent; resolves with whether the leader responded. */
	private _urgentRenewal: Promise<boolean> | undefined;
	private _isRefilling = false;

	/**
	 * @param _holderId id of this holder, a new one after each start
	 * @param _limitOf limit of a team in the route table known to this instance; undefined for none
	 */
	constructor(
		private readonly _holderId: string,
		private readonly _renewAtLeader: RenewCredits,
		private readonly _limitOf: (team: string) => TeamLimit | undefined,
		private readonly _log: ILogService,
		private readonly _suspension: ISuspensionDetector = new SuspensionDetector(),
		private readonly _observer?: ICreditObserver
	) {
		super();
		const timer = setInterval(() => void this._renew(() => true, PERIODIC_RENEW_TIMEOUT_MS), RENEW_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	/** Takes credits; synchronously if there are enough, or if the team is known to be over its limit. */
	take(request: TakeRequest): TakeResponse | Promise<TakeResponse> {
		const { team, needed } = request;
		this._returnCreditsAfterSuspension();
		const now = systemClock.now();
		const credits = this._getOrCreateCredits(team);
		credits.giveBack(this._acceptedReturns(request, now));
		credits.recordRequests(needed, now);
		const granted = credits.takeUpTo(needed, now);
		if (credits.needsRefill(now)) {
			void this._refill();
		}
		if (granted === needed) {
			return this._respond(granted, 0, now);
		}
		if (now < credits.noCreditsUntil) {
			this._observer?.recordRefused(CreditShortage.Limit, needed - granted);
			return this._respond(granted, clampRetryAfterMs(credits.noCreditsUntil - now), now);
		}
		return this._takeAfterRenewal(credits, granted, needed - granted);
	}

	/** Returned credits that this holder granted, not so long ago that they may have left the window in which they count as spent. */
	private _acceptedReturns({ returned, returnedFrom }: TakeRequest, now: Millis): number {
		const isAccepted = returnedFrom?.holder === this._holderId && now - returnedFrom.takenAt <= MAX_RETURN_AGE_MS;
		return isAccepted ? returned : 0;
	}

	private _respond(granted: number, retryAfterMs: Millis, takenAt: Millis): TakeResponse {
		const source = { holder: this._holderId, takenAt };
		return granted > 0 ? { granted, retryAfterMs, source } : { granted, retryAfterMs };
	}

	/** Returns all credits to the leader. */
	async release(): Promise<void> {
		const reports = [...this._credits].map(([team, credits]) => credits.releaseAll(team));
		if (reports.length > 0) {
			await this._renewAtLeader(
				{ holder: this._holderId, sequence: ++this._sequence, reports },
				URGENT_RENEW_TIMEOUT_MS
			);
		}
	}

	/** Waits until the leader has granted credits, the team is known to be over its limit, or `MAX_WAIT_MS` have passed. */
	private async _takeAfterRenewal(credits: TeamCredits, granted: number, missing: number): Promise<TakeResponse> {
		this._observer?.recordWaited(missing);
		const startedAt = systemClock.now();
		const giveUpAt = startedAt + MAX_WAIT_MS;
		let remaining = missing;
		let hasAnswer = false;
		for (let now = systemClock.now(); remaining > 0 && now < giveUpAt; now = systemClock.now()) {
			if (now < credits.noCreditsUntil) {
				break;
			}
			credits.waitingRequests += remaining;
			this._urgentRenewal ??= this._renewForWaitingRequests();
			hasAnswer = await Promise.race([this._urgentRenewal, delay(giveUpAt - now)]);
			this._returnCreditsAfterSuspension();
			remaining -= credits.takeUpTo(remaining, systemClock.now());
			if (remaining > 0 && systemClock.now() >= credits.noCreditsUntil) {
				await delay(Math.min(LEADER_RETRY_DELAY_MS, Math.max(0, giveUpAt - systemClock.now())));
			}
		}
		const waitMs = credits.noCreditsUntil - systemClock.now();
		if (remaining > 0) {
			const shortage = hasAnswer ? CreditShortage.Ceiling : 'leader';
			this._observer?.recordRefused(waitMs > 0 ? CreditShortage.Limit : shortage, remaining);
		}
		return this._respond(granted + missing - remaining, waitMs > 0 ? clampRetryAfterMs(waitMs) : 0, startedAt);
	}

	/** Replaces spent credits of all teams that hold few; one call at a time. */
	private async _refill(): Promise<void> {
		if (this._isRefilling) {
			return;
		}
		this._isRefilling = true;
		await delay(REFILL_DELAY_MS);
		const now = systemClock.now();
		await this._renew(([, credits]) => credits.needsRefill(now), URGENT_RENEW_TIMEOUT_MS);
		this._isRefilling = false;
	}

	/** Renews credits for all waiting requests in one call; resolves with whether the leader responded. */
	private async _renewForWaitingRequests(): Promise<boolean> {
		await delay(BATCH_DELAY_MS);
		this._urgentRenewal = undefined;
		return this._renew(([, credits]) => credits.waitingRequests > 0, URGENT_RENEW_TIMEOUT_MS);
	}

	private async _renew(isIncluded: (entry: [string, TeamCredits]) => boolean, timeoutMs: Millis): Promise<boolean> {
		const sentAt = systemClock.now();
		const included = [...this._credits].filter(isIncluded);
		const reports = included.flatMap(([team, credits]) => {
			const report = credits.report(team, sentAt);
			if (credits.needsSending(report)) {
				return report;
			}
			credits.endReport(report);
			return [];
		});
		if (reports.length === 0) {
			return true;
		}
		const request = { holder: this._holderId, sequence: ++this._sequence, reports };
		const grants = await this._renewAtLeader(request, timeoutMs);
		reports.forEach(report => this._credits.get(report.team)?.endReport(report));
		grants?.forEach((grant, i) => this._applyGrant(reports[i]!, grant, sentAt));
		return grants !== undefined;
	}

	/** Returns all credits after a suspension, during which the leader may have counted them as spent. */
	private _returnCreditsAfterSuspension(): void {
		if (this._suspension.detectSuspension()) {
			this._suspensionDetectedAt = systemClock.now();
			this._credits.forEach(credits => credits.returnAll());
			this._log.warn('machine may have been suspended; returning held credits', { task: 'limits' });
		}
	}

	private _applyGrant(report: CreditReport, { granted, roomInMs }: CreditGrant, sentAt: Millis): void {
		this._returnCreditsAfterSuspension();
		if (sentAt <= this._suspensionDetectedAt) {
			return;
		}
		const { team, needed } = report;
		const credits = this._credits.get(team)!;
		credits.recordAcknowledged(report);
		credits.add(granted, sentAt);
		if (roomInMs > 0) {
			credits.noCreditsUntil =
				systemClock.now() + Math.min(MAX_RETRY_AFTER_MS, Math.max(OVER_LIMIT_PAUSE_MS, roomInMs));
			this._log.info('team is over its limit', { task: 'limits', team, needed, granted, roomInMs });
		}
	}

	private _getOrCreateCredits(team: string): TeamCredits {
		let credits = this._credits.get(team);
		if (!credits) {
			credits = new TeamCredits();
			this._credits.set(team, credits);
		}
		const limit = this._limitOf(team);
		if (limit) {
			credits.applyLimit(limit.perSecond);
		}
		return credits;
	}
}

function clampRetryAfterMs(waitMs: Millis): Millis {
	return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs)));
}

function delay(ms: Millis): Promise<false> {
	return new Promise(resolve => setTimeout(() => resolve(false), ms));
}
