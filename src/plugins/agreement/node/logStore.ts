/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Files of a replica: `identity.json` and `log.bin`.
 *
 * `log.bin` is a sequence of records, each `magic, length, CRC-32, payload` (32-bit little endian; the payload is
 * MessagePack). A batch of records is written with one sync. An invalid record without a valid one after it is a torn
 * write that was never synced, and is truncated. An invalid record with valid ones after it means that synced data is
 * damaged: the log file is renamed and the replica starts empty under a new incarnation.
 */

import { randomUUID } from 'node:crypto';
import { type FileHandle, mkdir, open, readFile, rename } from 'node:fs/promises';
import { join } from 'node:path';
import { crc32 } from 'node:zlib';
import { decode, encode } from '@msgpack/msgpack';
import VError from 'verror';
import { replaceFile, syncFolder, writeTemporaryFile } from '../../../kernel/node/durableFile.js';
import type { HardState, LogEntry, LogIndex, PersistRecord, Snapshot } from '../common/agreementTypes.js';
import type { StoredLog } from '../common/memoryLog.js';

const MAGIC = 0x53484c46;
const HEADER_BYTES = 12;
const LOG_FILE = 'log.bin';
const IDENTITY_FILE = 'identity.json';

/** Condition of the files when they were opened. */
export enum StoreCondition {
	/** There is no log file, or no record in it. */
	Blank = 'blank',
	Intact = 'whole',
	/** The end of the file was invalid and was truncated. */
	TornTail = 'torn-tail',
	/** Synced data or the identity file is lost; the log file was renamed and the replica starts empty. */
	Damaged = 'damaged'
}

/** Contents of the store after opening. */
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

/** Payload of the record at an offset, or undefined if there is no valid record. */
function payloadAt(bytes: Buffer, offset: number): Buffer | undefined {
	if (offset + HEADER_BYTES > bytes.length || bytes.readUInt32LE(offset) !== MAGIC) {
		return undefined;
	}
	const start = offset + HEADER_BYTES;
	const payload = bytes.subarray(start, start + bytes.readUInt32LE(offset + 4));
	const isComplete = payload.length === bytes.readUInt32LE(offset + 4);
	return isComplete && crc32(payload) === bytes.readUInt32LE(offset + 8) ? payload : undefined;
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

/** Records of a log file up to the first invalid one. */
interface ParsedRecords {
	readonly records: PersistRecord[];
	/** Length of the valid part at the start of the file. */
	readonly validBytes: number;
	/** Whether a valid record follows an invalid one. */
	readonly isDamaged: boolean;
}

function parseRecords(bytes: Buffer): ParsedRecords {
	const records: PersistRecord[] = [];
	let offset = 0;
	while (offset < bytes.length) {
		const payload = payloadAt(bytes, offset);
		if (!payload) {
			return { records, validBytes: offset, isDamaged: hasRecordAfter(bytes, offset) };
		}
		records.push(decode(payload) as PersistRecord);
		offset += HEADER_BYTES + payload.length;
	}
	return { records, validBytes: offset, isDamaged: false };
}

/** Replays records into a hard state and a log. */
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

/** Incarnation saved in an identity file; undefined if the file is empty or damaged. */
function readIncarnation(identity: Buffer): string | undefined {
	try {
		return (JSON.parse(identity.toString('utf8')) as { incarnation?: string } | null)?.incarnation;
	} catch {
		return undefined;
	}
}

/** Writes all bytes at a position; a single write may take only part of them. */
async function writeAll(handle: FileHandle, bytes: Buffer, position: number): Promise<void> {
	let written = 0;
	while (written < bytes.length) {
		const { bytesWritten } = await handle.write(bytes, written, bytes.length - written, position + written);
		written += bytesWritten;
	}
}

/** Reads and writes the files of a replica. */
export class LogStore {
	private _handle!: FileHandle;
	/** Length of the synced part of the log file; a failed write may have left bytes behind it. */
	private _size = 0;
	private _hasUnsyncedBytes = false;
	/** Whether the log file was replaced, but the handle is still that of the file before. */
	private _isHandleOutdated = false;
	private _isFolderUnsynced = false;

	/** @param _folder data folder; created if missing */
	constructor(private readonly _folder: string) {}

	/** Size of the log in bytes. */
	get size(): number {
		return this._size;
	}

	/**
	 * Reads the files; truncates a torn tail and renames a damaged log file.
	 * @param blankIncarnation incarnation to use if there is no log file
	 */
	async open(blankIncarnation: string = randomUUID()): Promise<OpenedStore> {
		await mkdir(this._folder, { recursive: true, mode: 0o700 });
		const bytes = await readIfPresent(join(this._folder, LOG_FILE));
		const identity = await readIfPresent(join(this._folder, IDENTITY_FILE));
		const parsed = parseRecords(bytes ?? Buffer.alloc(0));
		const savedIncarnation = identity && readIncarnation(identity);
		const isDamaged = parsed.isDamaged || (bytes !== undefined && savedIncarnation === undefined);
		if (isDamaged) {
			await rename(join(this._folder, LOG_FILE), join(this._folder, `log.damaged-${randomUUID()}`));
		}
		const startsBlank = isDamaged || bytes === undefined;
		const incarnation = startsBlank
			? await this._writeIncarnation(isDamaged ? randomUUID() : blankIncarnation)
			: savedIncarnation!;
		await this._openLog(startsBlank ? 0 : parsed.validBytes);
		const condition = this._condition(bytes, parsed, isDamaged);
		const state = replay(startsBlank ? [] : parsed.records);
		return { condition, incarnation, ...state };
	}

	/**
	 * Appends records and resolves when they are synced. After a rejection any part of them may be on the disk; the next call
	 * overwrites it.
	 */
	async append(records: readonly PersistRecord[]): Promise<void> {
		const bytes = Buffer.concat(records.map(encodeRecord));
		await this._repair();
		this._hasUnsyncedBytes = true;
		await writeAll(this._handle, bytes, this._size);
		await this._handle.datasync();
		this._hasUnsyncedBytes = false;
		this._size += bytes.length;
	}

	/**
	 * Atomically replaces the log file with a snapshot and the entries that follow it. After a rejection the log has the content of
	 * before or the new one, which are equivalent, and can be appended to.
	 */
	async compact(snapshot: Snapshot, entries: readonly LogEntry[], hardState: HardState): Promise<void> {
		const bytes = encodeRecord({ snapshot, entries, hardState });
		const temporaryPath = await writeTemporaryFile(this._folder, LOG_FILE, bytes);
		await rename(temporaryPath, join(this._folder, LOG_FILE));
		this._isHandleOutdated = true;
		this._isFolderUnsynced = true;
		this._hasUnsyncedBytes = false;
		this._size = bytes.length;
		await this._repair();
	}

	/** Completes what an earlier write or replacement of the log file left unfinished. */
	private async _repair(): Promise<void> {
		if (this._isHandleOutdated) {
			const replaced = this._handle;
			this._handle = await open(join(this._folder, LOG_FILE), 'r+');
			this._isHandleOutdated = false;
			await replaced.close();
		}
		if (this._isFolderUnsynced) {
			await syncFolder(this._folder);
			this._isFolderUnsynced = false;
		}
		if (this._hasUnsyncedBytes) {
			await this._handle.truncate(this._size);
		}
	}

	async close(): Promise<void> {
		await this._handle.close();
	}

	private _condition(bytes: Buffer | undefined, parsed: ParsedRecords, isDamaged: boolean): StoreCondition {
		if (isDamaged) {
			return StoreCondition.Damaged;
		}
		if (bytes === undefined || parsed.records.length === 0) {
			return StoreCondition.Blank;
		}
		return parsed.validBytes < bytes.length ? StoreCondition.TornTail : StoreCondition.Intact;
	}

	private async _writeIncarnation(incarnation: string): Promise<string> {
		await replaceFile(this._folder, IDENTITY_FILE, Buffer.from(JSON.stringify({ incarnation })));
		return incarnation;
	}

	private async _openLog(validBytes: number): Promise<void> {
		const path = join(this._folder, LOG_FILE);
		const handle = await open(path, 'a');
		await handle.close();
		this._handle = await open(path, 'r+');
		try {
			await this._handle.truncate(validBytes);
			await this._handle.sync();
			await syncFolder(this._folder);
		} catch (error) {
			await this._handle.close();
			throw error;
		}
		this._size = validBytes;
	}
}
