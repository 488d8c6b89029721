/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The leader's accounts of the credits of teams. One request of a team that reaches a target costs one credit. Each grant
 * keeps the sum of three amounts within the number of requests that a window may contain: credits spent in the last window,
 * credits that holders may still spend, and credits that earlier leaders may have granted. Every request admitted later is
 * covered by one of these amounts, so the limit holds if messages are lost, delayed or duplicated, and during partitions.
 *
 * The credits that a ledger issues for a team in its whole term, without those that came back unspent, stay within a ceiling that
 * was committed to the replicated log beforehand. Together with the recorded number of credits that can no longer be spent, it gives
 * the next leader an upper bound on what this one granted, even if no instance of that time can be reached. The usage, which is what
 * was spent in the last window plus what is outstanding, stays within a committed bound too. It limits what counts after a restart of
 * all instances at once, when nobody knows any more how long ago credits were spent.
 */

import type { Millis } from '../../../base/clock.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';
import { HolderAccount } from './holderAccount.js';
import { type ILimitPolicy, maxRequestsPerWindow } from './limitPolicy.js';
import { type CreditGrant, type CreditReport, CreditShortage, type RenewRequest } from './limitWire.js';
import { SpendHistory } from './spendHistory.js';

/** Fraction of a team's allowed usage up to which credits are granted ahead of need; the rest is reserved for waiting requests. */
const PREFETCH_FRACTION = 0.85;
/**
 * Ceiling of a team without one in the log, as a fraction of the allowed requests per window; a new ceiling leaves as much for
 * further credits. Lower values make the first requests of a sudden rise wait for a commit; what is left unused counts against the
 * next leader, and two leaders in quick succession must leave capacity to a third one.
 */
export const INITIAL_CEILING_FRACTION = 0.12;
/** What a new ceiling leaves for further credits, as a fraction of the allowed requests per window. */
const MARGIN_FRACTION = 0.08;
/** Minimum of what a new ceiling leaves for further credits, so that a low limit does not need a commit for each of them. */
const MIN_MARGIN = 4;
/** The log is updated when this fraction of what a new ceiling leaves is issued, or finished since the last update. */
const UPDATE_THRESHOLD_FRACTION = 0.5;
/** A ceiling that leaves this many times as much as a new one would is lowered, to leave capacity to the next leader. */
const LOWER_THRESHOLD_FACTOR = 1.4;
/** Retry delay if the window contains too few spent credits to wait for; the outstanding ones expire after `CREDIT_LIFETIME_MS`. */
const DEFAULT_CAPACITY_WAIT_MS = 500;

/** Ceilings of teams in the replicated log. `maxRequests` is the number of requests that a window may contain. */
export interface ICeilings {
	/** Ceiling on the credits that the current leader's ledger issues. */
	currentCeiling(team: string, maxRequests: number): number;
	/** Bound on the usage in the current leader's ledger; infinite if none was committed. */
	currentUsageBound(team: string): number;
	/** Upper bound on the requests of the last window, and later ones, admitted by credits of earlier leaders. */
	previousCredits(team: string, maxRequests: number): number;
}

/** Numbers of credits by team. */
export type Ceilings = Readonly<Record<string, number>>;

/** What a leader commits to the log. */
export interface CeilingUpdate {
	readonly ceilings: Ceilings;
	/** Credits of these teams that can no longer be spent. */
	readonly finished: Ceilings;
	/** Bounds on the usage of these teams. */
	readonly usageBounds: Ceilings;
}

/** Limits on one grant. */
interface GrantBounds {
	/** Upper bound of the usage after the grant. */
	readonly maxUsage: number;
	/** The same if no earlier leader had granted credits. */
	readonly allowedUsage: number;
	/** Upper bound of the credits issued after the grant. */
	readonly maxIssued: number;
	/** Committed upper bound of the usage after the grant. */
	readonly usageBound: number;
}

const NOTHING_GRANTED: CreditGrant = { granted: 0, roomInMs: 0 };

/** The credits of one team at all holders. */
class TeamAccount {
	private readonly _holders = new Map<string, HolderAccount>();
	/** Sequence number of the last call of each holder that reported on this team. */
	private readonly _sequences = new Map<string, number>();
	private readonly _spent: SpendHistory;
	private _granted = 0;

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

	/**
	 * Applies a report of a holder; the first one to this leader opens the holder's account.
	 * @returns false, and changes nothing, if a later call has reported on this team, or this one has
	 */
	applyReport(holder: string, sequence: number, report: CreditReport, now: Millis): boolean {
		if (sequence <= (this._sequences.get(holder) ?? 0)) {
			return false;
		}
		this._sequences.set(holder, sequence);
		const account = this._holders.get(holder);
		if (!account) {
			this._holders.set(holder, new HolderAccount(report, now));
			return true;
		}
		const { spent, givenBack } = account.applyReport(report, now);
		this._spent.add(spent, now);
		this._spent.remove(givenBack);
		return true;
	}

	/** Credits granted, without those that came back unspent. */
	get issued(): number {
		let unused = 0;
		for (const holder of this._holders.values()) {
			unused += holder.unused;
		}
		return this._granted - unused;
	}

	/** Issued credits that can no longer be spent. */
	finished(now: Millis): number {
		this.usage(now);
		let outstanding = 0;
		for (const holder of this._holders.values()) {
			outstanding += holder.outstanding;
		}
		return this.issued - outstanding;
	}

	/**
	 * Grants credits.
	 * @param needed credits for waiting requests
	 * @param ahead credits for expected requests
	 */
	grant(holder: string, needed: number, ahead: number, bounds: GrantBounds, now: Millis): CreditGrant {
		const { maxUsage, allowedUsage, maxIssued, usageBound } = bounds;
		const usage = this.usage(now);
		const available = Math.max(
			0,
			Math.floor(Math.min(Math.min(maxUsage, usageBound) - usage, maxIssued - this.issued))
		);
		const urgent = Math.min(needed, available);
		const prefetched = Math.max(
			0,
			Math.min(ahead, available - urgent, Math.floor(PREFETCH_FRACTION * maxUsage - usage - urgent))
		);
		const granted = urgent + prefetched;
		if (granted > 0) {
			this._holders.get(holder)!.grant(granted, now);
			this._granted += granted;
		}
		const missing = needed - urgent;
		if (missing === 0) {
			return { granted, roomInMs: 0 };
		}
		return usage + granted + 1 <= allowedUsage
			? { granted, roomInMs: 0, shortage: CreditShortage.Ceiling }
			: { granted, roomInMs: this._capacityWaitMs(missing, now), shortage: CreditShortage.Limit };
	}

	private _capacityWaitMs(missing: number, now: Millis): Millis {
		const roomInMs = this._spent.capacityWaitMs(missing, now);
		return Number.isFinite(roomInMs) ? Math.max(1, Math.ceil(roomInMs)) : DEFAULT_CAPACITY_WAIT_MS;
	}
}

/** The accounts of all teams during the term of one leader. */
export class CreditLedger {
	private readonly _accounts = new Map<string, TeamAccount>();
	/** Credits that only the ceiling or the usage bound refused, by team, since ceilings were last computed. */
	private readonly _shortfalls = new Map<string, number>();
	/** Lowest ceilings that were proposed and may not be committed yet; they apply at once. */
	private readonly _proposed = new Map<string, number>();
	/** The same for bounds on the usage. */
	private readonly _proposedUsageBounds = new Map<string, number>();
	/** Finished credits as last proposed. */
	private readonly _recordedFinished = new Map<string, number>();

	/** @param _limitOf limit of a team in the current route table; undefined for none */
	constructor(
		private readonly _policy: ILimitPolicy,
		private readonly _ceilings: ICeilings,
		private readonly _limitOf: (team: string) => TeamLimit | undefined
	) {}

	/**
	 * Applies a holder's reports and grants credits. A report that arrives after a later one on the same team, or twice, changes nothing
	 * and gets no credits.
	 * @returns the grants, in the order of the reports
	 */
	renew({ holder, sequence, reports }: RenewRequest, now: Millis): CreditGrant[] {
		return reports.map(report =>
			this._getOrCreateAccount(report.team).applyReport(holder, sequence, report, now)
				? this._grant(holder, report, now)
				: NOTHING_GRANTED
		);
	}

	/** Whether waiting requests got no credit only for want of a higher ceiling. */
	needsCeiling({ reports }: RenewRequest, grants: readonly CreditGrant[]): boolean {
		return grants.some(
			({ shortage }, i) => shortage === CreditShortage.Ceiling && this._shortfalls.has(reports[i]!.team)
		);
	}

	/** Completes the grants for requests that still wait, after ceilings were raised. */
	grantRemaining({ holder, reports }: RenewRequest, grants: readonly CreditGrant[], now: Millis): CreditGrant[] {
		return grants.map((grant, i) => {
			const report = reports[i]!;
			if (grant.shortage !== CreditShortage.Ceiling || grant.granted >= report.needed) {
				return grant;
			}
			const added = this._grant(holder, { ...report, needed: report.needed - grant.granted, ahead: 0 }, now);
			return { ...added, granted: grant.granted + added.granted };
		});
	}

	/** Returns the ceilings to be committed to the log, and clears the recorded shortfalls. Updates must be proposed one at a time. */
	takeNewCeilings(now: Millis): CeilingUpdate {
		const ceilings: Record<string, number> = {};
		const finished: Record<string, number> = {};
		const usageBounds: Record<string, number> = {};
		for (const [team, account] of this._accounts) {
			const limit = this._limitOf(team);
			const ceiling = limit && this._newCeiling(team, account, maxRequestsPerWindow(limit, this._policy), now);
			if (ceiling !== undefined) {
				ceilings[team] = ceiling;
				finished[team] = account.finished(now);
				usageBounds[team] = Math.ceil(account.usage(now) + ceiling - account.issued);
				lower(this._proposed, team, ceiling);
				lower(this._proposedUsageBounds, team, usageBounds[team]);
				this._recordedFinished.set(team, finished[team]);
			}
		}
		this._shortfalls.clear();
		return { ceilings, finished, usageBounds };
	}

	/**
	 * Records that the last update was committed, and thus that none before it can be any more. Until then lower values of all updates
	 * apply: one whose proposal failed may be the last one that the next leader finds in the log.
	 */
	recordCommitted(): void {
		this._proposed.clear();
		this._proposedUsageBounds.clear();
	}

	/** @returns undefined if the ceiling, the usage bound and the number of finished credits in the log need no update */
	private _newCeiling(team: string, account: TeamAccount, maxRequests: number, now: Millis): number | undefined {
		const { issued } = account;
		const margin = Math.max(MIN_MARGIN, MARGIN_FRACTION * maxRequests);
		const usage = account.usage(now);
		const shortfall = Math.min(this._shortfalls.get(team) ?? 0, Math.max(0, maxRequests - usage));
		const left = this._ceiling(team, maxRequests) - issued;
		const usageLeft = this._usageBound(team) - usage;
		const unrecorded = account.finished(now) - (this._recordedFinished.get(team) ?? 0);
		const isDue =
			shortfall > 0 ||
			Math.min(left, usageLeft) < UPDATE_THRESHOLD_FRACTION * margin ||
			left > LOWER_THRESHOLD_FACTOR * margin ||
			(Number.isFinite(usageLeft) && usageLeft > LOWER_THRESHOLD_FACTOR * margin) ||
			unrecorded > UPDATE_THRESHOLD_FRACTION * margin;
		return isDue ? Math.ceil(issued + shortfall + margin) : undefined;
	}

	private _grant(holder: string, { team, needed, ahead }: CreditReport, now: Millis): CreditGrant {
		const limit = this._limitOf(team);
		if (!limit) {
			return { granted: needed, roomInMs: 0 };
		}
		const allowedUsage = maxRequestsPerWindow(limit, this._policy);
		const maxUsage = Math.max(0, allowedUsage - this._ceilings.previousCredits(team, allowedUsage));
		const maxIssued = this._ceiling(team, allowedUsage);
		const usageBound = this._usageBound(team);
		const account = this._getOrCreateAccount(team);
		const grant = account.grant(holder, needed, ahead, { maxUsage, allowedUsage, maxIssued, usageBound }, now);
		const missing = needed + ahead - grant.granted;
		const usage = account.usage(now);
		if (missing > 0 && Math.min(maxIssued - account.issued, usageBound - usage) < 1 && usage + 1 <= maxUsage) {
			this._shortfalls.set(team, (this._shortfalls.get(team) ?? 0) + missing);
		}
		return grant;
	}

	private _ceiling(team: string, maxRequests: number): number {
		return Math.min(
			this._ceilings.currentCeiling(team, maxRequests),
			this._proposed.get(team) ?? Number.POSITIVE_INFINITY
		);
	}

	private _usageBound(team: string): number {
		return Math.min(
			this._ceilings.currentUsageBound(team),
			this._proposedUsageBounds.get(team) ?? Number.POSITIVE_INFINITY
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

function lower(values: Map<string, number>, team: string, value: number): void {
	values.set(team, Math.min(value, values.get(team) ?? Number.POSITIVE_INFINITY));
}
