/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Callers of a soak: they keep connections open, look the entry instances up, and write down what they saw. */

import { Agent, request as httpRequest } from 'node:http';
import type { DiscoveredSystem, Instance } from '../platform/discoveredSystem.js';
import type { CallerRecord, Observations } from './observations.js';

const DEADLINE_MS = 2000;
const GIVE_UP_MS = 3000;
const PAUSE_MS = 15;
const ORDER_PART = 0.4;
const OBJECTS = 40;

/** One caller after the other asks in a loop of its own. */
export class SoakCallers {
	private readonly _agent = new Agent({ keepAlive: true });
	private _isRunning = true;
	private _sequence = 0;
	private readonly _loops: Promise<void>[] = [];

	constructor(
		private readonly _system: DiscoveredSystem,
		private readonly _seen: Observations
	) {}

	/** Starts callers. */
	start(count: number): void {
		for (let i = 0; i < count; i++) {
			this._loops.push(this._run(i));
		}
	}

	/** One request that is written down like the others. */
	askOnce(entry: Instance): Promise<CallerRecord> {
		return this._ask(entry);
	}

	/** Ends the callers after their current request. */
	async stop(): Promise<void> {
		this._isRunning = false;
		await Promise.all(this._loops);
		this._agent.destroy();
	}

	private async _run(caller: number): Promise<void> {
		let entry = this._system.entries[caller % this._system.entries.length]!;
		while (this._isRunning) {
			const record = await this._ask(entry);
			if (record.status === undefined) {
				entry = this._other(entry);
			}
			await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
		}
	}

	private _other(entry: Instance): Instance {
		const { entries } = this._system;
		return entries[(entries.indexOf(entry) + 1) % entries.length]!;
	}

	private _ask(entry: Instance): Promise<CallerRecord> {
		const isOrder = Math.random() < ORDER_PART;
		const id = `soak-${++this._sequence}`;
		const record: CallerRecord = {
			id,
			method: isOrder ? 'POST' : 'GET',
			path: `/${isOrder ? 'order' : 'read'}/${this._sequence}`,
			entry: entry.ip,
			sentAt: performance.now(),
			endedAt: 0,
			isWhole: false
		};
		this._seen.requests.push(record);
		return new Promise(resolve => {
			const done = (): void => {
				record.endedAt ||= performance.now();
				resolve(record);
			};
			const request = httpRequest(`${this._system.frontUrl(entry)}${record.path}`, {
				agent: this._agent,
				method: record.method,
				timeout: GIVE_UP_MS,
				headers: {
					Host: 'shop.example',
					'Request-Id': id,
					'Deadline-Ms': String(DEADLINE_MS),
					Cookie: `Affinity-Key=${this._sequence % OBJECTS}`
				}
			});
			request.on('timeout', () => request.destroy());
			request.on('error', done);
			request.on('close', done);
			request.on('response', response => {
				const pieces: Buffer[] = [];
				record.status = response.statusCode;
				record.stamp = response.headers['server-stamp'] as string | undefined;
				response.on('data', (piece: Buffer) => pieces.push(piece));
				response.on('error', done);
				response.on('end', () => {
					record.isWhole = response.complete;
					record.body = Buffer.concat(pieces).toString('utf8');
					done();
				});
			});
			request.end(isOrder ? 'units' : undefined);
		});
	}
}
