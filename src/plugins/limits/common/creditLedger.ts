/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The leader's account of the credits of teams. One request of a team that reaches a target costs one credit. At each grant,
 * what was spent in the window before, what holders may still spend, and what leaders before may have given together stay
 * within what a window may hold. A request of any later window was let through by a credit that counts there in one
 * of these ways, so the sum holds whatever is lost, late or said twice, and whoever is cut off.
 *
 * A ledger keeps within a ceiling for each team that stands in the replicated log before credits are given up to it. So the
 * next leader knows how much the one before may have given out, also where nobody of that time is left.
 */

import type { Millis } from '../../../base/clock.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';
import { HolderAccount } from './holderAccount.js';
import { type ILimitTerms, mostInWindow, settleMs } from './limitTerms.js';
import type { CreditGrant, CreditReport, RenewRequest } from './limitWire.js';
import { SpendHistory } from './spendHistory.js';

/** Part of the room of a team up to which credits are given ahead of need; the rest is for requests that wait. */
const AHEAD_PART = 0.85;
/**
 * A ceiling is raised where this part of it is in use, to as many times the use and some credits more. Lower ones refuse requests of
 * teams whose rate rises, higher ones leave the next leader less.
 */
const RAISE_FROM_PART = 0.9;
const RAISED_TIMES = 1.12;
const RAISED_BY = 8;
/** One that is this many times too high is lowered, so that the next leader has room. */
const TOO_HIGH_TIMES = 1.4;
/** Ceiling of a team before one stands in the log, as a part of what a window may hold; none is lowered below. */
export const FIRST_PART = 0.12;
/** When to ask again where no spent credit is about to leave the window: all of them are out, and lapse within 2.5 s. */
const UNKNOWN_ROOM_MS = 500;

/** What stands in the replicated log of the ceilings of teams. */
export interface ICeilings {
	/** The ceiling that the ledger in force keeps within. */
	current(team: string, most: number): number;
	/** The ceilings of the leaders before whose credits may still be out, together. */
	before(team: string, most: number): number;
}

/** New ceilings by team. */
export type Ceilings = Readonly<Record<string, number>>;

/** The credits of one team. */
class TeamAccount {
	private readonly _holders = new Map<string, HolderAccount>();
	private readonly _spent: SpendHistory;

	constructor(windowMs: Millis) {
		this._spent = new SpendHistory(windowMs);
	}

	/** What was let through in the window, and what may still be. */
	use(now: Millis): number {
		let out = 0;
		for (const holder of this._holders.values()) {
			this._spent.add(holder.writeOff(now), now);
			out += holder.out;
		}
		return out + this._spent.total(now);
	}

	knows(holder: string): boolean {
		return this._holders.has(holder);
	}

	/** Takes in what a holder says; its first word in the time of this leader begins its account. */
	report(holder: string, report: CreditReport, now: Millis): void {
		const account = this._holders.get(holder);
		if (!account) {
			this._holders.set(holder, new HolderAccount(report));
			return;
		}
		const newSpent = account.report(report, now);
		if (newSpent >= 0) {
			this._spent.add(newSpent, now);
		} else {
			this._spent.remove(-newSpent);
		}
	}

	/**
	 * Gives credits.
	 * @param most what may be in use
	 */
	grant(holder: string, needed: number, ahead: number, most: number, now: Millis): CreditGrant {
		const room = Math.max(0, Math.floor(most - this.use(now)));
		const urgent = Math.min(needed, room);
		const forNext = Math.max(0, Math.min(ahead, Math.floor(room - urgent - (1 - AHEAD_PART) * most)));
		const granted = urgent + forNext;
		if (granted > 0) {
			this._holders.get(holder)!.grant(granted, now);
		}
		const missing = needed - urgent;
		return { granted, roomInMs: missing === 0 ? 0 : this._roomInMs(missing, now) };
	}

	private _roomInMs(missing: number, now: Millis): Millis {
		const roomInMs = this._spent.roomInMs(missing, now);
		return Number.isFinite(roomInMs) ? Math.max(1, Math.ceil(roomInMs)) : UNKNOWN_ROOM_MS;
	}
}

/** The accounts of all teams, for the time of one leader. */
export class CreditLedger {
	private readonly _accounts = new Map<string, TeamAccount>();
	private readonly _sequences = new Map<string, number>();
	/** Credits that a team's ceiling was in the way of, by team, since the ceilings were last looked at. */
	private readonly _short = new Map<string, number>();

	/** Ceilings that are on their way into the log; lower ones bind at once. */
	private readonly _proposed = new Map<string, number>();

	/**
	 * @param _startedAt when the leader took over
	 * @param _limitOf the limit of a team by the table in force; undefined for none
	 */
	constructor(
		private readonly _terms: ILimitTerms,
		private readonly _ceilings: ICeilings,
		private readonly _limitOf: (team: string) => TeamLimit | undefined,
		private readonly _startedAt: Millis
	) {}

	/**
	 * Takes a holder's reports in, unless they were overtaken, and gives it credits.
	 * @returns the grants, in the order of the reports
	 */
	renew({ holder, sequence, reports }: RenewRequest, now: Millis): CreditGrant[] {
		const isLatest = sequence > (this._sequences.get(holder) ?? 0);
		if (isLatest) {
			this._sequences.set(holder, sequence);
		}
		return reports.map(report => {
			const account = this._accountOf(report.team);
			if (isLatest || !account.knows(holder)) {
				account.report(holder, report, now);
			}
			return this._grant(holder, report, now);
		});
	}

	/** The ceilings to be written into the log. */
	newCeilings(now: Millis): Ceilings {
		const ceilings: Record<string, number> = {};
		for (const [team, account] of this._accounts) {
			const limit = this._limitOf(team);
			if (limit) {
				const most = mostInWindow(limit, this._terms);
				const ceiling = this._newCeiling(team, account.use(now), most);
				if (ceiling !== undefined) {
					ceilings[team] = ceiling;
					this._proposed.set(team, ceiling);
				}
			}
		}
		this._short.clear();
		return ceilings;
	}

	/** @returns undefined where the ceiling fits */
	private _newCeiling(team: string, use: number, most: number): number | undefined {
		const current = this._ceiling(team, most);
		const needed = RAISED_TIMES * (use + (this._short.get(team) ?? 0)) + RAISED_BY;
		const wanted = Math.min(most, Math.ceil(Math.max(needed, FIRST_PART * most)));
		const isShort = wanted > current && (this._short.has(team) || use > RAISE_FROM_PART * current);
		return isShort || wanted * TOO_HIGH_TIMES < current ? wanted : undefined;
	}

	private _grant(holder: string, { team, needed, ahead }: CreditReport, now: Millis): CreditGrant {
		const limit = this._limitOf(team);
		if (!limit) {
			return { granted: needed, roomInMs: 0 };
		}
		const most = mostInWindow(limit, this._terms);
		const ceiling = this._ceiling(team, most);
		const isAlone = now >= this._startedAt + settleMs(this._terms);
		const free = Math.max(0, most - (isAlone ? 0 : this._ceilings.before(team, most)));
		const grant = this._accountOf(team).grant(holder, needed, ahead, Math.min(ceiling, free), now);
		if (grant.granted < needed + ahead && ceiling < free) {
			this._short.set(team, (this._short.get(team) ?? 0) + needed + ahead - grant.granted);
		}
		return grant;
	}

	private _ceiling(team: string, most: number): number {
		return Math.min(this._ceilings.current(team, most), this._proposed.get(team) ?? Number.POSITIVE_INFINITY);
	}

	private _accountOf(team: string): TeamAccount {
		let account = this._accounts.get(team);
		if (!account) {
			account = new TeamAccount(this._terms.windowMs);
			this._accounts.set(team, account);
		}
		return account;
	}
}
