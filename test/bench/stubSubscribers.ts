/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Simulates many entry instances in one process. Each keeps a session with a control instance and sends reports.
 *
 * The first argument is a `StubOptions` object as JSON. Prints its `StubCounts` as one JSON line when its parent sends a
 * message, and exits.
 */

import { encode } from '@msgpack/msgpack';
import { GrpcPeerTransport } from '../../src/kernel/node/peerTransport.js';
import type { ISettingsService } from '../../src/kernel/node/settingsService.js';
import { sessionMethod, type SessionUpdate } from '../../src/plugins/configuration/common/configurationSession.js';
import type { EntryReport } from '../../src/plugins/membership/common/entryReport.js';

/** Options of the process. */
export interface StubOptions {
	readonly controls: readonly string[];
	readonly count: number;
	readonly seconds: number;
	readonly reportIntervalMs: number;
}

/** Totals over all stubs. */
export interface StubCounts {
	readonly bytesDown: number;
	readonly bytesUp: number;
	readonly updates: number;
	/** For each revision that reached all stubs, the time from the first stub to the last, in milliseconds. */
	readonly spreadMs: number[];
	readonly slots: number;
}

const PORT_BASE = 20000;
const REGION_COUNT = 5;
const HALL_COUNT = 13;

const options = JSON.parse(process.argv[2]!) as StubOptions;
const settings: ISettingsService = {
	section: <T>(name: string): T => {
		const tls = { certificateFile: '', keyFile: '', authorityFile: '' };
		return (name === 'tls' ? tls : { peerAddress: '127.0.0.1:0' }) as T;
	},
	namedSections: <T>(): ReadonlyMap<string, T> => new Map(),
	reload: () => []
};
const transport = new GrpcPeerTransport(settings);

let bytesDown = 0;
let bytesUp = 0;
let updates = 0;
const revisionArrivals = new Map<number, { first: number; last: number; count: number }>();

function createReport(i: number, revision: number): EntryReport {
	return {
		identity: {
			instance: `stub-${i}`,
			hall: `hall-${i % HALL_COUNT}`,
			region: `region-${i % REGION_COUNT}`,
			url: `http://127.0.0.1:${PORT_BASE + i}`,
			peerAddress: `127.0.0.1:${PORT_BASE + i}`,
			incarnation: '0'
		},
		revisionInForce: revision,
		provisional: false,
		leaving: false,
		capacity: [{ service: 'grower', slots: 12, used: Math.floor(Math.random() * 12) }],
		demand: [{ service: 'grower', group: 'growers', used: Math.random() * 12, queued: 0 }],
		failures: 0,
		answers: 100
	};
}

function recordRevision(revision: number): void {
	const now = performance.now();
	const arrival = revisionArrivals.get(revision) ?? { first: now, last: now, count: 0 };
	arrival.last = now;
	arrival.count++;
	revisionArrivals.set(revision, arrival);
}

function openSession(i: number): void {
	let revision = 0;
	const stream = transport.openStream(options.controls[i % options.controls.length]!, sessionMethod);
	const send = (): void => {
		const message = { revision, report: createReport(i, revision) };
		bytesUp += encode(message).byteLength;
		stream.write(message);
	};
	stream.on('data', (update: SessionUpdate) => {
		updates++;
		bytesDown += encode(update, { ignoreUndefined: true }).byteLength;
		const latest = update.snapshot?.revision ?? update.deltas?.at(-1)?.revision ?? revision;
		if (latest > revision) {
			revision = latest;
			recordRevision(revision);
			send();
		}
	});
	stream.on('error', () => undefined);
	setTimeout(() => {
		send();
		setInterval(send, options.reportIntervalMs);
	}, Math.random() * options.reportIntervalMs);
}

for (let i = 0; i < options.count; i++) {
	openSession(i);
}
process.stdout.write(`${JSON.stringify({ message: 'ready' })}\n`);
process.once('message', () => {
	const spreads = [...revisionArrivals.values()]
		.filter(entry => entry.count >= options.count)
		.map(entry => entry.last - entry.first);
	const counts: StubCounts = { bytesDown, bytesUp, updates, spreadMs: spreads, slots: options.count * 12 };
	process.stdout.write(`${JSON.stringify({ counts })}\n`, () => process.exit(0));
});
process.on('disconnect', () => process.exit(0));
