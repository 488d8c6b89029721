/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Clients that send chunked bodies, stop short of their end and stay open, and what a process holds meanwhile. */

import { readdirSync, readFileSync } from 'node:fs';
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

const WRITE_BYTES = 64 * 1024;
/** Clients whose bytes are no longer taken for this long have sent what they can. */
const SETTLED_MS = 2000;
const POLL_MS = 100;

/** One kind of client. */
export interface CrowdOptions {
	readonly host: string;
	readonly port: number;
	readonly clients: number;
	/** Request line and headers, without the framing; clients that send none at all say nothing. */
	readonly head: readonly string[];
	/** Bytes of a body that each client sends. */
	readonly bodyBytes: number;
	/** Bytes of one chunk. */
	readonly chunkBytes: number;
	/** What a chunk holds; the bytes `x` if omitted. */
	readonly fill?: string;
	/** What each client sends behind the headers in place of a chunked body. */
	readonly rest?: string;
}

/** Clients of one kind. */
export class BodyCrowd {
	private readonly _sockets: Socket[] = [];
	private _progress = 0;

	constructor(private readonly _options: CrowdOptions) {}

	/** Has all clients send; resolves when each has sent its part, was closed, or is no longer read. */
	async send(): Promise<void> {
		const { host, port, clients } = this._options;
		const bytes = this._encode();
		let pending = clients;
		for (let i = 0; i < clients; i++) {
			const socket = connect(port, host);
			this._sockets.push(socket);
			socket.on('error', () => undefined);
			socket.resume();
			void this._write(socket, bytes).then(() => pending--);
		}
		let [seen, seenAt] = [-1, 0];
		while (pending > 0 && (seen !== this._progress || performance.now() - seenAt < SETTLED_MS)) {
			if (seen !== this._progress) {
				[seen, seenAt] = [this._progress, performance.now()];
			}
			await delay(POLL_MS);
		}
	}

	close(): void {
		this._sockets.forEach(socket => socket.destroy());
	}

	private async _write(socket: Socket, bytes: Buffer): Promise<void> {
		const closed = new Promise<void>(resolve => socket.once('close', () => resolve()));
		await Promise.race([new Promise<void>(resolve => socket.once('connect', () => resolve())), closed]);
		this._progress++;
		for (let offset = 0; offset < bytes.length && !socket.destroyed; offset += WRITE_BYTES) {
			const written = new Promise<void>(resolve =>
				socket.write(bytes.subarray(offset, offset + WRITE_BYTES), () => resolve())
			);
			await Promise.race([written, closed]);
			this._progress++;
		}
	}

	private _encode(): Buffer {
		const { head, bodyBytes, chunkBytes, fill = 'x', rest } = this._options;
		if (head.length === 0) {
			return Buffer.alloc(0);
		}
		if (rest !== undefined) {
			return Buffer.from([...head, rest].join('\r\n'), 'latin1');
		}
		const chunk = `${chunkBytes.toString(16)}\r\n${fill.repeat(chunkBytes / fill.length)}\r\n`;
		const headText = [...head, 'Transfer-Encoding: chunked', '', ''].join('\r\n');
		return Buffer.from(headText + chunk.repeat(Math.floor(bodyBytes / chunkBytes)), 'latin1');
	}
}

/** Most memory that a process has had resident, in MiB. */
export function peakMemoryMb(processId: number): number {
	const status = readFileSync(`/proc/${processId}/status`, 'utf8');
	return Number(/VmHWM:\s+(\d+) kB/.exec(status)![1]) / 1024;
}

/** Descriptors that a process has open. */
export function openDescriptors(processId: number): number {
	return readdirSync(`/proc/${processId}/fd`).length;
}
