/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The sum of a team's requests over all instances, whatever is lost, late or started again on the way. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { CreditLedger } from '../common/creditLedger.js';
import { creditCapacity, CREDIT_LIFE_MS, type ILimitTerms } from '../common/limitTerms.js';
import type { CreditAsk, CreditGrant } from '../common/limitWire.js';
import { TeamCredits } from '../common/teamCredits.js';

const TERMS: ILimitTerms = { windowMs: 5000, excess: 0.1, slack: 20 };
const TEAM = 'team';
const HOLDERS = 6;

/** An entry instance as far as its credits go. */
class Holder {
	credits = new TeamCredits();
	private _sequence = 0;

	constructor(readonly id: string) {}

	renewal(now: number): { ask: CreditAsk; sequence: number } {
		return { ask: this.credits.ask(TEAM, now), sequence: ++this._sequence };
	}
}

/** Instances, the leader's ledger and the network between them, with requests that pass counted by their time. */
class Fleet {
	now = 1000000;
	readonly passed: number[] = [];
	turnedAway = 0;
	private _ledger: CreditLedger;
	private _restarts = 0;
	private readonly _holders = Array.from({ length: HOLDERS }, (_, i) => new Holder(`e${i}`));

	constructor(
		readonly limit: { perSecond: number; burst: number },
		holders = HOLDERS
	) {
		this._ledger = new CreditLedger(TERMS, this.now - 60000);
		this._holders.length = holders;
		for (let i = HOLDERS; i < holders; i++) {
			this._holders[i] = new Holder(`e${i}`);
		}
	}

	request(index: number, count: number): void {
		const { credits } = this._holders[index]!;
		for (let i = 0; i < count; i++) {
			credits.noteRequest(this.now);
			if (credits.take(this.now)) {
				this.passed.push(this.now);
			} else {
				this.turnedAway++;
			}
		}
	}

	/** A request that waits for a renewal where there is no credit. */
	requestOrAsk(index: number): void {
		const { credits } = this._holders[index]!;
		credits.noteRequest(this.now);
		if (!credits.take(this.now)) {
			this.need(index, 1, 'answered');
			if (!credits.take(this.now)) {
				this.turnedAway++;
				return;
			}
		}
		this.passed.push(this.now);
	}

	renew(index: number, fate: 'answered' | 'lost' | 'answer lost' | 'twice'): void {
		const holder = this._holders[index]!;
		const sentAt = this.now;
		const { ask, sequence } = holder.renewal(sentAt);
		if (fate === 'lost') {
			return;
		}
		const grant = this._settle(holder, sequence, ask);
		if (fate === 'twice') {
			assert.equal(this._settle(holder, sequence, ask), undefined);
		}
		if (grant && fate !== 'answer lost') {
			holder.credits.takeGrant(ask, grant, sentAt);
		}
	}

	/** A need that is answered late, after a renewal that was written before its answer came. */
	need(index: number, count: number, fate: 'answered' | 'answer lost' | 'after a renewal'): void {
		const holder = this._holders[index]!;
		const sentAt = this.now;
		const early = fate === 'after a renewal' ? holder.renewal(this.now) : undefined;
		const [grant] = this._ledger.need(holder.id, [{ team: TEAM, needed: count }], () => this.limit, this.now);
		const renewed = early && this._settle(holder, early.sequence, early.ask);
		if (fate !== 'answer lost') {
			holder.credits.add(grant!.granted, sentAt);
		}
		if (early && renewed) {
			holder.credits.takeGrant(early.ask, renewed, sentAt);
		}
	}

	restart(index: number): void {
		this._holders[index] = new Holder(`e${index} again ${++this._restarts}`);
	}

	changeLeader(): void {
		this._ledger = new CreditLedger(TERMS, this.now);
	}

	renewAll(): void {
		this._holders.forEach((_, i) => this.renew(i, 'answered'));
	}

	/** The most requests that passed in any window. */
	mostInWindow(): number {
		let most = 0;
		let first = 0;
		this.passed.forEach((at, i) => {
			while (this.passed[first]! <= at - TERMS.windowMs) {
				first++;
			}
			most = Math.max(most, i - first + 1);
		});
		return most;
	}

	get allowed(): number {
		const perWindow = (this.limit.perSecond * TERMS.windowMs) / 1000;
		return (perWindow + this.limit.burst) * (1 + TERMS.excess) + TERMS.slack;
	}

	private _settle(holder: Holder, sequence: number, ask: CreditAsk): CreditGrant | undefined {
		return this._ledger.renew(holder.id, sequence, [ask], () => this.limit, this.now)?.[0];
	}
}

const holderIndex = fc.integer({ min: 0, max: HOLDERS - 1 });
const step = fc.oneof(
	{ weight: 6, arbitrary: fc.record({ type: fc.constant('pass' as const), ms: fc.integer({ min: 1, max: 400 }) }) },
	{
		weight: 8,
		arbitrary: fc.record({
			type: fc.constant('request' as const),
			index: holderIndex,
			count: fc.integer({ min: 1, max: 30 })
		})
	},
	{
		weight: 6,
		arbitrary: fc.record({
			type: fc.constant('renew' as const),
			index: holderIndex,
			fate: fc.constantFrom('answered', 'answered', 'lost', 'answer lost', 'twice')
		})
	},
	{
		weight: 5,
		arbitrary: fc.record({
			type: fc.constant('need' as const),
			index: holderIndex,
			count: fc.integer({ min: 1, max: 5 }),
			fate: fc.constantFrom('answered', 'answer lost', 'after a renewal')
		})
	},
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), index: holderIndex }) },
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('renewAll' as const) }) }
);

function play(fleet: Fleet, steps: readonly (typeof step extends fc.Arbitrary<infer T> ? T : never)[]): void {
	for (const item of steps) {
		switch (item.type) {
			case 'pass':
				fleet.now += item.ms;
				break;
			case 'request':
				fleet.request(item.index, item.count);
				break;
			case 'renew':
				fleet.renew(item.index, item.fate);
				break;
			case 'need':
				fleet.need(item.index, item.count, item.fate);
				break;
			case 'restart':
				fleet.restart(item.index);
				break;
			case 'renewAll':
				fleet.renewAll();
				break;
		}
	}
}

const limits = fc.record({
	perSecond: fc.integer({ min: 1, max: 60 }),
	burst: fc.integer({ min: 0, max: 60 })
});

test('the sum of a window holds for every interleaving of requests, renewals, losses and restarts', () => {
	const steps = fc.array(step, { minLength: 50, maxLength: 400 });
	fc.assert(
		fc.property(limits, steps, (limit, items) => {
			const fleet = new Fleet(limit);
			play(fleet, items);
			assert.ok(fleet.mostInWindow() <= fleet.allowed, `${fleet.mostInWindow()} of ${fleet.allowed}`);
		}),
		{ numRuns: 400 }
	);
});

test('it holds when the leader changes, also while instances go on by their standing rates', () => {
	const steps = fc.array(step, { minLength: 50, maxLength: 200 });
	fc.assert(
		fc.property(limits, steps, fc.integer({ min: 0, max: 3000 }), steps, (limit, before, gapMs, later) => {
			const fleet = new Fleet(limit);
			play(fleet, before);
			fleet.now += gapMs;
			for (let i = 0; i < HOLDERS; i++) {
				fleet.request(i, 20);
			}
			fleet.changeLeader();
			play(fleet, later);
			assert.ok(fleet.mostInWindow() <= fleet.allowed, `${fleet.mostInWindow()} of ${fleet.allowed}`);
		}),
		{ numRuns: 400 }
	);
});

/** All instances ask for more than the limit, each renewing but for those that are cut off. */
function press(fleet: Fleet, spanMs: number, cutOff: readonly number[], idle: readonly number[] = []): void {
	for (const until = fleet.now + spanMs; fleet.now < until; fleet.now += 50) {
		for (let i = 0; i < HOLDERS; i++) {
			if (!idle.includes(i)) {
				fleet.request(i, 5);
			}
			if (!cutOff.includes(i)) {
				fleet.renew(i, 'answered');
				if (!idle.includes(i)) {
					fleet.need(i, 5, 'answered');
				}
			}
		}
	}
}

function assertSum(fleet: Fleet): void {
	assert.ok(fleet.mostInWindow() <= fleet.allowed, `${fleet.mostInWindow()} of ${fleet.allowed}`);
}

test('what instances that are cut off let pass by their standing rates is kept back from the others', () => {
	const fleet = new Fleet({ perSecond: 60, burst: 0 });
	press(fleet, 10000, []);
	press(fleet, 10000, [0, 1, 2]);
	assertSum(fleet);
});

test('a new leader leaves room for instances that go on by the standing rates of the one before', () => {
	const fleet = new Fleet({ perSecond: 60, burst: 0 });
	press(fleet, 10000, []);
	fleet.changeLeader();
	press(fleet, 10000, [0, 1, 2, 3, 4]);
	assertSum(fleet);
});

test('credits that the leader before gave out and those of the new one are within the sum together', () => {
	const fleet = new Fleet({ perSecond: 60, burst: 0 });
	press(fleet, 10000, [], [1, 2, 3, 4, 5]);
	press(fleet, 200, [], [0, 1, 2, 3, 4, 5]);
	fleet.changeLeader();
	press(fleet, CREDIT_LIFE_MS - 400, [0], [0]);
	press(fleet, 300, [0]);
	press(fleet, 5000, []);
	assertSum(fleet);
});

test('a lowered limit holds once what was held has lapsed', () => {
	const fleet = new Fleet({ perSecond: 50, burst: 50 });
	for (let i = 0; i < 200; i++) {
		fleet.now += 50;
		fleet.request(i % HOLDERS, 3);
		fleet.renewAll();
	}
	fleet.limit.perSecond = 5;
	fleet.limit.burst = 5;
	const lapsedAt = fleet.now + CREDIT_LIFE_MS;
	for (let i = 0; i < 400; i++) {
		fleet.now += 50;
		fleet.request(i % HOLDERS, 3);
		fleet.renewAll();
	}
	const late = fleet.passed.filter(at => at > lapsedAt);
	fleet.passed.length = 0;
	fleet.passed.push(...late);
	assert.ok(fleet.mostInWindow() <= fleet.allowed, `${fleet.mostInWindow()} of ${fleet.allowed}`);
});

test('teams of every size that stay within their limit are hardly ever turned away', () => {
	for (const [perSecond, burst, instances] of [
		[5, 5, 22],
		[20, 20, 22],
		[300, 300, 66]
	] as const) {
		const fleet = new Fleet({ perSecond, burst }, instances);
		fleet.now += 10000;
		const sent = perSecond * 0.63;
		let seed = 7;
		const random = (): number => (seed = (seed * 48271) % 2147483647) / 2147483647;
		const stepMs = 10;
		let count = 0;
		for (let i = 0; i < 6000; i++) {
			fleet.now += stepMs;
			if (i % 100 === 0) {
				fleet.renewAll();
			}
			for (let left = (sent * stepMs) / 1000; left > 0; left--) {
				if (left >= 1 || random() < left) {
					count++;
					fleet.requestOrAsk(Math.floor(random() * instances));
				}
			}
		}
		assert.ok(fleet.turnedAway <= count / 1000, `${perSecond} a second: ${fleet.turnedAway} of ${count}`);
		assert.ok(fleet.mostInWindow() <= fleet.allowed);
	}
});

test('an instance that hears nothing goes on by its standing rate for a while, then no more', () => {
	const fleet = new Fleet({ perSecond: 60, burst: 20 });
	for (let i = 0; i < 100; i++) {
		fleet.now += 100;
		fleet.request(0, 1);
		fleet.renew(0, 'answered');
	}
	const cutAt = fleet.now;
	for (let i = 0; i < 100; i++) {
		fleet.now += 100;
		fleet.request(0, 1);
	}
	const between = (from: number, to: number): number =>
		fleet.passed.filter(at => at > cutAt + from && at <= cutAt + to).length;
	assert.ok(between(3000, 5000) >= 10, `${between(3000, 5000)}`);
	assert.equal(between(5500, 10000), 0);
});

test('half of what a window may hold beyond its rate is for one leader', () => {
	assert.equal(creditCapacity({ perSecond: 10, burst: 10 }, TERMS), (0.9 * (5 + 11 + 20)) / 2);
});
