/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Holders of credits, the leader's ledger and the network between them, and load patterns that a test plays against them. */

import { CreditLedger } from '../common/creditLedger.js';
import { LedgerCeilings } from '../common/ledgerCeilings.js';
import { type ILimitTerms, settlementMs } from '../common/limitTerms.js';
import type { CreditGrant, RenewRequest } from '../common/limitWire.js';
import { TeamCredits } from '../common/teamCredits.js';

/** How windows are judged here. */
export const POLICY: ILimitTerms = { windowMs: 5000, excess: 0.1, slack: 20 };
/** The team of all requests. */
export const TEAM = 'team';
/** Control instances, where a test does not say how many. */
export const DEFAULT_HOLDER_COUNT = 6;

/** A control instance as far as its credits go. */
export class SimulatedHolder {
	credits = new TeamCredits();
	private _sequence = 0;

	constructor(readonly id: string) {}

	renewal(now: number): RenewRequest {
		return { holder: this.id, sequence: ++this._sequence, reports: [this.credits.report(TEAM, now)] };
	}
}

/** Holders, the leader's ledger and the network between them, with requests that pass counted by their time. */
export class LimitSimulation {
	now = 1000000;
	readonly admittedAt: number[] = [];
	refusedCount = 0;
	/** Requests that found no credit at their holder. */
	leaderRequestCount = 0;
	private readonly _ceilings = new LedgerCeilings();
	private _term = 0;
	private _termStartedAt = 0;
	private _ledger!: CreditLedger;
	private _restarts = 0;
	private readonly _holders = Array.from({ length: DEFAULT_HOLDER_COUNT }, (_, i) => new SimulatedHolder(`c${i}`));

	constructor(
		readonly limit: { perSecond: number; burst: number },
		holders = DEFAULT_HOLDER_COUNT
	) {
		this.changeLeader();
		this._holders.length = holders;
		for (let i = DEFAULT_HOLDER_COUNT; i < holders; i++) {
			this._holders[i] = new SimulatedHolder(`c${i}`);
		}
	}

	request(index: number, count: number): void {
		const { credits } = this._holders[index]!;
		credits.recordRequests(count, this.now);
		const taken = credits.takeUpTo(count, this.now);
		this.admittedAt.push(...new Array<number>(taken).fill(this.now));
		this.refusedCount += count - taken;
	}

	/** A request that waits for the leader where there is no credit. */
	requestWithRenewal(index: number): void {
		const { credits } = this._holders[index]!;
		credits.recordRequests(1, this.now);
		if (credits.takeUpTo(1, this.now) === 0) {
			this.leaderRequestCount++;
			this.renewUrgently(index, 1, 'answered');
			if (credits.takeUpTo(1, this.now) === 0) {
				this.refusedCount++;
				return;
			}
		}
		this.admittedAt.push(this.now);
	}

	/** A request that was let through turns out not to have run. */
	giveBack(index: number): void {
		if (this.admittedAt.at(-1) === this.now) {
			this.admittedAt.pop();
			this._holders[index]!.credits.giveBack(1);
		}
	}

	renew(index: number, fate: 'answered' | 'lost' | 'answer lost' | 'twice'): void {
		const holder = this._holders[index]!;
		const request = holder.renewal(this.now);
		if (fate === 'lost') {
			return;
		}
		const grant = this._renewAtLeader(request);
		if (fate === 'twice') {
			this._renewAtLeader(request);
		}
		if (fate !== 'answer lost') {
			this._applyGrant(holder, request, grant, this.now);
		}
	}

	/** Requests that wait, also where the answer comes after that to a later call. */
	renewUrgently(
		index: number,
		count: number,
		fate: 'answered' | 'answer lost' | 'after a renewal' | 'overtaken'
	): void {
		const holder = this._holders[index]!;
		holder.credits.waitingRequests += count;
		const request = holder.renewal(this.now);
		const later = fate === 'after a renewal' || fate === 'overtaken' ? holder.renewal(this.now) : undefined;
		const renewedFirst = later && fate === 'overtaken' ? this._renewAtLeader(later) : undefined;
		const grant = this._renewAtLeader(request);
		const renewed = renewedFirst ?? (later && this._renewAtLeader(later));
		if (fate === 'answer lost') {
			return;
		}
		if (later) {
			this._applyGrant(holder, later, renewed!, this.now);
		}
		this._applyGrant(holder, request, grant, this.now);
	}

	restart(index: number): void {
		this._holders[index] = new SimulatedHolder(`c${index} again ${++this._restarts}`);
	}

	/** As the replicated log has it: a leader that lasted long enough has said so. */
	changeLeader(): void {
		if (this._term > 0 && this.now - this._termStartedAt >= settlementMs(POLICY)) {
			this._ceilings.apply({ type: 'settle', term: this._term });
		}
		this._ceilings.apply({ type: 'begin', term: ++this._term });
		this._termStartedAt = this.now;
		this._ledger = new CreditLedger(POLICY, this._ceilings, () => this.limit, this.now);
	}

	/** The leader writes down the ceilings that it wants; they may be lost with its leadership. */
	updateCeilings(isCommitted = true): void {
		const ceilings = this._ledger.takeNewCeilings(this.now);
		if (isCommitted) {
			this._ceilings.apply({ type: 'ceilings', term: this._term, ceilings });
		}
	}

	renewAll(): void {
		this._holders.forEach((_, i) => this.renew(i, 'answered'));
		this.updateCeilings();
	}

	/** The most requests that passed in any window. */
	maxAdmittedInWindow(): number {
		let max = 0;
		let first = 0;
		this.admittedAt.forEach((at, i) => {
			while (this.admittedAt[first]! <= at - POLICY.windowMs) {
				first++;
			}
			max = Math.max(max, i - first + 1);
		});
		return max;
	}

	get size(): number {
		return this._holders.length;
	}

	get maxAllowedInWindow(): number {
		const perWindow = (this.limit.perSecond * POLICY.windowMs) / 1000;
		return (perWindow + this.limit.burst) * (1 + POLICY.excess) + POLICY.slack;
	}

	private _renewAtLeader(request: RenewRequest): CreditGrant {
		return this._ledger.renew(request, this.now)[0]!;
	}

	private _applyGrant({ credits }: SimulatedHolder, request: RenewRequest, grant: CreditGrant, sentAt: number): void {
		credits.recordAcknowledged(request.reports[0]!);
		credits.add(grant.granted, sentAt);
	}
}

/** All instances ask for more than the limit, each renewing but for those that are cut off. */
export function overload(
	simulation: LimitSimulation,
	spanMs: number,
	disconnected: readonly number[],
	idle: readonly number[] = []
): void {
	for (const until = simulation.now + spanMs; simulation.now < until; simulation.now += 50) {
		for (let i = 0; i < DEFAULT_HOLDER_COUNT; i++) {
			if (!idle.includes(i)) {
				simulation.request(i, 5);
			}
			if (!disconnected.includes(i)) {
				simulation.renew(i, 'answered');
				if (!idle.includes(i)) {
					simulation.renewUrgently(i, 5, 'answered');
				}
			}
		}
	}
}

/** Requests that come by chance at all instances, each of which waits for the leader where it finds no credit. */
export function sendRandomRequests(
	simulation: LimitSimulation,
	perSecond: number,
	spanMs: number
): { count: number; asked: number } {
	const stepMs = 10;
	let seed = 7;
	const random = (): number => (seed = (seed * 48271) % 2147483647) / 2147483647;
	let count = 0;
	const askedBefore = simulation.leaderRequestCount;
	for (let i = 0; i < spanMs / stepMs; i++) {
		simulation.now += stepMs;
		if (i % 50 === 0) {
			simulation.renewAll();
		}
		if (i % 20 === 0) {
			simulation.updateCeilings();
		}
		for (let left = (perSecond * stepMs) / 1000; left > 0; left--) {
			if (left >= 1 || random() < left) {
				count++;
				simulation.requestWithRenewal(Math.floor(random() * simulation.size));
			}
		}
	}
	return { count, asked: simulation.leaderRequestCount - askedBefore };
}
