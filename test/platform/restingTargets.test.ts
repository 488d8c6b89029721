/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * A target turned a request of an entry instance away and asked it for three seconds of rest. In that time the instance sent it 33 more,
 * many of them twice within 2 ms, since nothing read what the target had asked for:
 *
 *     6.023 s  the target turns a request of the instance away and asks for rest
 *     6.636 s  a request reaches the target from the same instance; it answers 503 and does not run it
 *     6.638 s  the same request reaches the target again; it answers 503 and does not run it
 *
 * A target that ends soon says so in each of its answers, and nothing read that either: an instance that control can't reach, or does not
 * tell, goes on sending.
 */

import assert from 'node:assert/strict';
import { after, afterEach, before, test } from 'node:test';
import { type Answer, DiscoveredSystem, type Instance, routeDocument, until } from './discoveredSystem.js';
import { StandInTarget } from './standInTarget.js';

const ROUTES = [
	{ prefix: '/read/', kind: 'safe', service: 'reads' },
	{ prefix: '/order/', kind: 'unsafe', service: 'reads' }
] as const;
const REST_MS = 3000;
/** What is on its way when a target asks for rest may still arrive for this long. */
const ON_ITS_WAY_MS = 500;
/** Requests that may reach a target after that while it rests, from one instance. */
const MOST_DURING_REST = 2;
/** A target that said that it leaves gets nothing that was sent later than this. */
const DRAIN_MS = 2500;
const EVERY_MS = 15;
const OBJECTS = 12;
/** Start of a later life, as Unix milliseconds. */
const BORN = 1767630000000;

const system = new DiscoveredSystem(3, 1);
const [entry] = system.entries as [Instance];
const targets = [1, 2, 3, 4].map(
	place =>
		new StandInTarget({
			id: `i-${place}`,
			host: system.targetHost(place),
			port: 8080,
			slots: 4,
			workMs: 5,
			answerBytes: 20
		})
);
let sent = 0;

function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}

/** One request about one of a few objects, repeatable or not. */
function ask(): Promise<Answer> {
	const cookie = `Affinity-Key=${sent++ % OBJECTS}`;
	const isOrder = sent % 3 === 0;
	return isOrder
		? system.request(entry, 'POST', '/order/1', { headers: { Cookie: cookie }, body: 'one unit' })
		: system.request(entry, 'GET', '/read/1', { headers: { Cookie: cookie } });
}

/** Sends requests one after the other for a time; returns their statuses. */
async function keepAsking(forMs: number): Promise<number[]> {
	const endsAt = performance.now() + forMs;
	const answers: Promise<Answer>[] = [];
	while (performance.now() < endsAt) {
		const answer = ask();
		// One that fails while the others are still being sent fails the test below, not the process.
		answer.catch(() => undefined);
		answers.push(answer);
		await pause(EVERY_MS);
	}
	return (await Promise.all(answers)).map(({ status }) => status);
}

async function untilAllUsed(): Promise<void> {
	await until('all targets get requests', async () => {
		const staying = targets.filter(target => target.alsoSays['Server-Leaving'] === undefined);
		const before = staying.map(target => target.ran.length);
		await keepAsking(300);
		return staying.every((target, i) => target.ran.length > before[i]!) ? true : undefined;
	});
}

before(async () => {
	await Promise.all(targets.map(target => target.listen()));
	system.startAll();
	await system.publish(routeDocument(1, ROUTES), 0);
	await Promise.all(targets.map(target => system.heartbeat(target, 'reads')));
	await until('requests are served', async () => ((await ask()).status === 200 ? true : undefined));
	await untilAllUsed();
});

afterEach(async () => {
	targets.forEach(target => {
		target.refusesWith = undefined;
		target.turnedAway.length = 0;
	});
	await untilAllUsed();
});

after(async () => {
	await system.stopAll();
	targets.forEach(target => target.crash());
});

/** Lets one target turn everything away and ask for rest, and counts what it gets when that has had time to be heard. */
async function letRest(load: Readonly<Record<string, string>>): Promise<void> {
	const [resting] = targets as [StandInTarget];
	resting.turnedAway.length = 0;
	resting.refusesWith = { 'Retry-After': String(REST_MS / 1000), ...load };
	const statuses = await keepAsking(REST_MS - 200);
	resting.refusesWith = undefined;
	const [first] = resting.turnedAway;
	assert.ok(first, 'a request was turned away');
	const late = resting.turnedAway.filter(({ at }) => at > first.at + ON_ITS_WAY_MS && at < first.at + REST_MS);
	assert.ok(
		late.length <= MOST_DURING_REST,
		`${late.length} requests while it rested, ${resting.turnedAway.length} turned away in all`
	);
	const served = statuses.filter(status => status === 200).length;
	assert.ok(served >= 0.98 * statuses.length, `${served} of ${statuses.length} served`);
}

test('a target with room by its own word that asks for rest gets no more than what was on its way', async () => {
	await letRest({ 'Server-Load': '1,0,4' });
});

test('a target that asks for rest gets no more than what was on its way, whether it tells of its load or not', async () => {
	await letRest({ 'Server-Load': '4,8,4' });
	await untilAllUsed();
	await letRest({});
});

test('a request for which all targets rest is rejected at once, and its caller told when the first of them wants work again', async () => {
	targets.forEach((target, i) => (target.refusesWith = { 'Retry-After': String(i === 2 ? 1.5 : 4) }));
	const startedAt = performance.now();
	await until('all targets rest', async () => {
		const reason = JSON.parse((await ask()).body) as { reason: string };
		return reason.reason === 'targets-at-rest' ? true : undefined;
	});
	const answer = await ask();
	const told = Number(answer.headers['retry-after']);
	assert.equal(answer.status, 503);
	assert.ok(told <= 1.5 && told >= 1.5 - (performance.now() - startedAt) / 1000, `${told} s`);
	const turnedAway = targets.map(target => target.turnedAway.length);
	await keepAsking(300);
	assert.deepEqual(
		targets.map(target => target.turnedAway.length),
		turnedAway
	);
	targets.forEach(target => (target.refusesWith = undefined));
	await until('the first one serves again', async () => ((await ask()).status === 200 ? true : undefined), 3000);
});

test('a target that starts again under its id has asked for nothing', async () => {
	const [resting] = targets as [StandInTarget];
	resting.refusesWith = { 'Retry-After': '600' };
	await until('it rests', async () => {
		await ask();
		return resting.turnedAway.length > 0 ? true : undefined;
	});
	resting.refusesWith = undefined;
	await system.heartbeat(resting, 'reads', 'ready', '0ms', BORN);
});

test('a target that says in its answers that it leaves gets nothing new, though control has not said so', async () => {
	const leaving = targets[3]!;
	leaving.alsoSays = { 'Server-Leaving': '1' };
	const before = leaving.ran.length;
	await until('it answers a request', async () => {
		await ask();
		return leaving.ran.length > before ? true : undefined;
	});
	await pause(DRAIN_MS);
	const ranByThen = leaving.ran.length;
	const statuses = await keepAsking(1000);
	assert.equal(leaving.ran.length - ranByThen, 0);
	assert.ok(statuses.every(status => status === 200));
});
