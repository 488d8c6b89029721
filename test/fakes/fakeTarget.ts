/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Fake target with slots, cold start, load shedding, injected failures and false reports, and a journal of the requests that it ran.
 *
 * Run as a separate process: `node fakeTarget.js '{"name":"t1",...}'`; prints `{"url":…}` when it listens.
 */

import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

/** Command-line argument of the process, as JSON. */
export interface FakeTargetOptions {
	readonly name: string;
	readonly service: string;
	readonly slots: number;
	/** Service time of requests without the query parameter `workMs`. */
	readonly workMs: number;
	/** For this time after the start, the service time is multiplied by `coldFactor`. */
	readonly coldMs: number;
	readonly coldFactor: number;
}

/** Behavior that can be changed at run time with `POST /_control`. */
export interface FakeTargetBehavior {
	/** Whether responses announce by a header that the target is shutting down. */
	leaving: boolean;
	/** Whether requests beyond the slots are rejected with status 503. */
	shedLoad: boolean;
	/** Fraction of requests answered with status 500, 0 to 1. */
	failRatio: number;
	/** Fraction of requests whose connection is closed without a response after they ran, 0 to 1. */
	cutRatio: number;
	/** Factor on the service time. */
	slowFactor: number;
	/** Value that `/_health` returns instead of the actual one. */
	health?: string;
	/** Value that `/_load` returns instead of the actual one. */
	load?: number;
	/** Age of the load that `/_load` returns. */
	loadLagMs: number;
}

/** One run of a request; times are Unix times in ms. */
export interface JournalEntry {
	readonly requestId: string;
	readonly orderKey: string;
	readonly group: string;
	readonly startedAt: number;
	endedAt?: number;
	outcome: 'running' | 'answered' | 'failed' | 'cut' | 'cancelled' | 'shed';
}

/** Response of `GET /_journal`. */
export interface Journal {
	readonly name: string;
	readonly runs: readonly JournalEntry[];
	/** Runs that started while all slots were in use. */
	readonly overSlots: number;
	/** Maximum number of concurrent runs. */
	readonly mostAtOnce: number;
}

const CHUNK_BYTES = 16 * 1024;
const LINE_WIDTH = 80;

class FakeTarget {
	private readonly _startedAt = Date.now();
	private readonly _runs: JournalEntry[] = [];
	private readonly _loadSamples: { at: number; active: number }[] = [];
	private _active = 0;
	private _overSlots = 0;
	private _maxActive = 0;
	private readonly _behavior: FakeTargetBehavior = {
		leaving: false,
		shedLoad: false,
		failRatio: 0,
		cutRatio: 0,
		slowFactor: 1,
		loadLagMs: 0
	};

	constructor(private readonly _options: FakeTargetOptions) {}

	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url!, 'http://target');
		const body = await readAll(request);
		switch (url.pathname) {
			case '/_journal':
				return sendJson(response, this._journal());
			case '/_control':
				Object.assign(this._behavior, JSON.parse(body.toString()));
				return sendJson(response, this._behavior);
			case '/_health':
				return sendJson(response, { health: this._behavior.health ?? 'ok' });
			case '/_load':
				return sendJson(response, { load: this._behavior.load ?? this._laggingLoad() });
			default:
				return this._run(request, response, url, body);
		}
	}

	private _journal(): Journal {
		const { _overSlots: overSlots, _maxActive: mostAtOnce } = this;
		return { name: this._options.name, runs: this._runs, overSlots, mostAtOnce };
	}

	private _laggingLoad(): number {
		const until = Date.now() - this._behavior.loadLagMs;
		const latest = this._loadSamples.filter(sample => sample.at <= until).at(-1);
		return (latest?.active ?? 0) / this._options.slots;
	}

	private async _run(request: IncomingMessage, response: ServerResponse, url: URL, body: Buffer): Promise<void> {
		const entry: JournalEntry = {
			requestId: headerValue(request, 'shelffield-request-id'),
			orderKey: headerValue(request, 'shelffield-order-key'),
			group: headerValue(request, 'shelffield-group'),
			startedAt: Date.now(),
			outcome: 'running'
		};
		if (entry.requestId !== undefined) {
			response.setHeader('Shelffield-Request-Id', entry.requestId);
		}
		if (this._behavior.leaving) {
			response.setHeader('Target-Leaving', '1');
		}
		if (this._behavior.shedLoad && this._active >= this._options.slots) {
			response.writeHead(503, { 'Target-Shed': '1', 'Retry-After': '1' }).end();
			return;
		}
		this._runs.push(entry);
		this._recordStart();
		const cancelled = new AbortController();
		response.once('close', () => !response.writableFinished && cancelled.abort());
		try {
			await this._work(request, response, url, body, entry, cancelled.signal);
		} catch {
			entry.outcome = 'cancelled';
		} finally {
			entry.endedAt = Date.now();
			this._recordEnd();
		}
	}

	private _recordStart(): void {
		this._active++;
		this._overSlots += this._active > this._options.slots ? 1 : 0;
		this._maxActive = Math.max(this._maxActive, this._active);
		this._recordLoad();
	}

	private _recordEnd(): void {
		this._active--;
		this._recordLoad();
	}

	private _recordLoad(): void {
		this._loadSamples.push({ at: Date.now(), active: this._active });
		this._loadSamples.splice(0, this._loadSamples.length - 1000);
	}

	private async _work(
		request: IncomingMessage,
		response: ServerResponse,
		url: URL,
		body: Buffer,
		entry: JournalEntry,
		signal: AbortSignal
	): Promise<void> {
		const deadlineMs = Number(headerValue(request, 'shelffield-deadline-ms') || Number.MAX_SAFE_INTEGER);
		const requestedMs = Number(url.searchParams.get('workMs') ?? this._options.workMs);
		const workMs = Math.min(requestedMs * this._workFactor(), deadlineMs);
		const bytes = Number(url.searchParams.get('bytes') ?? 0);
		if (bytes > 0) {
			if (url.searchParams.has('unframed')) {
				endWithConnection(response);
			}
			await streamBytes(response, bytes, workMs, signal, url.searchParams.has('breakOff'));
			entry.outcome = 'answered';
			return;
		}
		if (workMs > 0) {
			await delay(workMs, undefined, { signal });
		}
		if (Math.random() < this._behavior.cutRatio) {
			entry.outcome = 'cut';
			response.destroy();
			return;
		}
		if (Math.random() < this._behavior.failRatio) {
			entry.outcome = 'failed';
			response.writeHead(500).end('failed');
			return;
		}
		entry.outcome = 'answered';
		sendJson(response, {
			requestId: entry.requestId,
			target: this._options.name,
			service: this._options.service,
			method: request.method,
			path: url.pathname + url.search,
			bodySha256: createHash('sha256').update(body).digest('hex'),
			orderKey: entry.orderKey
		});
	}

	private _workFactor(): number {
		const isCold = Date.now() - this._startedAt < this._options.coldMs;
		// Requests beyond the slots share the capacity of the slots.
		const contention = Math.max(1, this._active / this._options.slots);
		return this._behavior.slowFactor * (isCold ? this._options.coldFactor : 1) * contention;
	}
}

/** Has a response go out without a length and without chunks. */
function endWithConnection(response: ServerResponse): void {
	response.useChunkedEncodingByDefault = false;
	response.setHeader('Connection', 'close');
}

/** Streams the given number of bytes over `workMs`, followed by their SHA-256 as a hexadecimal digest unless `breaksOff`. */
async function streamBytes(
	response: ServerResponse,
	bytes: number,
	workMs: number,
	signal: AbortSignal,
	breaksOff: boolean
): Promise<void> {
	const hash = createHash('sha256');
	const chunks = Math.max(1, Math.ceil(bytes / CHUNK_BYTES));
	const line = `${'x'.repeat(LINE_WIDTH - 1)}\n`;
	response.writeHead(200, { 'Content-Type': 'text/plain' });
	for (let i = 0, left = bytes; i < chunks; i++, left -= CHUNK_BYTES) {
		const text = line.repeat(Math.ceil(CHUNK_BYTES / LINE_WIDTH)).slice(0, Math.min(left, CHUNK_BYTES) - 1) + '\n';
		hash.update(text);
		if (!response.write(text)) {
			await new Promise(resolve => {
				response.once('drain', resolve);
				response.once('close', resolve);
			});
		}
		await delay(workMs / chunks, undefined, { signal });
	}
	if (breaksOff) {
		response.destroy();
		return;
	}
	response.end(hash.digest('hex'));
}

function headerValue(request: IncomingMessage, name: string): string {
	return String(request.headers[name] ?? '');
}

async function readAll(request: IncomingMessage): Promise<Buffer> {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}
	return Buffer.concat(chunks);
}

function sendJson(response: ServerResponse, body: unknown): void {
	const text = JSON.stringify(body);
	response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
	response.end(text);
}

const target = new FakeTarget(JSON.parse(process.argv[2]!) as FakeTargetOptions);
const server = createServer((request, response) => {
	target.handle(request, response).catch(() => response.destroy());
});
server.keepAliveTimeout = 60000;
server.listen(0, '127.0.0.1', () => {
	const { port } = server.address() as AddressInfo;
	process.stdout.write(`${JSON.stringify({ url: `http://127.0.0.1:${port}` })}\n`);
});
process.on('disconnect', () => process.exit(0));
