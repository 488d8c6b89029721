/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** `shelffield check`: validates a settings file without contacting the system. */

import { readFileSync } from 'node:fs';
import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { parseSettings, SettingsError } from '../../../kernel/node/settingsService.js';
import { CONNECTION_OPTIONS, ExitCode, type ICommand, UsageError } from '../common/command.js';
import { printResult } from './output.js';

/** Detects the kind of process that a settings file is for, from a section that only this kind has. */
function detectProcessKind(text: string): ProcessKind {
	if (/^\[agreement\]/m.test(text)) {
		return ProcessKind.Control;
	}
	return /^\[operator\]/m.test(text) ? ProcessKind.CommandLine : ProcessKind.Entry;
}

/** @param loadPlugins imports all plugins, which registers their settings */
export function createCheckCommand(loadPlugins: () => Promise<unknown>): ICommand {
	return {
		name: 'check',
		summary: 'check a settings file, and list its faults with the allowed values',
		usage: 'FILE',
		example: 'shelffield check examples/caroni/entry-south-1.ini',
		options: CONNECTION_OPTIONS,
		run: async args => {
			const file = args.positionals[0];
			if (!file) {
				throw new UsageError('FILE is missing');
			}
			await loadPlugins();
			let text: string;
			try {
				text = readFileSync(file, 'utf8');
			} catch (error) {
				throw new SettingsError(file, [{ section: '', message: `cannot be read: ${(error as Error).message}` }]);
			}
			const kind = detectProcessKind(text);
			parseSettings(file, text, kind);
			printResult(
				args,
				{ file, kind, faults: [] },
				() => `${file}: no faults found, checked as settings of a process of kind ${kind}`
			);
			return ExitCode.Done;
		}
	};
}
