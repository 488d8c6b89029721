/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Callers of a soak test. They reuse connections, fail over between entry instances and record each request. */

import { Agent, request as httpRequest } from 'node:http';
import type { PlatformTestSystem, Instance } from '../platform/platformTestSystem.js';
import type { CallerRecord, Observations } from './observations.js';

const DEADLINE_MS = 2000;
const CLIENT_TIMEOUT_MS = 3000;
const PAUSE_BETWEEN_REQUESTS_MS = 15;
const ORDER_FRACTION = 0.4;
const AFFINITY_KEY_COUNT = 40;

/** Runs callers concurrently; each sends one request at a time in a loop. */
export class SoakCallers {
	private readonly _agent = new Agent({ keepAlive: true });
	private _isRunning = true;
	private _sequence = 0;
	private readonly _loops: Promise<void>[] = [];

	constructor(
		private readonly _system: PlatformTestSystem,
		private readonly _observations: Observations
	) {}

	/** Starts `count` callers. */
	start(count: number): void {
		for (let i = 0; i < count; i++) {
			this._loops.push(this._runCaller(i));
		}
	}

	/** Sends one request outside the callers' loops; it is recorded like the others. */
	sendOnce(entry: Instance): Promise<CallerRecord> {
		return this._send(entry);
	}

	/** Stops the callers after their current requests. */
	async stop(): Promise<void> {
		this._isRunning = false;
		await Promise.all(this._loops);
		this._agent.destroy();
	}

	private async _runCaller(caller: number): Promise<void> {
		let entry = this._system.entries[caller % this._system.entries.length]!;
		while (this._isRunning) {
			const record = await this._send(entry);
			if (record.status === undefined) {
				entry = this._nextEntry(entry);
			}
			await new Promise(resolve => setTimeout(resolve, PAUSE_BETWEEN_REQUESTS_MS));
		}
	}

	private _nextEntry(current: Instance): Instance {
		const { entries } = this._system;
		return entries[(entries.indexOf(current) + 1) % entries.length]!;
	}

	private _send(entry: Instance): Promise<CallerRecord> {
		const isOrder = Math.random() < ORDER_FRACTION;
		const id = `soak-${++this._sequence}`;
		const record: CallerRecord = {
			id,
			method: isOrder ? 'POST' : 'GET',
			path: `/${isOrder ? 'order' : 'read'}/${this._sequence}`,
			entry: entry.ip,
			sentAt: performance.now(),
			endedAt: 0,
			isComplete: false
		};
		this._observations.requests.push(record);
		return new Promise(resolve => {
			const finish = (): void => {
				record.endedAt ||= performance.now();
				resolve(record);
			};
			const request = httpRequest(`${this._system.callerUrl(entry)}${record.path}`, {
				agent: this._agent,
				method: record.method,
				timeout: CLIENT_TIMEOUT_MS,
				headers: {
					Host: 'shop.example',
					'Request-Id': id,
					'Deadline-Ms': String(DEADLINE_MS),
					Cookie: `Affinity-Key=${this._sequence % AFFINITY_KEY_COUNT}`
				}
			});
			request.on('timeout', () => request.destroy());
			request.on('error', finish);
			request.on('close', finish);
			request.on('response', response => {
				const chunks: Buffer[] = [];
				record.status = response.statusCode;
				record.serverStamp = response.headers['server-stamp'] as string | undefined;
				response.on('data', (chunk: Buffer) => chunks.push(chunk));
				response.on('error', finish);
				response.on('end', () => {
					record.isComplete = response.complete;
					record.body = Buffer.concat(chunks).toString('utf8');
					finish();
				});
			});
			request.end(isOrder ? 'units' : undefined);
		});
	}
}
