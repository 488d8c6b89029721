/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * `npm run bench [-- PRESET [WORD]]`: open-loop load against a local system. Latency is measured from the scheduled arrival,
 * so that it includes queueing at the client. Each case also runs against a baseline: round robin directly to the targets,
 * without admission control. Results are written to docs/bench.json unless WORD selects cases by name.
 */

import { writeFileSync } from 'node:fs';
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import { LocalSystem } from '../local/localSystem.js';
import { PRESETS } from '../local/presets.js';

const REPORT_FILE = 'docs/bench.json';
const WORK_MS = 100;
const DEADLINE_MS = 1000;
const CASE_MS = 5000;
const SETTLE_MS = 1500;
const STATUS_OK = 200;
const SLOW_FACTOR = 10;

/** One benchmark case. */
interface LoadCase {
	readonly name: string;
	/** Offered load as a multiple of the capacity of all slots. */
	readonly loadFactor: number;
	/** Groups with their fractions of the load. */
	readonly groups: readonly { readonly name: string; readonly part: number }[];
	readonly hasSlowTarget?: boolean;
}

/** Results of one group. The fields are written to the report. */
interface GroupResult {
	readonly group: string;
	readonly sent: number;
	/** Requests served within the deadline. */
	readonly useful: number;
	readonly refused: number;
	readonly refusalMedianMs: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
}

interface Tally {
	sent: number;
	useful: number;
	refused: number;
	lastUsefulAt: number;
	readonly latency: Histogram;
	readonly refusal: Histogram;
}

/** Sends one request; resolves to whether it was served with status 200. */
type Sender = (group: string, index: number) => Promise<boolean>;

const agent = new Agent({ connections: 400, pipelining: 1 });
const preset = PRESETS[(process.argv[2] ?? 'refund') as keyof typeof PRESETS];
const service = preset.services[0]!;
const [firstGroup, secondGroup] = preset.groups;
const singleGroup = [{ name: firstGroup!.name, part: 1 }];
const CASES: readonly LoadCase[] = [
	{ name: 'steady 50 %', loadFactor: 0.5, groups: singleGroup },
	{ name: 'steady 70 %', loadFactor: 0.7, groups: singleGroup },
	{ name: 'steady 70 %, one target 10 times slower', loadFactor: 0.7, groups: singleGroup, hasSlowTarget: true },
	{ name: 'steady 80 %', loadFactor: 0.8, groups: singleGroup },
	{ name: 'steady 95 %', loadFactor: 0.95, groups: singleGroup },
	{ name: 'overload 2 times', loadFactor: 2, groups: singleGroup },
	{ name: 'overload 5 times', loadFactor: 5, groups: singleGroup },
	{
		name: 'two groups, each alone would fill all slots',
		loadFactor: 2,
		groups: [
			{ name: firstGroup!.name, part: 0.5 },
			{ name: secondGroup!.name, part: 0.5 }
		]
	}
];

function createTally(): Tally {
	return { sent: 0, useful: 0, refused: 0, lastUsefulAt: 0, latency: build(), refusal: build() };
}

/** Results by group, and the time from the first arrival to the last useful response, at least the duration of the case. */
interface LoadResult {
	readonly groups: readonly GroupResult[];
	readonly spanMs: number;
}

async function runLoad(loadCase: LoadCase, perSecond: number, send: Sender): Promise<LoadResult> {
	const tallies = loadCase.groups.map(createTally);
	const total = Math.round((perSecond * CASE_MS) / 1000);
	const startedAt = performance.now();
	const pending: Promise<void>[] = [];
	for (let i = 0; i < total;) {
		const dueCount = Math.min(total, Math.floor(((performance.now() - startedAt) * perSecond) / 1000));
		for (; i < dueCount; i++) {
			const g = i % loadCase.groups.length;
			const scheduledAt = startedAt + (i * 1000) / perSecond;
			pending.push(sendOne(tallies[g]!, scheduledAt, send, loadCase.groups[g]!.name, i));
		}
		await new Promise(resolve => setTimeout(resolve, 1));
	}
	await Promise.all(pending);
	const groups = loadCase.groups.map((group, g) => toGroupResult(group.name, tallies[g]!));
	const lastUsefulAt = Math.max(...tallies.map(tally => tally.lastUsefulAt));
	return { groups, spanMs: Math.max(CASE_MS, lastUsefulAt - startedAt) };
}

async function sendOne(tally: Tally, scheduledAt: number, send: Sender, group: string, index: number): Promise<void> {
	tally.sent++;
	const isServed = await send(group, index).catch(() => false);
	const ms = performance.now() - scheduledAt;
	const micros = Math.max(1, Math.round(ms * 1000));
	if (!isServed) {
		tally.refused++;
		tally.refusal.recordValue(micros);
		return;
	}
	if (ms <= DEADLINE_MS) {
		tally.useful++;
		tally.lastUsefulAt = performance.now();
	}
	tally.latency.recordValue(micros);
}

function toGroupResult(group: string, tally: Tally): GroupResult {
	const percentileMs = (histogram: Histogram, percentile: number): number =>
		Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;
	return {
		group,
		sent: tally.sent,
		useful: tally.useful,
		refused: tally.refused,
		refusalMedianMs: percentileMs(tally.refusal, 50),
		p50Ms: percentileMs(tally.latency, 50),
		p99Ms: percentileMs(tally.latency, 99),
		p999Ms: percentileMs(tally.latency, 99.9)
	};
}

/** Sends requests through the entry instances, distributed evenly over the regions. */
function createSystemSender(system: LocalSystem): Sender {
	return async (group, index) => {
		const region = preset.regions[index % preset.regions.length]!;
		const entries = system.entries.filter(entry => entry.region === region);
		const entry = entries[Math.floor(index / preset.regions.length) % entries.length]!;
		const response = await request(`${entry.url}/s/${service.name}/bench?workMs=${WORK_MS}`, {
			dispatcher: agent,
			headers: { 'shelffield-group': group, 'shelffield-deadline-ms': String(DEADLINE_MS) }
		});
		await response.body.dump();
		return response.statusCode === STATUS_OK;
	};
}

/** Sends requests directly to the targets, round robin. */
function createBaselineSender(system: LocalSystem): Sender {
	const targets = system.targets.filter(target => target.service === service.name);
	return async (group, index) => {
		const response = await request(`${targets[index % targets.length]!.url}/bench?workMs=${WORK_MS}`, {
			dispatcher: agent,
			headers: { 'shelffield-group': group },
			signal: AbortSignal.timeout(DEADLINE_MS * 2)
		});
		await response.body.dump();
		return response.statusCode === STATUS_OK;
	};
}

async function setSlowTarget(system: LocalSystem, slowFactor: number): Promise<void> {
	await system.changeTarget(
		system.targets.find(target => target.service === service.name)!,
		{ slowFactor }
	);
}

async function main(): Promise<void> {
	const system = await LocalSystem.start({ preset });
	const results = [];
	try {
		const slots = service.targets * service.slots;
		const capacity = (slots * 1000) / WORK_MS;
		for (const loadCase of CASES.filter(item => item.name.includes(process.argv[3] ?? ''))) {
			await setSlowTarget(system, loadCase.hasSlowTarget ? SLOW_FACTOR : 1);
			for (const policy of ['shelffield', 'baseline'] as const) {
				const send = policy === 'shelffield' ? createSystemSender(system) : createBaselineSender(system);
				const journalsBefore = await system.journals();
				const { groups, spanMs } = await runLoad(loadCase, capacity * loadCase.loadFactor, send);
				const journals = await system.journals();
				const overSlots = journals.reduce((sum, item, i) => sum + item.overSlots - journalsBefore[i]!.overSlots, 0);
				const useful = groups.reduce((sum, group) => sum + group.useful, 0);
				// Under overload, slots still process queued requests after the last arrival; this time counts as well.
				const busyMs = loadCase.loadFactor > 1 ? spanMs : CASE_MS;
				const maxUseful = Math.min(1, loadCase.loadFactor) * capacity * (busyMs / 1000);
				const usefulPart = Math.round((useful / maxUseful) * 1000) / 1000;
				const result = { case: loadCase.name, policy, usefulPart, overSlots, groups };
				results.push(result);
				process.stdout.write(`${JSON.stringify(result)}\n`);
				await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
			}
		}
	} finally {
		await system.stop();
		await agent.destroy();
	}
	if (process.argv[3] !== undefined) {
		return;
	}
	writeFileSync(REPORT_FILE, `${JSON.stringify({ preset: process.argv[2] ?? 'refund', results }, undefined, 1)}\n`);
}

await main();
