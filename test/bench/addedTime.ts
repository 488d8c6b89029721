/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * `npm run bench:added`: compares the latency of requests through the entry instance of the same data hall with that of
 * requests sent directly to the target, interleaved in one run, and measures requests per CPU second of the entry instance.
 * Results are written to docs/added.json.
 */

import { readFileSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'undici';
import { LocalSystem } from '../local/localSystem.js';

const PAIR_COUNT = 3000;
const WARM_UP_PAIRS = 500;
const BODY = 'x'.repeat(1024);
const CLOSED_LOOP_MS = 3000;
const CLOSED_LOOP_CALLER_COUNT = 6;
const CLOCK_TICKS_PER_SECOND = 100;

const agent = new Agent({ connections: 16 });

async function measureRequestMs(url: string): Promise<number> {
	const startedAt = performance.now();
	const response = await request(url, {
		method: 'POST',
		dispatcher: agent,
		headers: { 'shelffield-group': 'default' },
		body: BODY
	});
	await response.body.text();
	return performance.now() - startedAt;
}

function median(values: readonly number[]): number {
	const sorted = [...values].sort((a, b) => a - b);
	return Math.round(sorted[Math.floor(sorted.length / 2)]! * 1000) / 1000;
}

/** Returns the user and system CPU time of a process so far, in seconds. */
function cpuSeconds(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

async function measureClosedLoop(url: string, pid: number): Promise<{ perSecond: number; perCoreSecond: number }> {
	let completed = 0;
	const cpuSecondsBefore = cpuSeconds(pid);
	const startedAt = performance.now();
	const caller = async (): Promise<void> => {
		while (performance.now() - startedAt < CLOSED_LOOP_MS) {
			await measureRequestMs(url);
			completed++;
		}
	};
	await Promise.all(Array.from({ length: CLOSED_LOOP_CALLER_COUNT }, caller));
	const seconds = (performance.now() - startedAt) / 1000;
	return {
		perSecond: Math.round(completed / seconds),
		perCoreSecond: Math.round(completed / (cpuSeconds(pid) - cpuSecondsBefore))
	};
}

async function main(): Promise<void> {
	const system = await LocalSystem.start({ targetsPerService: 6 });
	try {
		const target = system.targets.find(item => item.service === 'grower' && item.hall === 'south-1')!;
		const entry = system.entries.find(item => item.hall === target.hall)!;
		const entryUrl = `${entry.url}/s/grower/echo?workMs=0`;
		const targetUrl = `${target.url}/echo?workMs=0`;
		const times = { through: [] as number[], straight: [] as number[] };
		for (let i = 0; i < PAIR_COUNT + WARM_UP_PAIRS; i++) {
			const pair = { through: await measureRequestMs(entryUrl), straight: await measureRequestMs(targetUrl) };
			if (i >= WARM_UP_PAIRS) {
				times.through.push(pair.through);
				times.straight.push(pair.straight);
			}
		}
		const throughMs = median(times.through);
		const straightMs = median(times.straight);
		const result = {
			throughMs,
			straightMs,
			addedMs: Math.round((throughMs - straightMs) * 1000) / 1000,
			ratio: Math.round((throughMs / straightMs) * 100) / 100,
			closedLoop: await measureClosedLoop(entryUrl, entry.process.pid)
		};
		process.stdout.write(`${JSON.stringify(result)}\n`);
		writeFileSync('docs/added.json', `${JSON.stringify(result, undefined, 1)}\n`);
	} finally {
		await system.stop();
		await agent.destroy();
	}
}

await main();
