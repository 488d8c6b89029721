/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Calls between processes over HTTP/2 of Node.js with MessagePack bodies: what gRPC sends on the wire without its library,
 * for machines on which memory and start time are dear (figures in docs/design/platform.md).
 */

import * as http2 from 'node:http2';
import { decode, encode } from '@msgpack/msgpack';
import { systemClock } from '../../base/clock.js';
import { Disposable, toDisposable } from '../../base/disposable.js';
import type { IPeerCalls } from '../common/peerCalls.js';
import type { UnaryMethod } from '../common/peerMethods.js';
import type { InstanceSettings } from './instanceSettings.js';
import { ISettingsService } from './settingsService.js';

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
/** A session on which nothing came back for this long while a call timed out is given up. */
const SILENT_SESSION_MS = 1000;
/** Bytes under way that a stream, and a connection, allows: enough for a large table between regions in one go. */
const WINDOW_BYTES = 4 * 1024 * 1024;
const STATUS_OK = 200;
const STATUS_UNKNOWN_METHOD = 404;
const STATUS_FAILED = 500;

type Handler = (request: unknown) => Promise<unknown>;

/** One connection to a peer and when it was last heard on. */
interface PeerSession {
	readonly session: http2.ClientHttp2Session;
	heardAt: number;
}

function encodeMessage(message: unknown): Buffer {
	const bytes = encode(message, { ignoreUndefined: true });
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function readAll(stream: http2.Http2Stream, done: (body: Buffer) => void): void {
	const pieces: Buffer[] = [];
	let size = 0;
	stream.on('data', (piece: Buffer) => {
		size += piece.length;
		if (size > MAX_MESSAGE_BYTES) {
			stream.close(http2.constants.NGHTTP2_CANCEL);
			return;
		}
		pieces.push(piece);
	});
	stream.on('end', () => done(pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces)));
}

/** The window of a whole connection; a session may be over by the time its beginning is told. */
function widenWindow(session: http2.Http2Session): void {
	if (!session.destroyed && !session.closed) {
		session.setLocalWindowSize(WINDOW_BYTES);
	}
}

/** Peer calls over `node:http2`. */
export class Http2PeerCalls extends Disposable implements IPeerCalls {
	private readonly _handlers = new Map<string, Handler>();
	private readonly _sessions = new Map<string, PeerSession>();
	private readonly _server = http2.createServer({ settings: { initialWindowSize: WINDOW_BYTES } });
	private readonly _listenAddress: string;

	constructor(@ISettingsService settings: ISettingsService) {
		super();
		this._listenAddress = settings.section<InstanceSettings>('instance').peerAddress;
		this._server.on('stream', (stream, headers) => this._serve(stream, String(headers[':path'])));
		this._server.on('session', widenWindow);
		this._server.on('sessionError', () => undefined);
		this._register(toDisposable(() => this._server.close()));
		this._register(toDisposable(() => this._sessions.forEach(peer => peer.session.destroy())));
	}

	handleUnary<Q, S>(method: UnaryMethod<Q, S>, handler: (request: Q) => Promise<S>): void {
		this._handlers.set(method.path, handler as Handler);
	}

	async listen(): Promise<string> {
		const [host, port] = this._listenAddress.split(':');
		await new Promise<void>((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(Number(port), host, () => resolve());
		});
		const bound = this._server.address() as { port: number };
		return `${host}:${bound.port}`;
	}

	call<Q, S>(address: string, method: UnaryMethod<Q, S>, request: Q, timeoutMs: number): Promise<S> {
		return new Promise<S>((resolve, reject) => {
			const peer = this._session(address);
			const stream = peer.session.request({ ':method': 'POST', ':path': method.path });
			let status = 0;
			const timer = setTimeout(() => {
				this._dropIfSilent(address, peer, timeoutMs);
				stream.close(http2.constants.NGHTTP2_CANCEL);
				reject(new Error(`${method.path} at ${address} did not answer within ${timeoutMs} ms`));
			}, timeoutMs);
			const fail = (error: Error): void => {
				clearTimeout(timer);
				reject(error);
			};
			stream.on('response', headers => {
				peer.heardAt = systemClock.now();
				status = Number(headers[':status']);
			});
			stream.on('error', fail);
			stream.on('close', () => fail(new Error(`${method.path} at ${address} was cut off`)));
			readAll(stream, body => {
				clearTimeout(timer);
				if (status === STATUS_OK) {
					resolve(decode(body) as S);
				} else {
					reject(new Error(`${method.path} at ${address}: ${status} ${body.toString('utf8')}`));
				}
			});
			stream.end(encodeMessage(request));
		});
	}

	private _serve(stream: http2.ServerHttp2Stream, path: string): void {
		stream.on('error', () => stream.destroy());
		readAll(stream, body => void this._answer(stream, path, body));
	}

	private async _answer(stream: http2.ServerHttp2Stream, path: string, body: Buffer): Promise<void> {
		const handler = this._handlers.get(path);
		let status = STATUS_OK;
		let answer: Buffer;
		try {
			answer = handler ? encodeMessage(await handler(decode(body))) : Buffer.from('unknown method');
			status = handler ? STATUS_OK : STATUS_UNKNOWN_METHOD;
		} catch (error) {
			status = STATUS_FAILED;
			answer = Buffer.from((error as Error).message);
		}
		if (!stream.destroyed && !stream.closed) {
			stream.respond({ ':status': status });
			stream.end(answer);
		}
	}

	private _session(address: string): PeerSession {
		const known = this._sessions.get(address);
		if (known && !known.session.destroyed && !known.session.closed) {
			return known;
		}
		const session = http2.connect(`http://${address}`, { settings: { initialWindowSize: WINDOW_BYTES } });
		const peer: PeerSession = { session, heardAt: systemClock.now() };
		session.on('connect', () => widenWindow(session));
		session.on('error', () => session.destroy());
		session.on('goaway', () => session.destroy());
		session.on('close', () => {
			if (this._sessions.get(address) === peer) {
				this._sessions.delete(address);
			}
		});
		session.unref();
		this._sessions.set(address, peer);
		return peer;
	}

	/** Behind a cut a connection says nothing: one that is silent is replaced, so that the next call connects afresh. */
	private _dropIfSilent(address: string, peer: PeerSession, timeoutMs: number): void {
		const silentMs = systemClock.now() - peer.heardAt;
		if (silentMs >= Math.min(timeoutMs, SILENT_SESSION_MS)) {
			this._sessions.delete(address);
			peer.session.destroy();
		}
	}
}
