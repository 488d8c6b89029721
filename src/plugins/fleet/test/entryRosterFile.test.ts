/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The file with the entry instances that a control instance knew. */

import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import type { ILogService } from '../../../kernel/node/logService.js';
import { EntryRosterFile } from '../node/entryRosterFile.js';
import { describeEntry } from '../../../../test/fakes/describeEntry.js';

async function makeFolder(t: TestContext): Promise<string> {
	const folder = await mkdtemp(join(tmpdir(), 'shelffield-roster-'));
	t.after(() => rm(folder, { recursive: true, force: true }));
	return folder;
}

function logInto(warnings: string[]): ILogService {
	return { warn: (message: string) => warnings.push(message) } as unknown as ILogService;
}

test('what was written is read after a start', async t => {
	const folder = await makeFolder(t);
	const entries = [describeEntry({ name: 'a' }), describeEntry({ name: 'b', demand: { s: 2 } })];
	await new EntryRosterFile(folder, logInto([])).write(entries);
	assert.deepEqual(await new EntryRosterFile(folder, logInto([])).read(), entries);
});

test('without a file there is nothing to remember, and a damaged one is said and passed over', async t => {
	const folder = await makeFolder(t);
	const warnings: string[] = [];
	const roster = new EntryRosterFile(folder, logInto(warnings));
	assert.deepEqual(await roster.read(), []);
	assert.deepEqual(warnings, []);
	await writeFile(join(folder, 'entries.json'), '[{"name":1');
	assert.deepEqual(await roster.read(), []);
	assert.deepEqual(warnings, ['roster not read']);
});
