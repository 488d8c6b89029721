/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Bounds of the platform take effect, and malformed bounds are refused. */

import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import * as z from 'zod/mini';
import { ProcessKind } from '../../src/kernel/common/pluginRegistry.js';
import { settingsRegistry } from '../../src/kernel/common/settingsRegistry.js';
import { type PlatformSettings, readServiceBounds, readShortageSettings } from '../../platform/platformSettings.js';
import { OUT_FOLDER } from '../local/childProcess.js';

const BOUNDS = 'retry_ratio=0.2,retry_window=10s,retry_slack=198,max_shift=0.15,grace=10s,strict_revoke=false';

function readBounds(text: string): PlatformSettings {
	const section = settingsRegistry.sectionsFor(ProcessKind.Entry).find(({ name }) => name === 'platform')!;
	return { bounds: z.parse(section.keys.bounds!.schema, text) as PlatformSettings['bounds'], contracts: new Set() };
}

function readContracts(text: string): PlatformSettings {
	const section = settingsRegistry.sectionsFor(ProcessKind.Entry).find(({ name }) => name === 'platform')!;
	const contracts = z.parse(section.keys.contracts!.schema, text) as PlatformSettings['contracts'];
	return { bounds: new Map(), contracts };
}

test('bounds set by the platform take effect', () => {
	const bounds = readServiceBounds(readBounds(BOUNDS));
	assert.equal(bounds.retries.slack, 198);
	assert.equal(bounds.stopGraceMs, 10000);
});

test('malformed bounds are refused, not ignored', () => {
	assert.throws(() => readBounds('{"retry_slack":198,"grace":"10s"}'), /NAME=VALUE/);
	assert.throws(() => readBounds('retry_slack'), /NAME=VALUE/);
});

test('ranks decide under shortage only where the platform says that callers compete for slots', () => {
	assert.equal(readShortageSettings(readContracts('base,drain,pressure')).isRanked, true);
	assert.equal(readShortageSettings(readContracts('base,drain')).isRanked, false);
	assert.equal(readShortageSettings(readContracts('')).isRanked, false);
	assert.throws(() => readContracts('base;pressure'), /comma-separated/);
});

test('the deployment templates write each bound as NAME=VALUE', () => {
	for (const file of ['entry.ini', 'control.ini']) {
		const text = readFileSync(join(OUT_FOLDER, '..', 'deploy', file), 'utf8');
		assert.match(text, /^bounds = \{\{#bounds\}\}\{\{@\}\}=\{\{\.\}\}\{\{,\}\}\{\{\/bounds\}\}$/m, file);
	}
});
