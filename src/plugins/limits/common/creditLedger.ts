/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The leader's account of the credits of teams. A request costs one credit, credits flow in at the rate of the team's limit,
 * and what is at hand and out together stays within a capacity: so the requests of any window are at most the capacity and
 * the rate times the window, whoever holds the credits, and whatever is lost, late or said twice.
 */

import type { Millis } from '../../../base/clock.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';
import {
	CREDIT_LIFE_MS,
	creditCapacity,
	type ILimitTerms,
	LAPSE_MARGIN_MS,
	RESERVE_AFTER_MS,
	STANDING_MS,
	STANDING_PART
} from './limitTerms.js';
import type { CreditAsk, CreditGrant, CreditNeed, NeedGrant } from './limitWire.js';

/** Credits ahead of need are given while this part of the capacity is at hand; the rest is for requests that wait. */
const AHEAD_FROM_PART = 0.6;
/** Part of what is at hand that one renewal gets ahead of need, so that those who ask later find some. */
const AHEAD_PART = 0.25;

/** A renewal that was written before the answer to a need came does not count what that gave; it is counted beside it. */
const ON_THE_WAY_MS = 600;

const NOTHING: CreditGrant = { granted: 0, standing: 0 };

interface Holder {
	/** Credits that it may have. */
	credits: number;
	lapsesAt: Millis;
	heardAt: Millis;
	/** Requests a second that it may let pass while it is silent. */
	standing: number;
	/** What was kept back for that since it was heard. */
	reserved: number;
	/** What was given for requests that waited and has not been told to have come, oldest first. */
	given: readonly { readonly at: Millis; readonly credits: number }[];
	/** How many times it had got such credits, as it said last; undefined before it said so. */
	needsAnswered: number | undefined;
}

function newHolder(credits: number, standing: number, now: Millis): Holder {
	return { credits, lapsesAt: now, heardAt: now, standing, reserved: 0, given: [], needsAnswered: undefined };
}

/** The credits of one team. */
class TeamAccount {
	private readonly _holders = new Map<string, Holder>();
	private _level = 0;

	/** @param _startedAt when the ledger began */
	constructor(
		private readonly _startedAt: Millis,
		private _updatedAt: Millis
	) {}

	settle(holderId: string, ask: CreditAsk, limit: TeamLimit, capacity: number, now: Millis): CreditGrant {
		this._advance(limit, capacity, now);
		const holder = this._hear(holderId, ask, now);
		const out = this._sum(other => other.credits);
		this._level = Math.min(this._level, Math.max(0, capacity - out));
		const granted = this._grantAhead(ask, capacity);
		holder.credits += granted;
		holder.lapsesAt = now + CREDIT_LIFE_MS + LAPSE_MARGIN_MS;
		const others = this._sum(other => other.standing) - holder.standing;
		holder.standing = Math.max(0, Math.min(ask.perSecond, STANDING_PART * limit.perSecond - others));
		return { granted, standing: holder.standing };
	}

	/** Credits for requests that wait, as far as they are at hand. */
	need(holderId: string, needed: number, limit: TeamLimit, capacity: number, now: Millis): NeedGrant {
		this._advance(limit, capacity, now);
		const granted = Math.max(0, Math.min(needed, Math.floor(this._level)));
		this._level -= granted;
		if (granted > 0) {
			const holder = this._holders.get(holderId) ?? newHolder(0, 0, now);
			holder.credits += granted;
			holder.lapsesAt = now + CREDIT_LIFE_MS + LAPSE_MARGIN_MS;
			holder.given = [...holder.given, { at: now, credits: granted }];
			this._holders.set(holderId, holder);
		}
		const missing = needed - granted;
		const roomInMs = missing === 0 ? 0 : Math.ceil(((missing - this._level) / limit.perSecond) * 1000);
		return { granted, roomInMs };
	}

	/** Takes in what a holder says. One that is not known may hold credits of the leader before. */
	private _hear(id: string, ask: CreditAsk, now: Millis): Holder {
		const known = this._holders.get(id);
		this._level += Math.min(ask.returned, known?.credits ?? 0);
		this._level += (known?.reserved ?? 0) - ask.minted;
		const holder = newHolder(ask.held, known?.standing ?? 0, now);
		if (known) {
			const seen = known.needsAnswered === undefined ? 0 : ask.needsAnswered - known.needsAnswered;
			holder.given = known.given.slice(seen).filter(({ at }) => now - at < ON_THE_WAY_MS);
		}
		holder.needsAnswered = ask.needsAnswered;
		holder.credits += holder.given.reduce((sum, { credits }) => sum + credits, 0);
		this._holders.set(id, holder);
		return holder;
	}

	private _grantAhead({ held, wanted }: CreditAsk, capacity: number): number {
		const atHand = Math.max(0, Math.floor(this._level));
		const mayHaveAhead = atHand >= AHEAD_FROM_PART * capacity ? Math.ceil(AHEAD_PART * atHand) : 0;
		const ahead = Math.max(0, Math.min(wanted - held, mayHaveAhead));
		this._level -= ahead;
		return ahead;
	}

	private _advance(limit: TeamLimit, capacity: number, now: Millis): void {
		const from = this._updatedAt;
		this._updatedAt = now;
		this._level += this._inflow(limit, from, now);
		for (const [id, holder] of this._holders) {
			this._reserve(holder, from, now);
			this._lapse(id, holder, now);
		}
		this._level = Math.min(this._level, capacity);
	}

	/** While holders of the leader before may go on by their standing rates, only the rest of the rate flows in. */
	private _inflow(limit: TeamLimit, from: Millis, now: Millis): number {
		const knownFrom = this._startedAt + STANDING_MS + RESERVE_AFTER_MS;
		const unknownMs = Math.max(0, Math.min(now, knownFrom) - from);
		const inflow = (1 - STANDING_PART) * unknownMs + Math.max(0, now - from - unknownMs);
		return (limit.perSecond * inflow) / 1000;
	}

	private _reserve(holder: Holder, from: Millis, now: Millis): void {
		const begin = Math.max(from, holder.heardAt + RESERVE_AFTER_MS);
		const end = Math.min(now, holder.heardAt + STANDING_MS + LAPSE_MARGIN_MS);
		const kept = (holder.standing * Math.max(0, end - begin)) / 1000;
		holder.reserved += kept;
		this._level -= kept;
	}

	private _lapse(id: string, holder: Holder, now: Millis): void {
		if (now >= holder.lapsesAt) {
			this._level += holder.credits;
			holder.credits = 0;
		}
		if (now >= holder.heardAt + STANDING_MS + LAPSE_MARGIN_MS && holder.credits === 0) {
			this._holders.delete(id);
		}
	}

	private _sum(valueOf: (holder: Holder) => number): number {
		let total = 0;
		for (const holder of this._holders.values()) {
			total += valueOf(holder);
		}
		return total;
	}
}

/** The accounts of all teams, for the time of one leader. */
export class CreditLedger {
	private readonly _accounts = new Map<string, TeamAccount>();
	private readonly _sequences = new Map<string, number>();

	/** @param _startedAt when the leader took over */
	constructor(
		private readonly _terms: ILimitTerms,
		private readonly _startedAt: Millis
	) {}

	/**
	 * Settles one holder's renewal.
	 * @param limitOf the limit of a team by the table in force; undefined for none
	 * @returns the grants, in the order of the asks; undefined for a renewal that was overtaken
	 */
	renew(
		holder: string,
		sequence: number,
		asks: readonly CreditAsk[],
		limitOf: (team: string) => TeamLimit | undefined,
		now: Millis
	): CreditGrant[] | undefined {
		if (sequence <= (this._sequences.get(holder) ?? 0)) {
			return undefined;
		}
		this._sequences.set(holder, sequence);
		return asks.map(ask => this._settle(holder, ask, limitOf(ask.team), now));
	}

	/**
	 * Gives credits to requests that wait at one holder.
	 * @returns the grants, in the order of the needs
	 */
	need(
		holder: string,
		needs: readonly CreditNeed[],
		limitOf: (team: string) => TeamLimit | undefined,
		now: Millis
	): NeedGrant[] {
		return needs.map(({ team, needed }) => {
			const limit = limitOf(team);
			return limit
				? this._accountOf(team).need(holder, needed, limit, creditCapacity(limit, this._terms), now)
				: { granted: 0, roomInMs: 0 };
		});
	}

	private _settle(holder: string, ask: CreditAsk, limit: TeamLimit | undefined, now: Millis): CreditGrant {
		if (!limit) {
			this._accounts.delete(ask.team);
			return NOTHING;
		}
		return this._accountOf(ask.team).settle(holder, ask, limit, creditCapacity(limit, this._terms), now);
	}

	private _accountOf(team: string): TeamAccount {
		let account = this._accounts.get(team);
		if (!account) {
			account = new TeamAccount(this._startedAt, this._startedAt);
			this._accounts.set(team, account);
		}
		return account;
	}
}
