/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The replica's files: `identity.json` and `log.bin`.
 *
 * `log.bin` is a row of records, each `magic, length, CRC-32, payload` (32-bit little endian, MessagePack). One batch is
 * one record and one sync. A bad record with no good one after it is a torn tail: it was never synced, so it is cut. A bad
 * record with good ones after it is damage to what was synced: the replica gives up its files and its incarnation.
 */

import { randomUUID } from 'node:crypto';
import { type FileHandle, mkdir, open, readFile, rename } from 'node:fs/promises';
import { join } from 'node:path';
import { crc32 } from 'node:zlib';
import { decode, encode } from '@msgpack/msgpack';
import VError from 'verror';
import { replaceFile, syncFolder } from '../../../kernel/node/durableFile.js';
import type { HardState, LogEntry, LogIndex, PersistRecord, Snapshot } from '../common/agreementTypes.js';
import type { StoredLog } from '../common/memoryLog.js';

const MAGIC = 0x53484c46;
const HEADER_BYTES = 12;
const LOG_FILE = 'log.bin';
const IDENTITY_FILE = 'identity.json';

/** How the files were found at the start. */
export enum StoreCondition {
	/** No log yet, or a folder that was lost. */
	Blank = 'blank',
	Whole = 'whole',
	/** The last record was incomplete and was cut. */
	TornTail = 'torn-tail',
	/** Synced data was damaged; the files were set aside and the replica begins anew. */
	Damaged = 'damaged'
}

/** What the store holds after opening. */
export interface OpenedStore {
	readonly condition: StoreCondition;
	readonly incarnation: string;
	readonly hardState: HardState;
	readonly log: StoredLog;
}

function encodeRecord(record: PersistRecord): Buffer {
	const payload = encode(record, { ignoreUndefined: true });
	const bytes = Buffer.alloc(HEADER_BYTES + payload.byteLength);
	bytes.writeUInt32LE(MAGIC, 0);
	bytes.writeUInt32LE(payload.byteLength, 4);
	bytes.writeUInt32LE(crc32(payload), 8);
	bytes.set(payload, HEADER_BYTES);
	return bytes;
}

/** The payload of the record at an offset, or undefined when there is no whole record. */
function payloadAt(bytes: Buffer, offset: number): Buffer | undefined {
	if (offset + HEADER_BYTES > bytes.length || bytes.readUInt32LE(offset) !== MAGIC) {
		return undefined;
	}
	const start = offset + HEADER_BYTES;
	const payload = bytes.subarray(start, start + bytes.readUInt32LE(offset + 4));
	const isWhole = payload.length === bytes.readUInt32LE(offset + 4);
	return isWhole && crc32(payload) === bytes.readUInt32LE(offset + 8) ? payload : undefined;
}

function hasRecordAfter(bytes: Buffer, offset: number): boolean {
	const magic = Buffer.alloc(4);
	magic.writeUInt32LE(MAGIC);
	for (let at = bytes.indexOf(magic, offset + 1); at >= 0; at = bytes.indexOf(magic, at + 1)) {
		if (payloadAt(bytes, at)) {
			return true;
		}
	}
	return false;
}

/** The records of a file and where the good part ends. */
interface ReadRecords {
	readonly records: PersistRecord[];
	readonly goodBytes: number;
	readonly isDamaged: boolean;
}

function readRecords(bytes: Buffer): ReadRecords {
	const records: PersistRecord[] = [];
	let offset = 0;
	while (offset < bytes.length) {
		const payload = payloadAt(bytes, offset);
		if (!payload) {
			return { records, goodBytes: offset, isDamaged: hasRecordAfter(bytes, offset) };
		}
		records.push(decode(payload) as PersistRecord);
		offset += HEADER_BYTES + payload.length;
	}
	return { records, goodBytes: offset, isDamaged: false };
}

/** Replays records into the state they describe. */
function replay(records: readonly PersistRecord[]): { hardState: HardState; log: StoredLog } {
	let hardState: HardState = { term: 0 };
	let snapshot: Snapshot | undefined;
	let entries: LogEntry[] = [];
	let commit: LogIndex | undefined;
	for (const record of records) {
		if (record.snapshot) {
			snapshot = record.snapshot;
			entries = [];
		}
		if (record.cutFrom !== undefined) {
			entries.length = record.cutFrom - (snapshot?.index ?? 0) - 1;
		}
		for (const entry of record.entries ?? []) {
			entries.push(entry);
		}
		hardState = record.hardState ?? hardState;
		commit = record.commit ?? commit;
	}
	return { hardState, log: { snapshot, entries, commit } };
}

async function readIfPresent(path: string): Promise<Buffer | undefined> {
	try {
		return await readFile(path);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return undefined;
		}
		throw new VError(error as Error, `cannot read ${path}`);
	}
}

/** The files of one replica. */
export class LogStore {
	private _handle!: FileHandle;
	private _size = 0;

	/** @param _folder the data folder, created when missing */
	constructor(private readonly _folder: string) {}

	/** Bytes in the log file. */
	get size(): number {
		return this._size;
	}

	/**
	 * Reads the files; cuts a torn tail and sets damaged files aside.
	 * @param freshIncarnation the incarnation of a folder that is blank
	 */
	async open(freshIncarnation: string = randomUUID()): Promise<OpenedStore> {
		await mkdir(this._folder, { recursive: true, mode: 0o700 });
		const bytes = await readIfPresent(join(this._folder, LOG_FILE));
		const identity = await readIfPresent(join(this._folder, IDENTITY_FILE));
		const read = readRecords(bytes ?? Buffer.alloc(0));
		const isDamaged = read.isDamaged || (bytes !== undefined && identity === undefined);
		if (isDamaged) {
			await rename(join(this._folder, LOG_FILE), join(this._folder, `log.damaged-${randomUUID()}`));
		}
		const isFresh = isDamaged || bytes === undefined;
		const incarnation = isFresh
			? await this._newIncarnation(isDamaged ? randomUUID() : freshIncarnation)
			: this._readIncarnation(identity!);
		await this._openLog(isFresh ? 0 : read.goodBytes);
		const condition = this._condition(bytes, read, isDamaged);
		const state = replay(isFresh ? [] : read.records);
		return { condition, incarnation, ...state };
	}

	/** Writes records and returns when they are synced. */
	async append(records: readonly PersistRecord[]): Promise<void> {
		const bytes = Buffer.concat(records.map(encodeRecord));
		await this._handle.write(bytes, 0, bytes.length, this._size);
		await this._handle.datasync();
		this._size += bytes.length;
	}

	/** Replaces the file by a snapshot and what follows it. */
	async compact(snapshot: Snapshot, entries: readonly LogEntry[], hardState: HardState): Promise<void> {
		const bytes = encodeRecord({ snapshot, entries, hardState });
		await replaceFile(this._folder, LOG_FILE, bytes);
		await this._handle.close();
		this._handle = await open(join(this._folder, LOG_FILE), 'r+');
		this._size = bytes.length;
	}

	/** Closes the file. */
	async close(): Promise<void> {
		await this._handle.close();
	}

	private _condition(bytes: Buffer | undefined, read: ReadRecords, isDamaged: boolean): StoreCondition {
		if (isDamaged) {
			return StoreCondition.Damaged;
		}
		if (bytes === undefined || read.records.length === 0) {
			return StoreCondition.Blank;
		}
		return read.goodBytes < bytes.length ? StoreCondition.TornTail : StoreCondition.Whole;
	}

	private _readIncarnation(identity: Buffer): string {
		return (JSON.parse(identity.toString('utf8')) as { incarnation: string }).incarnation;
	}

	private async _newIncarnation(incarnation: string): Promise<string> {
		await replaceFile(this._folder, IDENTITY_FILE, Buffer.from(JSON.stringify({ incarnation })));
		return incarnation;
	}

	private async _openLog(goodBytes: number): Promise<void> {
		const path = join(this._folder, LOG_FILE);
		const handle = await open(path, 'a');
		await handle.close();
		this._handle = await open(path, 'r+');
		await this._handle.truncate(goodBytes);
		await this._handle.sync();
		await syncFolder(this._folder);
		this._size = goodBytes;
	}
}
