/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Replay of many teams at all entry instances of three regions, with the real holders and ledgers in virtual time. */

import { mock } from 'node:test';
import { type Millis, systemClock } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IAgreement } from '../../agreement/common/agreement.js';
import type { IReplicatedPart, PartCommand } from '../../agreement/common/replicatedState.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';
import { maxRequestsPerWindow } from '../common/limitPolicy.js';
import type { CreditGrant, RenewRequest, TakeResponse } from '../common/limitWire.js';
import { LimitVerdict } from '../common/teamLimits.js';
import { CreditHolder } from '../node/creditHolder.js';
import { LeaderLedger } from '../node/leaderLedger.js';
import { TeamAdmissionQueue } from '../node/teamAdmissionQueue.js';
import { POLICY } from './limitSimulation.js';

const HOLDER_COUNT = 6;
const REGION_COUNT = 3;
const ENTRY_COUNT = 65;
const TEAM_COUNT = 75;
const TOTAL_PER_SECOND = 1200;
const TEAM_SKEW = 1.2;
const LIMIT_PER_RATE = 1.6;
const HOP_MS = 1;
const REGION_HOP_MS = 35;
const COMMIT_MS = 2 * REGION_HOP_MS;
const LOG = { info: () => undefined, warn: () => undefined } as unknown as ILogService;

/** A request of the replay. */
export interface ReplayedRequest {
	readonly team: number;
	readonly at: Millis;
	waitMs: Millis;
	verdict: LimitVerdict | undefined;
}

/** One control instance. */
interface Control {
	readonly part: IReplicatedPart[];
	readonly leadership: Emitter<boolean>;
	readonly ledger: LeaderLedger;
	readonly holder: CreditHolder;
}

/** Control instances, entry instances and callers of all teams. */
export class LimitReplay {
	readonly requests: ReplayedRequest[] = [];
	readonly rates = teamRates();
	/** Calls to the leader. */
	renewals = 0;
	/** Commands that the leaders committed. */
	commits = 0;
	/** Fraction of the callers of the first region that go to the second one. */
	shifted = 0;
	private readonly _controls: Control[] = [];
	private readonly _log: unknown[] = [];
	private _starts = 0;
	private readonly _queues = new Map<string, TeamAdmissionQueue>();
	private _now = 1000000;
	private _leader: number | undefined;
	private _term = 0;

	/** @param _seed state of the random numbers */
	constructor(private _seed = 7) {
		mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
		mock.method(systemClock, 'now', () => this._now);
		for (let i = 0; i < HOLDER_COUNT; i++) {
			this._controls.push(this._createControl(i));
		}
	}

	dispose(): void {
		this._controls.forEach(({ ledger, holder }) => {
			ledger.dispose();
			holder.dispose();
		});
		mock.timers.reset();
		mock.restoreAll();
	}

	get now(): Millis {
		return this._now;
	}

	limitOf(team: number): TeamLimit {
		const perSecond = Math.ceil(this.rates[team]! * LIMIT_PER_RATE);
		return { perSecond, burst: perSecond };
	}

	setLeader(leader: number | undefined): void {
		const previous = this._leader;
		this._leader = leader;
		if (previous !== undefined) {
			this._controls[previous]!.leadership.fire(false);
		}
		if (leader !== undefined) {
			this._term++;
			this._controls[leader]!.leadership.fire(true);
		}
	}

	/** Restarts all control and entry instances: what is left is the log, whose commands they learn again, now. */
	restartAll(): void {
		this._leader = undefined;
		this._term++;
		this._controls.forEach(({ ledger, holder }) => {
			ledger.dispose();
			holder.dispose();
		});
		this._queues.clear();
		this._controls.forEach((_, i) => {
			const control = this._createControl(i);
			this._controls[i] = control;
			this._log.forEach((body, at) => control.part.forEach(part => part.apply(body, at + 1)));
		});
	}

	/** Lets time pass with requests of all teams at `factorOf(team)` times their usual rate. */
	async run(spanMs: Millis, factorOf: (team: number) => number): Promise<void> {
		for (let i = 0; i < spanMs; i++) {
			this._now++;
			mock.timers.tick(1);
			this.rates.forEach((rate, team) => {
				for (let rest = (rate * factorOf(team)) / 1000; rest > 0; rest--) {
					if (this._random() < rest) {
						this._send(team);
					}
				}
			});
			await new Promise(setImmediate);
		}
	}

	/** Requests that were refused or left without an answer although the team sent no more than its limit in the window before. */
	refusedWithinLimit(): ReplayedRequest[] {
		return this.rates.flatMap((_, team) => {
			const { perSecond, burst } = this.limitOf(team);
			const allowed = (perSecond * POLICY.windowMs) / 1000 + burst;
			const requests = this.requests.filter(request => request.team === team);
			let first = 0;
			return requests.filter(({ at, verdict }, i) => {
				while (requests[first]!.at <= at - POLICY.windowMs) {
					first++;
				}
				return verdict !== undefined && verdict !== LimitVerdict.Admitted && i - first + 1 <= allowed;
			});
		});
	}

	/** The largest part of what a window may hold that any team was admitted. */
	maxUsedFraction(): number {
		return Math.max(
			...this.rates.map((_, team) => {
				const times = this.requests
					.filter(request => request.team === team && request.verdict === LimitVerdict.Admitted)
					.map(({ at, waitMs }) => at + waitMs)
					.sort((a, b) => a - b);
				let first = 0;
				const counts = times.map((at, i) => {
					while (times[first]! <= at - POLICY.windowMs) {
						first++;
					}
					return i - first + 1;
				});
				return Math.max(0, ...counts) / maxRequestsPerWindow(this.limitOf(team), POLICY);
			})
		);
	}

	/** The wait for a credit that the given fraction of the requests of teams other than `except` since a time did not exceed. */
	waitQuantile(fraction: number, from: Millis, except: number): Millis {
		const waits = this.requests
			.filter(({ at, team, verdict }) => at > from && team !== except && verdict === LimitVerdict.Admitted)
			.map(({ waitMs }) => waitMs)
			.sort((a, b) => a - b);
		return waits[Math.floor(fraction * (waits.length - 1))] ?? 0;
	}

	private _send(team: number): void {
		const entry = Math.floor(this._random() * ENTRY_COUNT);
		const isShifted = entry % REGION_COUNT === 0 && this._random() < this.shifted;
		const request: ReplayedRequest = { team, at: this._now, waitMs: 0, verdict: undefined };
		this.requests.push(request);
		void this._queueOf(isShifted ? entry + 1 : entry, team)
			.admit()
			.then(({ verdict }) => {
				request.waitMs = this._now - request.at;
				request.verdict = verdict;
			});
	}

	private _queueOf(entry: number, team: number): TeamAdmissionQueue {
		const key = `${entry} ${team}`;
		let queue = this._queues.get(key);
		if (!queue) {
			const { holder } = this._controls[entry % HOLDER_COUNT]!;
			queue = new TeamAdmissionQueue(async (needed, returned, returnedFrom): Promise<TakeResponse> => {
				await delay(HOP_MS);
				const response = await holder.take({ team: `t${team}`, needed, returned, returnedFrom });
				await delay(HOP_MS);
				return response;
			});
			this._queues.set(key, queue);
		}
		return queue;
	}

	private _createControl(index: number): Control {
		const leadership = new Emitter<boolean>();
		const parts: IReplicatedPart[] = [];
		const agreement = {
			onDidChangeLeadership: leadership.event,
			addPart: (part: IReplicatedPart) => parts.push(part),
			propose: (command: PartCommand) => this._propose(index, command),
			hasLease: () => this._leader === index,
			status: () => ({ leader: String(this._leader), id: String(index), term: this._term, members: [] })
		} as unknown as IAgreement;
		const limitOf = (team: string): TeamLimit => this.limitOf(Number(team.slice(1)));
		return {
			part: parts,
			leadership,
			ledger: new LeaderLedger(agreement, POLICY, limitOf, LOG),
			holder: new CreditHolder(`c${index} ${++this._starts}`, request => this._renew(index, request), limitOf, LOG, {
				detectSuspension: () => false
			})
		};
	}

	private async _propose(index: number, { body }: PartCommand): Promise<void> {
		const term = this._term;
		await delay(COMMIT_MS);
		if (this._leader !== index || this._term !== term) {
			throw new Error('not the leader');
		}
		this.commits++;
		this._log.push(body);
		this._controls.forEach(({ part }) => part.forEach(each => each.apply(body, this.commits)));
	}

	private async _renew(from: number, request: RenewRequest): Promise<readonly CreditGrant[] | undefined> {
		const leader = this._leader;
		if (leader === undefined) {
			return undefined;
		}
		this.renewals++;
		const hop = leader % REGION_COUNT === from % REGION_COUNT ? HOP_MS : REGION_HOP_MS;
		await delay(hop);
		const { grants } = await this._controls[leader]!.ledger.renew(request);
		await delay(hop);
		return grants;
	}

	private _random(): number {
		return (this._seed = (this._seed * 48271) % 2147483647) / 2147483647;
	}
}

function teamRates(): number[] {
	const weights = Array.from({ length: TEAM_COUNT }, (_, i) => (i + 1) ** -TEAM_SKEW);
	const sum = weights.reduce((total, weight) => total + weight, 0);
	return weights.map(weight => (TOTAL_PER_SECOND * weight) / sum);
}

function delay(ms: Millis): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}
