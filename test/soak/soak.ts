/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The fault soak: `npm run soak -- --seed N --minutes M [--seeds COUNT] [--report FILE]`. Real processes, faults from
 * outside them, the promises checked by what callers and targets see. Ends with 1 when one is broken.
 */

import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { soakPage } from './soakReport.js';
import { type SoakResult, SoakRun } from './soakRun.js';

const MS_PER_MINUTE = 60000;
const USAGE = 'usage: npm run soak -- --seed N --minutes M [--seeds COUNT] [--report FILE]';

function readNumber(text: string, name: string): number {
	const value = Number(text);
	if (!Number.isFinite(value) || value <= 0) {
		process.stderr.write(`--${name} '${text}' is not allowed; allowed: a number above 0\n${USAGE}\n`);
		process.exit(2);
	}
	return value;
}

async function playSeed(seed: number, minutes: number): Promise<SoakResult> {
	const run = new SoakRun(seed, minutes * MS_PER_MINUTE);
	const result = await run.play();
	const verdict = result.breaches.length === 0 ? 'passed' : 'FAILED';
	const memoryMb = Math.max(0, ...result.seconds.map(second => second.memoryMb));
	process.stdout.write(
		`seed ${seed}: ${verdict}, ${result.requests} requests, ${result.faults.length} faults, ${memoryMb} MB at most\n`
	);
	result.breaches.slice(0, 10).forEach(({ rule, detail }) => process.stdout.write(`  ${rule}: ${detail}\n`));
	if (result.breaches.length > 0) {
		writeFileSync(`soak-${seed}.log`, run.logs());
	}
	return result;
}

const { values } = parseArgs({
	options: {
		seed: { type: 'string', default: '1' },
		seeds: { type: 'string', default: '1' },
		minutes: { type: 'string', default: '1' },
		report: { type: 'string' }
	}
});
const first = readNumber(values.seed, 'seed');
const count = readNumber(values.seeds, 'seeds');
const minutes = readNumber(values.minutes, 'minutes');
const results: SoakResult[] = [];
for (let seed = first; seed < first + count; seed++) {
	results.push(await playSeed(seed, minutes));
}
const failed = results.filter(result => result.breaches.length > 0).length;
process.stdout.write(`${results.length - failed} passed, ${failed} failed\n`);
if (values.report) {
	writeFileSync(`${values.report}.json`, `${JSON.stringify(results)}\n`);
	writeFileSync(`${values.report}.html`, soakPage(results));
}
process.exitCode = failed > 0 ? 1 : 0;
