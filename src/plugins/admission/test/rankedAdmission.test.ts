/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Admission by rank at one instance: failures of its surroundings, bounds of its state, and its cost. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '../../../base/clock.js';
import { RankedAdmission } from '../common/rankedAdmission.js';
import { type ShortageDecision, ShortageOutcome, type ShortageRequest } from '../common/shortageAdmission.js';

const URGENT = { team: 0, route: 0 };
const LESS_URGENT = { team: 0, route: 2 };

function createRequest(overrides: Partial<ShortageRequest> = {}): ShortageRequest {
	return { service: 'reads', rank: URGENT, teamName: undefined, deadline: Number.POSITIVE_INFINITY, ...overrides };
}

const urgent = createRequest();
const lessUrgent = createRequest({ rank: LESS_URGENT });

/** Requests for which the targets have room at most, and how many of them are left to requests that are not reduced. */
const MAX_ROOM = 6;
const RESERVED_ROOM = 2;

/** An instance whose targets find room for a given number of its requests per second. */
class Instance {
	now: Millis = 1000;
	private _room = 0;
	private _randomState = 1;
	readonly admission = new RankedAdmission(() => this._nextRandom());

	constructor(public capacityPerSecond = 20) {}

	/** Sends requests at even intervals, drawn from those given; returns the part of each that was admitted and found room. */
	run(durationMs: Millis, perSecond: number, requests: readonly ShortageRequest[]): number[] {
		const sent = requests.map(() => 0);
		const served = requests.map(() => 0);
		for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1000 / perSecond) {
			this.now += 1000 / perSecond;
			this._room = Math.min(MAX_ROOM, this._room + this.capacityPerSecond / perSecond);
			const drawn = Math.floor(this._nextRandom() * requests.length);
			sent[drawn]!++;
			served[drawn]! += this._send(requests[drawn]!) ? 1 : 0;
		}
		return served.map((number, i) => number / sent[i]!);
	}

	private _nextRandom(): number {
		this._randomState = (Math.imul(this._randomState, 1664525) + 1013904223) >>> 0;
		return this._randomState / 2 ** 32;
	}

	private _send(request: ShortageRequest): boolean {
		const decision = this.admission.decide(request, this.now);
		if (decision.kind === 'refuse') {
			return false;
		}
		const hasRoom = this._room >= (decision.utilizationFactor < 1 ? 1 + RESERVED_ROOM : 1);
		this._room -= hasRoom ? 1 : 0;
		this.admission.recordOutcome(request, hasRoom ? ShortageOutcome.Completed : ShortageOutcome.NoTarget, this.now);
		return hasRoom;
	}
}

function isAdmittedAlike(decision: ShortageDecision): boolean {
	return decision.kind === 'admit' && decision.utilizationFactor === 1;
}

/** One urgent request in four. */
const MIX = [urgent, lessUrgent, lessUrgent, lessUrgent];

test('an instance without counts admits all, and decides by rank within two seconds', () => {
	const instance = new Instance();
	assert.ok(isAdmittedAlike(instance.admission.decide(lessUrgent, instance.now)));
	instance.run(2000, 60, MIX);
	const [urgentRatio, ...others] = instance.run(3000, 60, MIX);
	assert.ok(urgentRatio! >= 0.95, `${urgentRatio}`);
	assert.ok(others.every(ratio => ratio > 0.05 && ratio < 0.4));
});

test('once targets have room again, all are admitted alike within three seconds', () => {
	const instance = new Instance();
	instance.run(5000, 60, MIX);
	instance.capacityPerSecond = 1000;
	instance.run(3000, 60, MIX);
	assert.ok(isAdmittedAlike(instance.admission.decide(lessUrgent, instance.now)));
});

test('after a total stop of the targets, all are admitted alike within three seconds of their return', () => {
	const instance = new Instance();
	instance.capacityPerSecond = 0;
	instance.run(10000, 20, MIX);
	instance.capacityPerSecond = 30;
	instance.run(3000, 20, MIX);
	assert.ok(isAdmittedAlike(instance.admission.decide(lessUrgent, instance.now)));
});

test('a suspended process forgets the shortage: the monotonic clock jumps ahead', () => {
	const instance = new Instance();
	instance.run(5000, 60, MIX);
	instance.now += 3600_000;
	assert.ok(isAdmittedAlike(instance.admission.decide(lessUrgent, instance.now)));
});

test('the wall clock does not count', context => {
	const decisions = (): ShortageDecision[] => {
		const instance = new Instance();
		instance.run(5000, 60, MIX);
		return MIX.map(request => instance.admission.decide(request, instance.now));
	};
	const expected = decisions();
	let wallNow = 0;
	context.mock.method(Date, 'now', () => (wallNow += 3600_000));
	assert.deepEqual(decisions(), expected);
});

test('a key that moves to another team in a surge: a second later the small team next to it has its share', () => {
	const from = createRequest({ teamName: 'from' });
	const to = createRequest({ teamName: 'to' });
	const small = createRequest({ teamName: 'small' });
	const instance = new Instance();
	instance.run(5000, 60, [small, ...Array<ShortageRequest>(9).fill(from)]);
	instance.run(1000, 60, [small, ...Array<ShortageRequest>(9).fill(to)]);
	const [ratio] = instance.run(5000, 60, [small, ...Array<ShortageRequest>(9).fill(to)]);
	assert.ok(ratio! >= 0.95, `${ratio}`);
});

test('an older table at half of the instances: each goes by its own ranks, and nobody starves', () => {
	const older = new Instance();
	const newer = new Instance();
	const swapped = [lessUrgent, urgent, urgent, urgent];
	older.run(2000, 60, MIX);
	newer.run(2000, 60, swapped);
	for (const ratio of [...older.run(5000, 60, MIX), ...newer.run(5000, 60, swapped)]) {
		assert.ok(ratio > 0.05, `${ratio}`);
	}
});

test('only requests for the targets that are short are refused', () => {
	const instance = new Instance();
	const bound = { ...lessUrgent, homeRegions: ['south'] };
	instance.run(5000, 60, [{ ...urgent, homeRegions: ['south'] }, bound, bound]);
	assert.ok(!isAdmittedAlike(instance.admission.decide(bound, instance.now)));
	assert.ok(isAdmittedAlike(instance.admission.decide(lessUrgent, instance.now)));
	assert.ok(isAdmittedAlike(instance.admission.decide({ ...lessUrgent, service: 'orders' }, instance.now)));
});

test('a single attempt without room is no shortage', () => {
	const { admission, now } = new Instance();
	admission.decide(urgent, now);
	admission.recordOutcome(lessUrgent, ShortageOutcome.NoTarget, now);
	for (let i = 1; i <= 20; i++) {
		assert.equal(admission.decide(lessUrgent, now + 200 * i).kind, 'admit');
		admission.recordOutcome(lessUrgent, ShortageOutcome.Completed, now + 200 * i);
	}
});

test('a request that was admitted is not refused at its next attempt', () => {
	const instance = new Instance(2);
	instance.run(5000, 60, MIX);
	const next = { ...lessUrgent, attempts: [{}] };
	assert.ok(Array.from({ length: 50 }, () => instance.admission.decide(next, instance.now)).every(isAdmitted));
});

function isAdmitted({ kind }: ShortageDecision): boolean {
	return kind === 'admit';
}

test('the cause of a refusal tells a team over its share from a low rank', () => {
	const causes = (requests: readonly ShortageRequest[]): Set<string> => {
		const instance = new Instance();
		instance.run(4000, 100, requests);
		const decisions = Array.from({ length: 200 }, (_, i) =>
			instance.admission.decide(requests[i % requests.length]!, instance.now)
		);
		return new Set(decisions.flatMap(decision => (decision.kind === 'refuse' ? decision.cause : [])));
	};
	const large = createRequest({ teamName: 'large' });
	assert.deepEqual(causes(MIX), new Set(['rank']));
	assert.deepEqual(
		causes([createRequest({ teamName: 'small' }), ...Array<ShortageRequest>(9).fill(large)]),
		new Set(['team-share'])
	);
});

test('100 teams on four routes cost less than 20 microseconds a decision', () => {
	const requests = Array.from({ length: 400 }, (_, i) =>
		createRequest({ teamName: `team-${i % 100}`, rank: { team: 0, route: i % 4 } })
	);
	const instance = new Instance();
	instance.run(5000, 400, requests);
	const count = 20000;
	const startedAt = performance.now();
	for (let i = 0; i < count; i++) {
		instance.admission.decide(requests[i % requests.length]!, (instance.now += 1));
	}
	const microseconds = ((performance.now() - startedAt) * 1000) / count;
	assert.ok(microseconds < 20, `${microseconds.toFixed(1)} microseconds`);
});

test('100 teams on four routes take less than 1 MB', () => {
	const heapBefore = process.memoryUsage().heapUsed;
	const admissions = Array.from({ length: 20 }, () => new RankedAdmission());
	for (const admission of admissions) {
		for (let i = 0; i < 400; i++) {
			admission.decide(createRequest({ teamName: `team-${i % 100}`, rank: { team: 0, route: i % 4 } }), 1000);
		}
	}
	const bytes = (process.memoryUsage().heapUsed - heapBefore) / admissions.length;
	assert.ok(bytes < 1e6, `${bytes}`);
});
