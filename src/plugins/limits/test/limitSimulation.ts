/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Simulation of credit holders, the leader's ledger and the network between them, with load patterns for tests. */

import assert from 'node:assert/strict';
import { CreditLedger } from '../common/creditLedger.js';
import { LedgerCeilings, type LedgerCommand } from '../common/ledgerCeilings.js';
import { type ILimitPolicy, settlementMs } from '../common/limitPolicy.js';
import type { CreditGrant, RenewRequest } from '../common/limitWire.js';
import { TeamCredits } from '../common/teamCredits.js';

/** Limit policy of all simulations. */
export const POLICY: ILimitPolicy = { windowMs: 5000, excessFraction: 0.1, slackRequests: 20 };
/** Team of all simulated requests. */
export const TEAM = 'team';
/** Number of control instances, unless a test sets another one. */
export const DEFAULT_HOLDER_COUNT = 6;

/** The credits of a control instance. */
export class SimulatedHolder {
	credits = new TeamCredits();
	private _sequence = 0;

	constructor(readonly id: string) {}

	renewal(now: number): RenewRequest {
		const report = this.credits.report(TEAM, now);
		this.credits.endReport(report);
		return { holder: this.id, sequence: ++this._sequence, reports: [report] };
	}
}

/** Holders and the leader's ledger; records the times of admitted requests. */
export class LimitSimulation {
	now = 1000000;
	readonly admittedAt: number[] = [];
	refusedCount = 0;
	/** Number of requests that found no credit at their holder, so that it called the leader. */
	urgentRenewalCount = 0;
	private readonly _commands: LedgerCommand[] = [];
	/** Updates whose proposal failed; they may still be committed before the next leader begins. */
	private _undecided: LedgerCommand[] = [];
	private _ceilings = this._createCeilings();
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

	/** A request that waits for a renewal if its holder has no credit. */
	requestWithRenewal(index: number): void {
		const { credits } = this._holders[index]!;
		credits.recordRequests(1, this.now);
		if (credits.takeUpTo(1, this.now) === 0) {
			this.urgentRenewalCount++;
			this.renewUrgently(index, 1, 'answered');
			if (credits.takeUpTo(1, this.now) === 0) {
				this.refusedCount++;
				return;
			}
		}
		this.admittedAt.push(this.now);
	}

	/** Returns the credit of a request that was admitted just now and did not run. */
	giveBack(index: number): void {
		if (this.admittedAt.at(-1) === this.now) {
			this.admittedAt.pop();
			this._holders[index]!.credits.giveBack(1);
		}
	}

	/** Returns credits of earlier requests that did not run; the caller leaves these out of the admitted ones. */
	giveBackLate(index: number, count: number): void {
		this._holders[index]!.credits.giveBack(count);
	}

	renew(index: number, outcome: 'answered' | 'request lost' | 'response lost' | 'request duplicated'): void {
		const holder = this._holders[index]!;
		const request = holder.renewal(this.now);
		if (outcome === 'request lost') {
			return;
		}
		const grant = this._renewAtLeader(request);
		if (outcome === 'request duplicated') {
			this._renewAtLeader(request);
		}
		if (outcome !== 'response lost') {
			this._applyGrant(holder, request, grant, this.now);
		}
	}

	/** Renews credits for waiting requests, optionally with a later call whose messages arrive first. */
	renewUrgently(
		index: number,
		count: number,
		outcome: 'answered' | 'response lost' | 'responses reordered' | 'requests reordered'
	): void {
		const holder = this._holders[index]!;
		holder.credits.waitingRequests += count;
		const request = holder.renewal(this.now);
		const later =
			outcome === 'responses reordered' || outcome === 'requests reordered' ? holder.renewal(this.now) : undefined;
		const renewedFirst = later && outcome === 'requests reordered' ? this._renewAtLeader(later) : undefined;
		const grant = this._renewAtLeader(request);
		const renewed = renewedFirst ?? (later && this._renewAtLeader(later));
		if (outcome === 'response lost') {
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

	/** Starts a new leader; the previous one has committed `settle` if it was in office for long enough. */
	changeLeader(): void {
		this._settleIfDue();
		this._commit({ type: 'begin', term: ++this._term });
		this._termStartedAt = this.now;
		this._ledger = new CreditLedger(POLICY, this._ceilings, () => this.limit);
	}

	/** Proposes new ceilings. One whose proposal failed is lost, or committed before what is committed next. */
	updateCeilings(outcome: 'committed' | 'lost' | 'undecided' = 'committed'): void {
		const update = this._ledger.takeNewCeilings(this.now);
		const command: LedgerCommand = { type: 'ceilings', term: this._term, ...update };
		if (outcome === 'committed') {
			this._commit(command);
			this._ledger.recordCommitted();
		} else if (outcome === 'undecided') {
			this._undecided.push(command);
		}
	}

	/** Restarts all instances: nothing is left but the log, whose commands are learned again, now. */
	restartEverything(downMs: number): void {
		this._settleIfDue();
		this.now += downMs;
		this._holders.forEach((_, i) => this.restart(i));
		this._ceilings = this._createCeilings();
		this._commands.forEach(command => this._ceilings.apply(command));
		this._termStartedAt = this.now;
		this.changeLeader();
	}

	/** Restarts the next leader, which then knows the replicated state, but not since when. */
	restoreState(): void {
		const saved = this._ceilings.save();
		this._ceilings = this._createCeilings();
		this._ceilings.restore(saved);
		this.changeLeader();
	}

	renewAll(): void {
		this._holders.forEach((_, i) => this.renew(i, 'answered'));
		this.updateCeilings();
	}

	/** Maximum number of requests admitted in any window. */
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
		return (perWindow + this.limit.burst) * (1 + POLICY.excessFraction) + POLICY.slackRequests;
	}

	private _settleIfDue(): void {
		if (this._term > 0 && this.now - this._termStartedAt >= settlementMs(POLICY)) {
			this._commit({ type: 'settle', term: this._term });
		}
	}

	private _commit(command: LedgerCommand): void {
		for (const each of [...this._undecided, command]) {
			this._commands.push(each);
			this._ceilings.apply(each);
		}
		this._undecided = [];
	}

	private _createCeilings(): LedgerCeilings {
		return new LedgerCeilings(POLICY, () => this.now);
	}

	private _renewAtLeader(request: RenewRequest): CreditGrant {
		let grants = this._ledger.renew(request, this.now);
		if (this._ledger.needsCeiling(request, grants)) {
			this.updateCeilings();
			grants = this._ledger.grantRemaining(request, grants, this.now);
		}
		return grants[0]!;
	}

	private _applyGrant({ credits }: SimulatedHolder, request: RenewRequest, grant: CreditGrant, sentAt: number): void {
		credits.recordAcknowledged(request.reports[0]!);
		credits.add(grant.granted, sentAt);
	}
}

/** Sends more requests than the limit allows at all instances that are not idle; disconnected ones don't renew credits. */
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

/** Sends requests at random instances and times; each waits for a renewal if it finds no credit. */
export function sendRandomRequests(
	simulation: LimitSimulation,
	perSecond: number,
	spanMs: number
): { count: number; renewals: number } {
	const stepMs = 10;
	let seed = 7;
	const random = (): number => (seed = (seed * 48271) % 2147483647) / 2147483647;
	let count = 0;
	const renewalsBefore = simulation.urgentRenewalCount;
	for (let i = 0; i < spanMs / stepMs; i++) {
		simulation.now += stepMs;
		if (i % 50 === 0) {
			simulation.renewAll();
		}
		if (i % 20 === 0) {
			simulation.updateCeilings();
		}
		for (let remaining = (perSecond * stepMs) / 1000; remaining > 0; remaining--) {
			if (remaining >= 1 || random() < remaining) {
				count++;
				simulation.requestWithRenewal(Math.floor(random() * simulation.size));
			}
		}
	}
	return { count, renewals: simulation.urgentRenewalCount - renewalsBefore };
}

/** Fails if a window contains more requests than the limit allows. */
export function assertWithinLimit(simulation: LimitSimulation): void {
	assert.ok(
		simulation.maxAdmittedInWindow() <= simulation.maxAllowedInWindow,
		`${simulation.maxAdmittedInWindow()} of ${simulation.maxAllowedInWindow}`
	);
}
