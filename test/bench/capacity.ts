/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * `npm run capacity [-- NAME]`: measures how resource use scales, as input for docs/CAPACITY.md. Raw results are written to
 * docs/capacity/.
 */

import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { encode } from '@msgpack/msgpack';
import { ControlState } from '../../src/plugins/configuration/common/controlState.js';
import { AddressBlockTable } from '../../src/plugins/steering/common/addressBlockTable.js';
import { claimMethod } from '../../src/plugins/once/common/atMostOnceDispatch.js';
import { GrpcPeerTransport } from '../../src/kernel/node/peerTransport.js';
import type { ISettingsService } from '../../src/kernel/node/settingsService.js';
import { LocalProcess } from '../local/childProcess.js';
import { LocalSystem } from '../local/localSystem.js';
import type { StubCounts } from './stubSubscribers.js';

const RESULTS_FOLDER = 'docs/capacity';
const BLOCK_COUNTS = [28_000, 280_000, 2_800_000];
const CHANGE_COUNTS = [1, 100, 10_000];
const SUBSCRIBER_COUNTS = [9, 100, 300, 650];
const SITE_COUNT = 74;
const LOOKUP_COUNT = 2_000_000;
const MEASURE_MS = 5000;
const CLOCK_TICKS_PER_SECOND = 100;
const CHANGES_WHILE_MEASURING = 5;
const CLAIM_CONCURRENCIES = [1, 16, 128, 512];
const CLAIM_MEASURE_MS = 2000;

function createBlockTable(count: number): AddressBlockTable {
	const step = Math.floor(2 ** 32 / count);
	const starts = Uint32Array.from({ length: count }, (_unused, i) => i * step);
	const sites = Uint8Array.from({ length: count }, (_unused, i) => (i * 7919) % SITE_COUNT);
	return AddressBlockTable.fromSorted(starts, sites);
}

function measureLookups(table: AddressBlockTable): number {
	const addresses = Uint32Array.from({ length: 65536 }, () => Math.floor(Math.random() * 2 ** 32));
	const startedAt = performance.now();
	let sum = 0;
	for (let i = 0; i < LOOKUP_COUNT; i++) {
		sum += table.lookUp(addresses[i & 65535]!);
	}
	const seconds = (performance.now() - startedAt) / 1000;
	return sum >= 0 ? Math.round(LOOKUP_COUNT / seconds) : 0;
}

async function measureChanges(table: AddressBlockTable, count: number) {
	const changes = Array.from({ length: count }, () => {
		const from = Math.floor(Math.random() * (2 ** 32 - 70000));
		return { from, to: from + 65536, site: Math.floor(Math.random() * SITE_COUNT) };
	});
	const delay = monitorEventLoopDelay({ resolution: 1 });
	delay.enable();
	await sleep(5);
	delay.reset();
	const startedAt = performance.now();
	await table.withChanges(changes);
	const totalMs = performance.now() - startedAt;
	await sleep(5);
	delay.disable();
	return {
		changes: count,
		totalMs: roundTo2(totalMs),
		// A small change is applied in one event loop turn, so its whole duration is the pause; the sampled delay misses it.
		longestPauseMs: roundTo2(count <= 50 ? totalMs : delay.max / 1e6),
		deltaBytes: encode(changes).byteLength
	};
}

async function measureBlocks() {
	const results = [];
	for (const count of BLOCK_COUNTS) {
		const table = createBlockTable(count);
		measureLookups(table);
		const changes = [];
		for (const size of CHANGE_COUNTS) {
			changes.push(await measureChanges(table, size));
		}
		results.push({ blocks: count, bytes: table.byteLength, lookupsPerSecond: measureLookups(table), changes });
	}
	return results;
}

/** Returns the user and system CPU time of a process so far, in seconds. */
function cpuSeconds(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

function residentMb(pid: number): number {
	const kb = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))![1];
	return Math.round(Number(kb) / 1024);
}

async function measureSubscribers(system: LocalSystem, count: number, operatorNumber: number) {
	const options = {
		controls: system.controls.map(item => item.peerAddress),
		count,
		seconds: MEASURE_MS / 1000,
		reportIntervalMs: Number(process.env['REPORT_INTERVAL_MS'] ?? 1000)
	};
	const stub = new LocalProcess('stub', 'test/bench/stubSubscribers.js', [JSON.stringify(options)], '/dev/null');
	await stub.waitForLine(line => line['message'] === 'ready');
	await sleep(3000);
	const leader = await system.leader();
	const cpuSecondsBefore = system.controls.map(item => cpuSeconds(item.process.pid));
	const stubCpuSecondsBefore = cpuSeconds(stub.pid);
	const startedAt = performance.now();
	const confirmMs: number[] = [];
	for (let i = 0; i < CHANGES_WHILE_MEASURING; i++) {
		confirmMs.push(await changeShare(system, leader, operatorNumber + i * 2, 100 + i));
		await sleep(MEASURE_MS / CHANGES_WHILE_MEASURING);
	}
	const seconds = (performance.now() - startedAt) / 1000;
	const controlCores = system.controls.map(
		(item, i) => (cpuSeconds(item.process.pid) - cpuSecondsBefore[i]!) / seconds
	);
	const stubCores = (cpuSeconds(stub.pid) - stubCpuSecondsBefore) / seconds;
	const countsLine = stub.waitForLine(line => line['counts'] !== undefined);
	stub.send('report');
	const { counts } = (await countsLine) as unknown as { counts: StubCounts };
	await stub.exited;
	const sessionSeconds = seconds + 3;
	return {
		subscribers: count,
		controlCores: controlCores.map(roundTo4),
		leader: leader.name,
		controlMb: system.controls.map(item => residentMb(item.process.pid)),
		stubCoresEach: roundTo4(stubCores / count),
		bytesDownEachPerSecond: Math.round(counts.bytesDown / count / sessionSeconds),
		bytesUpEachPerSecond: Math.round(counts.bytesUp / count / sessionSeconds),
		updatesEachPerSecond: roundTo2(counts.updates / count / sessionSeconds),
		confirmMs: confirmMs.map(roundTo2),
		spreadMs: counts.spreadMs.map(roundTo2)
	};
}

/** Plans and confirms a change of a share. Returns the duration of the confirm request in milliseconds. */
async function changeShare(
	system: LocalSystem,
	control: LocalSystem['controls'][number],
	number: number,
	share: number
): Promise<number> {
	const intent = { kind: 'share', group: 'default', share };
	const planned = await system.sendOperatorRequest(control, 'POST', '/v1/intents', {
		operator: 'bench',
		number,
		intent
	});
	const plan = planned.body as { planId: string; digest: string };
	const startedAt = performance.now();
	const body = { operator: 'bench', number: number + 1, digest: plan.digest };
	await system.sendOperatorRequest(control, 'POST', `/v1/plans/${plan.planId}/confirm`, body);
	return performance.now() - startedAt;
}

async function measureClaims(system: LocalSystem) {
	const settings: ISettingsService = {
		section: <T>(): T => ({ certificateFile: '', keyFile: '', authorityFile: '', peerAddress: '127.0.0.1:0' }) as T,
		namedSections: <T>(): ReadonlyMap<string, T> => new Map(),
		reload: () => []
	};
	const transport = new GrpcPeerTransport(settings);
	const leader = await system.leader();
	const today = new Date().toISOString().slice(0, 10);
	const results = [];
	for (const atOnce of CLAIM_CONCURRENCIES) {
		let completed = 0;
		const endAt = performance.now() + CLAIM_MEASURE_MS;
		const worker = async (worker: number): Promise<void> => {
			for (let i = 0; performance.now() < endAt; i++) {
				const id = `${atOnce}-${worker}-${i}`;
				const request = { key: `${today}-${id}`, digest: 'd'.repeat(64), requestId: id };
				await transport.call(leader.peerAddress, claimMethod, request, 5000);
				completed++;
			}
		};
		const startedAt = performance.now();
		await Promise.all(Array.from({ length: atOnce }, (_unused, i) => worker(i)));
		const seconds = (performance.now() - startedAt) / 1000;
		results.push({
			atOnce,
			claimsPerSecond: Math.round(completed / seconds),
			meanMs: roundTo2((seconds * 1000 * atOnce) / completed)
		});
	}
	transport.dispose();
	return results;
}

/** Measures the size of a snapshot after different numbers of configuration changes. */
function measureSnapshotSizes() {
	return [100, 1000, 10000].map(changes => {
		const state = new ControlState();
		for (let i = 0; i < changes; i++) {
			const name = `g${i % 100}`;
			const groups = [{ name, share: i + 1, capPermille: 100, capWindowMs: 1000 }];
			state.apply(i === 0 ? { type: 'initialize', groups } : storeAndConfirm(state, i, groups[0]!));
		}
		return { changes, snapshotBytes: encode(state.save(), { ignoreUndefined: true }).byteLength };
	});
}

/** Stores and confirms a plan with one stage, begins the stage, and returns the command that completes the plan. */
function storeAndConfirm(state: ControlState, i: number, groupChange: object): unknown {
	const planId = `p${i}`;
	const stage = { move: 'm', from: '-', to: '-', group: 'g', share: 0, pace: '-', at: 0, moves: [], groupChange };
	const plan = {
		planId,
		digest: 'd',
		baseRevision: state.configuration.revision,
		operator: 'o',
		intent: { kind: 'share', group: 'g', share: 1 },
		stages: [stage],
		headroomAfter: [],
		yields: [],
		warnings: [],
		touches: []
	};
	const request = (number: number) => ({ operator: 'o', number, contentDigest: 'c' });
	state.apply({ type: 'storePlan', request: request(i * 2), plan });
	state.apply({ type: 'confirmPlan', request: request(i * 2 + 1), planId, digest: 'd' });
	state.apply({ type: 'beginStage', planId, stage: 0 });
	return { type: 'markPlan', planId, status: 'done' };
}

function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}

function roundTo2(value: number): number {
	return Math.round(value * 100) / 100;
}

function roundTo4(value: number): number {
	return Math.round(value * 10000) / 10000;
}

function writeResult(name: string, result: unknown): void {
	mkdirSync(RESULTS_FOLDER, { recursive: true });
	writeFileSync(`${RESULTS_FOLDER}/${name}.json`, `${JSON.stringify(result, undefined, 2)}\n`);
	process.stdout.write(`${name}: ${JSON.stringify(result)}\n`);
}

const selectedName = process.argv[2];
const isSelected = (name: string): boolean => selectedName === undefined || selectedName === name;
if (isSelected('blocks')) {
	writeResult('blocks', await measureBlocks());
}
if (isSelected('state')) {
	writeResult('state', measureSnapshotSizes());
}
if (isSelected('subscribers') || isSelected('claims')) {
	const system = await LocalSystem.start({ targetsPerService: 6 });
	try {
		if (isSelected('claims')) {
			writeResult('claims', await measureClaims(system));
		}
		if (isSelected('subscribers')) {
			const results = [];
			for (const [i, count] of SUBSCRIBER_COUNTS.entries()) {
				results.push(await measureSubscribers(system, count, 1000 + i * 100));
			}
			writeResult('subscribers', results);
		}
	} finally {
		await system.stop();
	}
}
