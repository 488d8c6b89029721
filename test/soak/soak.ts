/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The soak test: `npm run soak -- --seed N --minutes M [--seeds COUNT] [--report FILE]`. Runs real processes, injects
 * faults from outside them and checks the guarantees of the system by what callers and targets observe. Exits with 1 if a
 * rule is violated.
 */

import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { renderSoakPage } from './soakReport.js';
import { type SoakResult, SoakRun } from './soakRun.js';

const MS_PER_MINUTE = 60000;
const USAGE = 'usage: npm run soak -- --seed N --minutes M [--seeds COUNT] [--report FILE]';

function readNumber(text: string, name: string): number {
	const value = Number(text);
	if (!Number.isFinite(value) || value <= 0) {
		process.stderr.write(`--${name} '${text}' is invalid: must be a number greater than 0\n${USAGE}\n`);
		process.exit(2);
	}
	return value;
}

async function runSeed(seed: number, minutes: number): Promise<SoakResult> {
	const run = new SoakRun(seed, minutes * MS_PER_MINUTE);
	const result = await run.run();
	const verdict = result.breaches.length === 0 ? 'passed' : 'FAILED';
	const maxMemoryMb = Math.max(0, ...result.seconds.map(second => second.memoryMb));
	process.stdout.write(
		`seed ${seed}: ${verdict}, ${result.requests} requests, ${result.faults.length} faults, ${maxMemoryMb} MB at most\n`
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
const firstSeed = readNumber(values.seed, 'seed');
const seedCount = readNumber(values.seeds, 'seeds');
const minutes = readNumber(values.minutes, 'minutes');
const results: SoakResult[] = [];
for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
	results.push(await runSeed(seed, minutes));
}
const failedCount = results.filter(result => result.breaches.length > 0).length;
process.stdout.write(`${results.length - failedCount} passed, ${failedCount} failed\n`);
if (values.report) {
	writeFileSync(`${values.report}.json`, `${JSON.stringify(results)}\n`);
	writeFileSync(`${values.report}.html`, renderSoakPage(results));
}
process.exitCode = failedCount > 0 ? 1 : 0;
