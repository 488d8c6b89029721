/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The leader's accounts of the credits of teams. One request of a team that reaches a target costs one credit. Each grant
 * keeps the sum of three amounts within the number of requests that a window may contain: credits spent in the last window,
 * credits that holders may still spend, and credits that earlier leaders may have granted. Every request admitted later is
 * covered by one of these amounts, so the limit holds if messages are lost, delayed or duplicated, and during partitions.
 *
 * The credits of a team are granted up to a ceiling that was committed to the replicated log beforehand. It gives the next
 * leader an upper bound on what this one granted, even if no instance of that time can be reached.
 */

import type { Millis } from '../../../base/clock.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';
import { HolderAccount } from './holderAccount.js';
import { type ILimitPolicy, maxRequestsPerWindow, settlementMs } from './limitPolicy.js';
import type { CreditGrant, CreditReport, RenewRequest } from './limitWire.js';
import { SpendHistory } from './spendHistory.js';

/** Fraction of a team's allowed usage up to which credits are granted ahead of need; the rest is reserved for waiting requests. */
const PREFETCH_FRACTION = 0.85;
/** A ceiling is raised once usage exceeds this fraction of it. */
const RAISE_THRESHOLD_FRACTION = 0.9;
/**
 * A raised ceiling is this multiple of the required credits, plus `RAISE_MARGIN`. Lower values cause refusals while the rate of a
 * team rises; higher ones leave less capacity to the next leader.
 */
const RAISE_FACTOR = 1.12;
/** Credits added to a raised ceiling. */
const RAISE_MARGIN = 8;
/** A ceiling that exceeds the required one by more than this factor is lowered, to leave capacity to the next leader. */
const LOWER_THRESHOLD_FACTOR = 1.4;
/** Ceiling of a team without one in the log, and minimum of all ceilings, as a fraction of the allowed requests per window. */
export const INITIAL_CEILING_FRACTION = 0.12;
/** Retry delay if the window contains too few spent credits to wait for; the outstanding ones expire after `CREDIT_LIFETIME_MS`. */
const DEFAULT_CAPACITY_WAIT_MS = 500;

/** Ceilings of teams in the replicated log. `maxRequests` is the number of requests that a window may contain. */
export interface ICeilings {
	/** Ceiling of the current leader's ledger. */
	currentCeiling(team: string, maxRequests: number): number;
	/** Sum of the ceilings of earlier leaders whose credits may still be outstanding. */
	previousCeilingSum(team: string, maxRequests: number): number;
}

/** Ceilings by team, in credits. */
export type Ceilings = Readonly<Record<string, number>>;

/** The credits of one team at all holders. */
class TeamAccount {
	private readonly _holders = new Map<string, HolderAccount>();
	private readonly _spent: SpendHistory;

	constructor(windowMs: Millis) {
		this._spent = new SpendHistory(windowMs);
	}

	/** Credits spent in the last window plus outstanding ones. Expired credits that were not reported count as spent. */
	usage(now: Millis): number {
		let outstanding = 0;
		for (const holder of this._holders.values()) {
			this._spent.add(holder.writeOffExpired(now), now);
			outstanding += holder.outstanding;
		}
		return outstanding + this._spent.total(now);
	}

	hasHolder(holder: string): boolean {
		return this._holders.has(holder);
	}

	/** Applies a report of a holder; the first one to this leader opens the holder's account. */
	applyReport(holder: string, report: CreditReport, now: Millis): void {
		const account = this._holders.get(holder);
		if (!account) {
			this._holders.set(holder, new HolderAccount(report));
			return;
		}
		const newSpent = account.applyReport(report, now);
		if (newSpent >= 0) {
			this._spent.add(newSpent, now);
		} else {
			this._spent.remove(-newSpent);
		}
	}

	/**
	 * Grants credits.
	 * @param needed credits for waiting requests
	 * @param ahead credits for expected requests
	 * @param maxUsage upper bound of the usage after the grant
	 */
	grant(holder: string, needed: number, ahead: number, maxUsage: number, now: Millis): CreditGrant {
		const available = Math.max(0, Math.floor(maxUsage - this.usage(now)));
		const urgent = Math.min(needed, available);
		const prefetched = Math.max(
			0,
			Math.min(ahead, Math.floor(available - urgent - (1 - PREFETCH_FRACTION) * maxUsage))
		);
		const granted = urgent + prefetched;
		if (granted > 0) {
			this._holders.get(holder)!.grant(granted, now);
		}
		const missing = needed - urgent;
		return { granted, roomInMs: missing === 0 ? 0 : this._capacityWaitMs(missing, now) };
	}

	private _capacityWaitMs(missing: number, now: Millis): Millis {
		const roomInMs = this._spent.capacityWaitMs(missing, now);
		return Number.isFinite(roomInMs) ? Math.max(1, Math.ceil(roomInMs)) : DEFAULT_CAPACITY_WAIT_MS;
	}
}

/** The accounts of all teams during the term of one leader. */
export class CreditLedger {
	private readonly _accounts = new Map<string, TeamAccount>();
	private readonly _sequences = new Map<string, number>();
	/** Credits refused because of a ceiling, by team, since the ceilings were last computed. */
	private readonly _shortfalls = new Map<string, number>();

	/** Ceilings that were proposed and may not be committed yet; lower ones apply at once. */
	private readonly _proposed = new Map<string, number>();

	/**
	 * @param _limitOf limit of a team in the current route table; undefined for none
	 * @param _startedAt when this leader's ledger started
	 */
	constructor(
		private readonly _policy: ILimitPolicy,
		private readonly _ceilings: ICeilings,
		private readonly _limitOf: (team: string) => TeamLimit | undefined,
		private readonly _startedAt: Millis
	) {}

	/**
	 * Applies a holder's reports and grants credits. A report that arrives after a later one is not applied, unless the holder has no
	 * account for the team yet.
	 * @returns the grants, in the order of the reports
	 */
	renew({ holder, sequence, reports }: RenewRequest, now: Millis): CreditGrant[] {
		const isLatest = sequence > (this._sequences.get(holder) ?? 0);
		if (isLatest) {
			this._sequences.set(holder, sequence);
		}
		return reports.map(report => {
			const account = this._getOrCreateAccount(report.team);
			if (isLatest || !account.hasHolder(holder)) {
				account.applyReport(holder, report, now);
			}
			return this._grant(holder, report, now);
		});
	}

	/** Returns the ceilings to be committed to the log, and clears the recorded shortfalls. */
	takeNewCeilings(now: Millis): Ceilings {
		const ceilings: Record<string, number> = {};
		for (const [team, account] of this._accounts) {
			const limit = this._limitOf(team);
			if (limit) {
				const maxRequests = maxRequestsPerWindow(limit, this._policy);
				const ceiling = this._newCeiling(team, account.usage(now), maxRequests);
				if (ceiling !== undefined) {
					ceilings[team] = ceiling;
					this._proposed.set(team, ceiling);
				}
			}
		}
		this._shortfalls.clear();
		return ceilings;
	}

	/** @returns undefined if the ceiling need not change */
	private _newCeiling(team: string, usage: number, maxRequests: number): number | undefined {
		const current = this._ceiling(team, maxRequests);
		const needed = RAISE_FACTOR * (usage + (this._shortfalls.get(team) ?? 0)) + RAISE_MARGIN;
		const newCeiling = Math.min(maxRequests, Math.ceil(Math.max(needed, INITIAL_CEILING_FRACTION * maxRequests)));
		const shouldRaise =
			newCeiling > current && (this._shortfalls.has(team) || usage > RAISE_THRESHOLD_FRACTION * current);
		return shouldRaise || newCeiling * LOWER_THRESHOLD_FACTOR < current ? newCeiling : undefined;
	}

	private _grant(holder: string, { team, needed, ahead }: CreditReport, now: Millis): CreditGrant {
		const limit = this._limitOf(team);
		if (!limit) {
			return { granted: needed, roomInMs: 0 };
		}
		const maxRequests = maxRequestsPerWindow(limit, this._policy);
		const ceiling = this._ceiling(team, maxRequests);
		const isSettled = now >= this._startedAt + settlementMs(this._policy);
		const available = Math.max(0, maxRequests - (isSettled ? 0 : this._ceilings.previousCeilingSum(team, maxRequests)));
		const grant = this._getOrCreateAccount(team).grant(holder, needed, ahead, Math.min(ceiling, available), now);
		if (grant.granted < needed + ahead && ceiling < available) {
			this._shortfalls.set(team, (this._shortfalls.get(team) ?? 0) + needed + ahead - grant.granted);
		}
		return grant;
	}

	private _ceiling(team: string, maxRequests: number): number {
		return Math.min(
			this._ceilings.currentCeiling(team, maxRequests),
			this._proposed.get(team) ?? Number.POSITIVE_INFINITY
		);
	}

	private _getOrCreateAccount(team: string): TeamAccount {
		let account = this._accounts.get(team);
		if (!account) {
			account = new TeamAccount(this._policy.windowMs);
			this._accounts.set(team, account);
		}
		return account;
	}
}
