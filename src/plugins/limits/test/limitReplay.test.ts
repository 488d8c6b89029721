/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Teams within their limits are neither refused nor made to wait for want of credits. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LimitVerdict } from '../common/teamLimits.js';
import { LimitReplay } from './limitReplay.js';

/** Time without a leader between two of them. */
const ELECTION_MS = 1000;
const SURGING_TEAM = 4;
const SURGE_FACTOR = 7.5;
/** Largest part of the requests that may be refused although their team is within its limit. */
const MAX_REFUSED_FRACTION = 0.001;
const usual = (): number => 1;

interface PhaseResult {
	readonly sent: number;
	readonly refused: number;
	readonly waitP50: number;
	readonly waitP99: number;
}

/** Runs one phase and returns what happened to its requests. */
async function runPhase(replay: LimitReplay, phase: () => Promise<void>): Promise<PhaseResult> {
	const startedAt = replay.now;
	await phase();
	return {
		sent: replay.requests.filter(({ at }) => at > startedAt).length,
		refused: replay.refusedWithinLimit().filter(({ at }) => at > startedAt).length,
		waitP50: replay.waitQuantile(0.5, startedAt, SURGING_TEAM),
		waitP99: replay.waitQuantile(0.99, startedAt, SURGING_TEAM)
	};
}

async function changeLeader(replay: LimitReplay, leader: number): Promise<void> {
	replay.setLeader(undefined);
	await replay.run(ELECTION_MS, usual);
	replay.setLeader(leader);
}

test('teams within their limits are not refused after a start, beside a surge, after a leader change and a shift', async t => {
	const replay = new LimitReplay();
	replay.setLeader(0);
	await replay.run(1000, () => 0);
	const phases = {
		start: () => replay.run(4000, usual),
		usual: () => replay.run(8000, usual),
		surge: () => replay.run(6000, team => (team === SURGING_TEAM ? SURGE_FACTOR : 1)),
		afterSurge: () => replay.run(4000, usual),
		leaderChange: async () => {
			await changeLeader(replay, 1);
			await replay.run(9000, usual);
		},
		shift: () => {
			replay.shifted = 0.5;
			return replay.run(6000, usual);
		}
	};
	const results: Record<string, PhaseResult> = {};
	for (const [name, phase] of Object.entries(phases)) {
		const { renewals, commits } = replay;
		results[name] = await runPhase(replay, phase);
		const messages = { renewals: replay.renewals - renewals, commits: replay.commits - commits };
		t.diagnostic(`${name}: ${JSON.stringify({ ...results[name], ...messages })}`);
	}
	replay.dispose();
	const all = Object.values(results);
	const refused = all.reduce((sum, each) => sum + each.refused, 0);
	assert.ok(refused <= MAX_REFUSED_FRACTION * replay.requests.length, `${refused} of ${replay.requests.length}`);
	assert.ok(
		results['usual']!.waitP99 <= 5 && results['shift']!.waitP99 <= 5,
		'a usual request waits for no other region'
	);
	assert.ok(
		all.every(({ waitP50 }) => waitP50 <= 5),
		'half of the requests wait for no other region at any time'
	);
	assert.ok(replay.maxUsedFraction() <= 1, `${replay.maxUsedFraction()}`);
});

test('two leader changes in quick succession leave most of their capacity to teams', async t => {
	const replay = new LimitReplay();
	replay.setLeader(0);
	await replay.run(10000, usual);
	const result = await runPhase(replay, async () => {
		await changeLeader(replay, 1);
		await replay.run(1500, usual);
		await changeLeader(replay, 2);
		await replay.run(9000, usual);
	});
	replay.dispose();
	t.diagnostic(JSON.stringify(result));
	assert.ok(result.refused <= 0.06 * result.sent, `${result.refused} of ${result.sent}`);
	assert.ok(replay.maxUsedFraction() <= 1, `${replay.maxUsedFraction()}`);
});

test('after a restart of all instances teams get a good part of their usual rate at once, and all of it after a window', async t => {
	const replay = new LimitReplay();
	replay.setLeader(0);
	await replay.run(20000, usual);
	replay.restartAll();
	await replay.run(ELECTION_MS, () => 0);
	replay.setLeader(1);
	const servedFractions: number[] = [];
	for (let second = 0; second < 8; second++) {
		const startedAt = replay.now;
		await replay.run(1000, usual);
		const sent = replay.requests.filter(({ at }) => at > startedAt);
		const served = sent.filter(({ verdict }) => verdict === undefined || verdict === LimitVerdict.Admitted);
		servedFractions.push(Math.round((1000 * served.length) / sent.length) / 1000);
	}
	replay.dispose();
	t.diagnostic(servedFractions.join(', '));
	assert.ok(servedFractions[0]! >= 0.8, `${servedFractions[0]} in the first second`);
	const inWindow = servedFractions.slice(0, 5).reduce((sum, fraction) => sum + fraction, 0) / 5;
	assert.ok(inWindow >= 0.4, `${inWindow} in the first window`);
	assert.ok(Math.min(...servedFractions.slice(6)) >= 0.99, 'all after about a window');
	assert.ok(replay.maxUsedFraction() <= 1, `${replay.maxUsedFraction()}`);
});
