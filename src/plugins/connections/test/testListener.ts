/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A listener for callers whose requests a test answers itself, and a caller with a raw socket. */

import { connect, type Socket } from 'node:net';
import { BodyAccount } from '../../../kernel/common/bodyAccount.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import { MetricsService } from '../../../kernel/node/metricsService.js';
import type { ICallerRequest } from '../common/callerConnections.js';
import { HeldMemoryAccount } from '../common/heldMemoryAccount.js';
import { CallerConnections } from '../node/callerConnections.js';

/** Time that a caller has for the headers of a request. */
export const HEADER_TIMEOUT_MS = 150;
/** Interval at which a caller has to read something. */
export const UNREAD_TIMEOUT_MS = 600;
const LOG = { debug: () => undefined, warn: () => undefined } as unknown as ILogService;

/** A response as a caller received it. */
export interface ReceivedResponse {
	readonly status: number;
	readonly closes: boolean;
	readonly body: string;
}

/** A listener whose taken up requests are kept until the test answers them. */
export class TestListener {
	readonly metrics = new MetricsService();
	readonly account: HeldMemoryAccount;
	readonly bodyAccount: BodyAccount;
	readonly connections: CallerConnections;
	/** Requests that were taken up, oldest first. */
	readonly taken: ICallerRequest[] = [];
	/** Paths of requests whose caller left before the whole response was sent. */
	readonly cancelled: string[] = [];
	/** How long what is read may have waited for the event loop. */
	readDelayMs = 0;
	/** How long a connection may be idle after a response. */
	idleTimeoutMs = 5000;
	/** Called with each request that is taken up. */
	onTaken: (request: ICallerRequest) => void = () => undefined;
	/** Called with the path of each request whose exchange has ended. */
	onClosed: (path: string) => void = () => undefined;

	/**
	 * @param memoryMb memory of the instance, for what is held for callers and targets
	 * @param receivedMemoryMb the same, for what is received in part
	 */
	constructor(memoryMb = 1024, receivedMemoryMb = 1024) {
		this.account = new HeldMemoryAccount(memoryMb);
		this.bodyAccount = new BodyAccount(receivedMemoryMb);
		this.connections = new CallerConnections(this.account, this.metrics, LOG, this.bodyAccount, {
			readDelayMs: () => this.readDelayMs
		});
	}

	/** Requests with a path that begins with `/once` may run only once. */
	async listen(): Promise<void> {
		await this.connections.listen({
			address: '127.0.0.1:0',
			maxConnections: 1000,
			maxHeaderBytes: 4096,
			unreadTimeoutMs: UNREAD_TIMEOUT_MS,
			idleTimeoutMs: () => this.idleTimeoutMs,
			headerTimeoutMs: () => HEADER_TIMEOUT_MS,
			ownerOf: () => undefined,
			isRepeatable: ({ url }) => !url!.startsWith('/once'),
			serve: request => {
				this.taken.push(request);
				request.setCloseHandler(isComplete => {
					this.onClosed(request.request.url!);
					if (!isComplete) {
						this.cancelled.push(request.request.url!);
					}
				});
				this.onTaken(request);
				return true;
			}
		});
	}

	/** Paths of the requests that were taken up. */
	get paths(): string[] {
		return this.taken.map(({ request }) => request.url!);
	}

	/** Answers a request with its path and padding. */
	answer(request: ICallerRequest | undefined, paddingBytes = 0): void {
		const body = request!.request.url! + '.'.repeat(paddingBytes);
		const headers = {
			'Content-Length': String(body.length),
			...(request!.closesConnection && { Connection: 'close' })
		};
		request!.response.writeHead(200, headers).end(body);
	}
}

/** A caller that writes bytes as they are and splits what it gets into responses. */
export class RawCaller {
	readonly socket: Socket;
	isClosed = false;
	private _received = '';

	constructor(port: number, isReading = true) {
		this.socket = connect(port, '127.0.0.1');
		this.socket.setNoDelay(true);
		this.socket.setEncoding('latin1');
		this.socket.on('error', () => undefined);
		this.socket.once('close', () => (this.isClosed = true));
		if (isReading) {
			this.startReading();
		}
	}

	/** Starts to read responses. */
	startReading(): void {
		this.socket.on('data', (chunk: string) => (this._received += chunk));
	}

	/** Sends requests without a body in one write. */
	send(...paths: string[]): void {
		this.socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`).join(''));
	}

	/** The responses that arrived whole. */
	get responses(): ReceivedResponse[] {
		const responses: ReceivedResponse[] = [];
		let rest = this._received;
		for (;;) {
			const headEnd = rest.indexOf('\r\n\r\n');
			if (headEnd < 0) {
				return responses;
			}
			const head = rest.slice(0, headEnd);
			const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
			const body = rest.slice(headEnd + 4, headEnd + 4 + length);
			if (body.length < length) {
				return responses;
			}
			responses.push({ status: Number(head.slice(9, 12)), closes: /connection: close/i.test(head), body });
			rest = rest.slice(headEnd + 4 + length);
		}
	}

	/** Bodies of the responses that arrived whole, without padding. */
	get bodies(): string[] {
		return this.responses.map(({ body }) => body.replace(/\.+$/, ''));
	}
}

/** Waits until a condition holds; throws after the timeout. */
export async function until(description: string, condition: () => boolean, timeoutMs = 5000): Promise<void> {
	const startedAt = performance.now();
	while (!condition()) {
		if (performance.now() - startedAt > timeoutMs) {
			throw new Error(`timed out: ${description}`);
		}
		await delay(2);
	}
}

/** Waits for a time. */
export function delay(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}
