/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Bounds what an HTTP server parses in one turn of the event loop. Each chunk of a body costs a call from the parser, and Node.js reads
 * up to 2 MiB of a connection in a turn, so bodies in chunks of one byte would keep the process from its other work for seconds.
 */

import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import { Server as TlsServer } from 'node:tls';
import { TurnQueue } from '../common/turnQueue.js';
import type { PacedMessage } from './pacedMessage.js';

/** Bytes that are parsed at a time; those of a slice behind one with few chunks are up to {@link MAX_SLICE_BYTES}. */
const SLICE_BYTES = 1024;
const MAX_SLICE_BYTES = 4096;
/** A slice with more chunks and requests ends the turn of its connection. */
const MAX_PARTS_PER_SLICE = 16;
const MAX_SLICES_PER_TURN = 32;
/** Connections with bytes that are read and not parsed, up to 128 KiB each; further ones are closed. */
const MAX_WAITING = 128;

type Parse = (bytes: Buffer) => void;

/** Parses the bytes of one connection, in slices. */
class PacedConnection {
	private _waiting: Buffer | undefined;
	private _message: PacedMessage | undefined;
	/** Requests, and chunks of those before the last one. */
	private _earlierParts = 0;

	constructor(
		private readonly _socket: Socket,
		private readonly _parse: Parse,
		private readonly _queue: TurnQueue<PacedConnection>
	) {
		_socket.on('data', (bytes: Buffer) => this._onBytes(bytes));
		_socket.on('resume', () => this._onResume());
		_socket.once('close', () => this._queue.delete(this));
	}

	beginMessage(message: PacedMessage): void {
		this._earlierParts = this._parts() + 1;
		this._message = message;
	}

	/** Parses one slice of what waits. */
	runTurn(): void {
		if (!this._waiting || this._socket.destroyed || this._isHeld()) {
			return;
		}
		this._parseSlice(this._waiting, SLICE_BYTES);
		if (this._waiting) {
			this._queue.add(this);
		} else if (!this._isHeld()) {
			this._socket.resume();
		}
	}

	private _onBytes(bytes: Buffer): void {
		if (this._waiting) {
			this._waiting = Buffer.concat([this._waiting, bytes]);
			return;
		}
		let sliceBytes = SLICE_BYTES;
		let parts = this._parseSlice(bytes, sliceBytes);
		while (this._waiting && parts <= MAX_PARTS_PER_SLICE && !this._isHeld()) {
			sliceBytes = Math.min(sliceBytes * 2, MAX_SLICE_BYTES);
			parts = this._parseSlice(this._waiting, sliceBytes);
		}
		if (this._waiting) {
			this._socket.pause();
			this._wait();
		}
	}

	/** The HTTP server resumes a connection whenever a message is read; it stays paused until what waits is parsed. */
	private _onResume(): void {
		if (this._waiting) {
			this._socket.pause();
			this._wait();
		}
	}

	private _wait(): void {
		if (!this._queue.add(this)) {
			this._socket.destroy();
		}
	}

	/** @returns the number of chunks and requests in the slice */
	private _parseSlice(bytes: Buffer, sliceBytes: number): number {
		const before = this._parts();
		this._waiting = bytes.length > sliceBytes ? bytes.subarray(sliceBytes) : undefined;
		this._parse(bytes.subarray(0, sliceBytes));
		return this._parts() - before;
	}

	private _parts(): number {
		return this._earlierParts + (this._message?.chunkCount ?? 0);
	}

	/** Whether the HTTP server waits for the reader of a message, or for the client to read its responses; it resumes the connection. */
	private _isHeld(): boolean {
		const isServerPaused = (this._socket as unknown as { _paused?: boolean })._paused === true;
		return isServerPaused || this._message?.isBlocked === true;
	}
}

/** Paces the connections of a server that makes `PacedMessage` objects, and that must not have any connections yet. */
export function paceReads(server: Server): void {
	const queue = new TurnQueue<PacedConnection>(MAX_WAITING, MAX_SLICES_PER_TURN, setImmediate);
	const connections = new WeakMap<Socket, PacedConnection>();
	server.on(server instanceof TlsServer ? 'secureConnection' : 'connection', (socket: Socket) => {
		const [parse] = socket.listeners('data') as Parse[];
		if (parse) {
			socket.off('data', parse);
			connections.set(socket, new PacedConnection(socket, bytes => parse.call(socket, bytes), queue));
		}
	});
	server.prependListener('request', (request: IncomingMessage) =>
		connections.get(request.socket)?.beginMessage(request as PacedMessage)
	);
}
