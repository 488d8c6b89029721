/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The files of a replica on a disk that takes only part of a write, fails syncs or is full. */

import assert from 'node:assert/strict';
import { mkdtemp, readdir, rm, truncate, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, test } from 'node:test';
import { EntryKind, type LogEntry, type Snapshot } from '../common/agreementTypes.js';
import { LogStore, StoreCondition } from '../node/logStore.js';
import { FaultyDisk } from './faultyDisk.js';

let folder: string;
let disk: FaultyDisk;
let store: LogStore;

function entryAt(index: number): LogEntry {
	return { index, term: 1, kind: EntryKind.Command, command: `command ${index}` };
}

function append(index: number): Promise<void> {
	return store.append([{ entries: [entryAt(index)] }]);
}

async function reopen(): Promise<{ condition: StoreCondition; indices: number[] }> {
	const { condition, log } = await new LogStore(folder).open();
	return { condition, indices: log.entries.map(({ index }) => index) };
}

beforeEach(async () => {
	folder = await mkdtemp(join(tmpdir(), 'shelffield-log-'));
	disk = await FaultyDisk.install();
	store = new LogStore(folder);
	await store.open();
	await append(1);
});

afterEach(async () => {
	disk.uninstall();
	await store.close();
	await rm(folder, { recursive: true, force: true });
});

/** Guards against a log that is damaged, so that the replica starts empty, after a write that took only part of its bytes. */
test('a write that takes only part of a record does not damage the log', async () => {
	disk.nextWriteBytes = 20;
	await append(2);
	await append(3);
	assert.deepEqual(await reopen(), { condition: StoreCondition.Intact, indices: [1, 2, 3] });
});

test('a record whose sync failed is written again, although the disk has lost its bytes', async () => {
	const { size } = store;
	disk.syncFaults = [true];
	await assert.rejects(append(2), /EIO/);
	await truncate(join(folder, 'log.bin'), size);
	await append(2);
	assert.deepEqual(await reopen(), { condition: StoreCondition.Intact, indices: [1, 2] });
});

/** Guards against the remains of a longer record behind a shorter one that replaces it, which would count as damage. */
test('nothing remains of a record that failed when another takes its place', async () => {
	disk.syncFaults = [true];
	await assert.rejects(
		store.append([{ entries: [entryAt(2)] }, { entries: [entryAt(3)] }, { hardState: { term: 5 } }]),
		/EIO/
	);
	await append(2);
	assert.deepEqual(await reopen(), { condition: StoreCondition.Intact, indices: [1, 2] });
});

const SNAPSHOT: Snapshot = { index: 1, term: 1, members: [], data: new Uint8Array(2000) };

test('a compaction that a full disk prevents leaves the log and no other file behind', async () => {
	disk.isFull = () => true;
	await assert.rejects(store.compact(SNAPSHOT, [], { term: 1 }), /ENOSPC/);
	disk.isFull = () => false;
	await append(2);
	assert.deepEqual((await readdir(folder)).sort(), ['identity.json', 'log.bin']);
	assert.deepEqual(await reopen(), { condition: StoreCondition.Intact, indices: [1, 2] });
});

/** Guards against appending to the replaced file after the folder could not be synced. */
test('records appended after a compaction whose folder sync failed are in the file', async () => {
	disk.syncFaults = [false, true];
	await store.compact(SNAPSHOT, [], { term: 1 }).catch(() => undefined);
	await append(2);
	assert.deepEqual(await reopen(), { condition: StoreCondition.Intact, indices: [2] });
});

/** Guards against a process that ends at each start because its identity file is empty. */
test('an unreadable identity file counts as a lost disk', async () => {
	await writeFile(join(folder, 'identity.json'), '');
	assert.deepEqual(await reopen(), { condition: StoreCondition.Damaged, indices: [] });
});
