/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A replica whose disk takes no writes, or that has failed: what it answers meanwhile, and how it goes on afterwards. */

import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { ISettingsService } from '../../../kernel/node/settingsService.js';
import { MetricsService } from '../../../kernel/node/metricsService.js';
import {
	type AgreementMessage,
	type AppendReply,
	type AppendRequest,
	DEFAULT_TIMING,
	EntryKind,
	type LogEntry,
	MemberRole
} from '../common/agreementTypes.js';
import type { PartCommand } from '../common/replicatedState.js';
import { AgreementTask } from '../node/agreementTask.js';
import { deliverMethod, type DeliverRequest } from '../node/agreementWire.js';
import { LogStore } from '../node/logStore.js';
import { FaultyDisk } from './faultyDisk.js';

const OUTAGE_MS = 700;
const TIMEOUT_MS = 8000;
/** Longer than a call between processes takes, shorter than any outage of these tests. */
const AT_ONCE_MS = 150;
const POLL_MS = 10;
const PART = 'numbers';
const INAPPLICABLE = 13;
const MEMBERS = ['c1', 'c2', 'c3'].map(id => ({
	id,
	incarnation: id === 'c2' ? '' : id,
	address: id,
	role: MemberRole.Voter
}));

let folder: string;
let disk: FaultyDisk;
let task: AgreementTask;
let applied: unknown[];
let sent: AgreementMessage[];
let stopSignals: number;
let deliver: (request: DeliverRequest) => Promise<unknown>;

const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined } as unknown as ILogService;

function onStopSignal(): void {
	stopSignals++;
}

/** A transport that records the messages to other replicas and keeps the handler of those to this one. */
const peerCalls = {
	handleUnary: (method: unknown, handler: (request: DeliverRequest) => Promise<unknown>) => {
		if (method === deliverMethod) {
			deliver = handler;
		}
	},
	listen: async () => '',
	call: async (_address: string, method: unknown, request: DeliverRequest) => {
		if (method === deliverMethod) {
			sent.push(...request.messages);
		}
		return new Promise(() => undefined);
	}
} as unknown as IPeerCalls;

/** Settings of a replica with the given name whose peers are listed. */
function settingsOf(name: string, peers: readonly string[]): ISettingsService {
	const section = {
		...DEFAULT_TIMING,
		snapshotEveryEntries: 1000,
		dataFolder: folder,
		seeds: [],
		firstStart: false,
		peerAddress: name,
		name
	};
	const controls = new Map([name, ...peers].map(peer => [peer, { address: peer }]));
	return {
		section: () => section,
		namedSections: () => controls,
		reload: () => []
	} as unknown as ISettingsService;
}

async function startTask(name: string, peers: readonly string[]): Promise<void> {
	task = new AgreementTask(settingsOf(name, peers), peerCalls, silentLog, new MetricsService());
	task.addPart({
		id: PART,
		apply: body => {
			assert.notEqual(body, INAPPLICABLE);
			applied.push(body);
			return body;
		},
		save: () => applied,
		restore: () => undefined
	});
	await task.start();
}

async function waitUntil(what: string, condition: () => boolean): Promise<void> {
	const deadline = performance.now() + TIMEOUT_MS;
	while (!condition()) {
		assert.ok(performance.now() < deadline, `${what} within ${TIMEOUT_MS} ms`);
		await delay(POLL_MS);
	}
}

function propose(body: number): Promise<unknown> {
	return task.propose({ part: PART, body });
}

/** How a promise settled within the time that an answer at once takes; undefined if it did not. */
function outcomeAtOnce(promise: Promise<unknown>): Promise<string | undefined> {
	const settled = promise.then(
		() => 'resolved',
		(error: Error) => error.name
	);
	return Promise.race([settled, delay(AT_ONCE_MS).then(() => undefined)]);
}

function commandAt(index: number): LogEntry {
	const command: PartCommand = { part: PART, body: index };
	return { index, term: 1, kind: EntryKind.Command, command };
}

/** Header of a request of the leader c1 to the replica c2. */
function appendHeader() {
	return { type: 'append' as const, from: 'c1', fromIncarnation: 'c1', to: 'c2', toIncarnation: '', term: 1 };
}

/** Sends entries of the leader c1 to the replica c2. */
async function sendEntries(entries: readonly LogEntry[], prevIndex: number, sentAt: number): Promise<void> {
	const prevTerm = prevIndex > 0 ? 1 : 0;
	const request: AppendRequest = { ...appendHeader(), prevIndex, prevTerm, entries, commit: 0, sentAt };
	await deliver({ messages: [request] });
}

function acceptedIndices(): number[] {
	const isAccepted = (message: AgreementMessage): message is AppendReply =>
		message.type === 'appendReply' && message.accepted;
	return sent.filter(isAccepted).map(({ index }) => index);
}

beforeEach(async () => {
	folder = await mkdtemp(join(tmpdir(), 'shelffield-replica-'));
	disk = await FaultyDisk.install();
	applied = [];
	sent = [];
	stopSignals = 0;
	process.on('SIGTERM', onStopSignal);
});

afterEach(async () => {
	disk.isFull = () => false;
	task.dispose();
	await delay(POLL_MS);
	process.removeListener('SIGTERM', onStopSignal);
	disk.uninstall();
	await rm(folder, { recursive: true, force: true });
});

test('a leader whose disk is full rejects commands at once, and commits again once the disk takes writes', async () => {
	await startTask('c1', []);
	await waitUntil('a leader is elected', () => task.hasLease());
	assert.equal(await propose(1), 1);
	disk.isFull = () => true;
	assert.equal(await outcomeAtOnce(propose(2)), 'OutcomeUnknownError');
	assert.equal(task.hasLease(), false);
	assert.equal(task.status().leader, undefined);
	assert.equal(await outcomeAtOnce(propose(3)), 'NotLeaderError');
	await delay(OUTAGE_MS);
	disk.isFull = () => false;
	await waitUntil('the replica leads again', () => task.hasLease());
	assert.equal(await propose(4), 4);
	assert.deepEqual(
		applied.filter(body => body !== 2),
		[1, 4]
	);
	assert.equal(stopSignals, 0);
});

/** Guards against a process that ends, starts and ends again for as long as its disk takes no writes. */
test('a replica whose disk is full does not end its process', async () => {
	await startTask('c2', ['c1', 'c3']);
	await sendEntries([{ index: 1, term: 1, kind: EntryKind.Members, members: MEMBERS }], 0, 1);
	await waitUntil('the first entry is acknowledged', () => acceptedIndices().includes(1));
	disk.isFull = () => true;
	await sendEntries([commandAt(2)], 1, 2);
	await delay(OUTAGE_MS);
	assert.equal(stopSignals, 0);
});

/** Guards against the acknowledgement of entries of a failed write after a later write succeeded. */
test('a replica acknowledges only entries that are on its disk', async () => {
	await startTask('c2', ['c1', 'c3']);
	await sendEntries([{ index: 1, term: 1, kind: EntryKind.Members, members: MEMBERS }], 0, 1);
	await waitUntil('the first entry is acknowledged', () => acceptedIndices().includes(1));
	disk.isFull = () => true;
	await sendEntries([commandAt(2)], 1, 2);
	await delay(AT_ONCE_MS);
	await sendEntries([commandAt(3)], 2, 3);
	await delay(AT_ONCE_MS);
	disk.isFull = () => false;
	await sendEntries([commandAt(4)], 3, 4);
	const acknowledged = (): number => Math.max(...acceptedIndices());
	await waitUntil('an entry is acknowledged after the outage', () => acknowledged() >= 2);
	await delay(AT_ONCE_MS);
	const { log } = await new LogStore(folder).open();
	assert.deepEqual(
		log.entries.slice(0, acknowledged()).map(({ index }) => index),
		Array.from({ length: acknowledged() }, (_unused, i) => i + 1)
	);
});

/** Guards against the acknowledgement of entries that are only in memory when the leader sends them again. */
test('entries of a failed write are not acknowledged when they are sent again', async () => {
	await startTask('c2', ['c1', 'c3']);
	await sendEntries([{ index: 1, term: 1, kind: EntryKind.Members, members: MEMBERS }], 0, 1);
	await waitUntil('the first entry is acknowledged', () => acceptedIndices().includes(1));
	disk.isFull = () => true;
	for (let sentAt = 2; sentAt < 5; sentAt++) {
		await sendEntries([commandAt(2)], 1, sentAt);
		await delay(AT_ONCE_MS);
	}
	assert.deepEqual(
		acceptedIndices().filter(index => index > 1),
		[]
	);
});

test('a replica whose disk is full does not vote', async () => {
	await startTask('c2', ['c1', 'c3']);
	await sendEntries([{ index: 1, term: 1, kind: EntryKind.Members, members: MEMBERS }], 0, 1);
	await waitUntil('the first entry is acknowledged', () => acceptedIndices().includes(1));
	disk.isFull = () => true;
	await delay(DEFAULT_TIMING.electionMinMs);
	const header = { from: 'c3', fromIncarnation: 'c3', to: 'c2', toIncarnation: '', term: 9 };
	await deliver({ messages: [{ ...header, type: 'vote', pre: false, lastIndex: 1, lastTerm: 1 }] });
	await delay(OUTAGE_MS);
	const votes = sent.filter(message => message.type === 'voteReply' && message.granted);
	assert.deepEqual(votes, []);
});

/** Makes the replica c2 overwrite what is committed, which no correct leader asks for. */
async function violateInvariant(): Promise<void> {
	const header = { from: 'c3', fromIncarnation: 'c3', to: 'c2', toIncarnation: '', term: 9 };
	const entries = [{ ...commandAt(1), term: 9 }];
	await deliver({
		messages: [{ ...header, type: 'append', prevIndex: 0, prevTerm: 0, entries, commit: 1, sentAt: 1 }]
	});
}

/** Guards against ends in quick succession, each with the exit code of a planned one, where the log itself brings the failure about. */
test('a replica that fails again and again ends its process later each time, and answers nothing meanwhile', async t => {
	t.after(() => (process.exitCode = undefined));
	await startTask('c2', ['c1', 'c3']);
	await sendEntries([{ index: 1, term: 1, kind: EntryKind.Members, members: MEMBERS }, commandAt(2)], 0, 1);
	await waitUntil('the entries are acknowledged', () => acceptedIndices().includes(2));
	await deliver({ messages: [{ ...appendHeader(), prevIndex: 2, prevTerm: 1, entries: [], commit: 2, sentAt: 2 }] });
	await waitUntil('the entry is applied', () => applied.length > 0);
	await violateInvariant();
	await waitUntil('the process ends', () => stopSignals === 1);
	assert.equal(process.exitCode, 1);
	sent = [];
	await sendEntries([commandAt(3)], 2, 3);
	await delay(AT_ONCE_MS);
	assert.deepEqual(sent, []);
	task.dispose();
	await startTask('c2', ['c1', 'c3']);
	await violateInvariant();
	await delay(OUTAGE_MS);
	assert.equal(stopSignals, 1);
});

/** Guards against a log in memory that grows with the size of the commands until the process exceeds its memory. */
test('large commands are compacted although they are few', async () => {
	await startTask('c1', []);
	await waitUntil('a leader is elected', () => task.hasLease());
	for (let i = 0; i < 12; i++) {
		await task.propose({ part: PART, body: 'x'.repeat(1024 * 1024) });
	}
	assert.ok(task.status().snapshotIndex > 0);
});

/** Guards against the end of all replicas, at each start, because of one entry. */
test('a command that cannot be applied is rejected, and the replica goes on', async () => {
	await startTask('c1', []);
	await waitUntil('a leader is elected', () => task.hasLease());
	await assert.rejects(propose(INAPPLICABLE), { name: 'AssertionError' });
	assert.equal(await propose(1), 1);
	assert.equal(stopSignals, 0);
});

/** Guards against commands that end one leader after the other, or each replica that reads its log. */
for (const [title, body] of [
	['that cannot be encoded', { callback: () => undefined }],
	['that cannot be decoded', JSON.parse('{ "__proto__": 1 }')]
] as const) {
	test(`a command ${title} is rejected, and the replica goes on`, async () => {
		await startTask('c1', []);
		await waitUntil('a leader is elected', () => task.hasLease());
		await assert.rejects(task.propose({ part: PART, body }), { name: 'InvalidCommandError' });
		assert.equal(await propose(1), 1);
		assert.equal(stopSignals, 0);
	});
}
