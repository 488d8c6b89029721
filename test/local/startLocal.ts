/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** `npm start`: starts a local system, prints example commands, and stops the system on SIGINT or SIGTERM. */

import { mkdir, writeFile } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { encode } from 'ini';
import { LocalSystem } from './localSystem.js';
import { PRESETS } from './presets.js';

const HELP = `usage: npm start -- [--preset caroni|refund] [--data FOLDER] [--delays]
  --preset  deployment to model: caroni (default) or refund
  --data    folder for settings, logs and data; default .local
  --delays  inject the one-way delays between data halls and regions`;

const { values } = parseArgs({
	options: {
		preset: { type: 'string', default: 'caroni' },
		data: { type: 'string', default: '.local' },
		delays: { type: 'boolean', default: false },
		help: { type: 'boolean', short: 'h' }
	}
});

function printNextSteps(system: LocalSystem, settingsFile: string): void {
	const [service] = system.preset.services;
	const [group] = system.preset.groups;
	const region = system.preset.regions.at(-1)!;
	const entry = system.entries[0]!.url;
	const lines = [
		`Ready: ${system.controls.length} control, ${system.entries.length} entry instances, ${system.targets.length} targets.`,
		'Look up entry instances:',
		`  curl '${entry}/v1/entries?service=${service!.name}&group=${group!.name}&client=10.1.2.3'`,
		'Send a request:',
		`  curl -i -H 'Shelffield-Group: ${group!.name}' '${entry}/s/${service!.name}/hello'`,
		'Submit an intent, confirm its plan, and show the status:',
		`  export SHELFFIELD_SETTINGS=${settingsFile}`,
		`  npx shelffield intent prefer ${group!.name} ${region} 300`,
		'  npx shelffield confirm PLAN --follow',
		'  npx shelffield status',
		'Press Ctrl+C to stop.'
	];
	process.stdout.write(`${lines.join('\n')}\n`);
}

async function main(): Promise<void> {
	const preset = PRESETS[values.preset as keyof typeof PRESETS];
	if (values.help || !preset) {
		process.stdout.write(`${HELP}\n`);
		process.exitCode = values.help ? 0 : 2;
		return;
	}
	const folder = resolve(values.data);
	await mkdir(folder, { recursive: true });
	const system = await LocalSystem.start({ preset, folder, delays: values.delays });
	const settingsFile = join(folder, 'operator.ini');
	const control = system.controls.map(item => item.url).join(',');
	const operator = { name: 'local', control, tokenFile: system.tokenFile };
	await writeFile(settingsFile, encode({ operator }));
	await writeFile(join(folder, 'local.json'), JSON.stringify(system.describe(), undefined, 2));
	printNextSteps(system, settingsFile);
	let isStopping = false;
	const stop = (): void => {
		if (!isStopping) {
			isStopping = true;
			void system.stop().then(() => process.exit(0));
		}
	};
	process.on('SIGINT', stop);
	process.on('SIGTERM', stop);
}

await main();
