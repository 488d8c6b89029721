/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import type { ILogService } from '../../../kernel/node/logService.js';
import { EntryListFile } from '../node/entryListFile.js';
import { describeEntry } from '../../../../test/fakes/describeEntry.js';

async function makeFolder(t: TestContext): Promise<string> {
	const folder = await mkdtemp(join(tmpdir(), 'shelffield-roster-'));
	t.after(() => rm(folder, { recursive: true, force: true }));
	return folder;
}

function logInto(warnings: string[]): ILogService {
	return { warn: (message: string) => warnings.push(message) } as unknown as ILogService;
}

test('saved entry instances are read back after a restart', async t => {
	const folder = await makeFolder(t);
	const entries = [describeEntry({ name: 'a' }), describeEntry({ name: 'b', demand: { s: 2 } })];
	await new EntryListFile(folder, logInto([])).write(entries);
	assert.deepEqual(await new EntryListFile(folder, logInto([])).read(), entries);
});

test('a missing file gives an empty list, and a damaged one is logged and ignored', async t => {
	const folder = await makeFolder(t);
	const warnings: string[] = [];
	const file = new EntryListFile(folder, logInto(warnings));
	assert.deepEqual(await file.read(), []);
	assert.deepEqual(warnings, []);
	await writeFile(join(folder, 'entries.json'), '[{"name":1');
	assert.deepEqual(await file.read(), []);
	assert.deepEqual(warnings, ['cannot read saved entry instances']);
});
