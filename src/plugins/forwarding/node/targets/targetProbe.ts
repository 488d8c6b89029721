/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Checks whether a target that closed a connection unexpectedly is still running. */

import { request as httpRequest } from 'node:http';
import { connect } from 'node:net';
import type { Millis } from '../../../../base/clock.js';

/**
 * If a target has exited, its host refuses connections within one round trip, about 70 ms between regions. A target that
 * doesn't respond within this time may be partitioned, and is not considered exited.
 */
const CONNECT_TIMEOUT_MS: Millis = 500;

/** Probes targets by opening a connection; concurrent probes of the same target are combined. */
export class TargetProbe {
	private readonly _pending = new Map<string, Promise<boolean>>();

	/**
	 * Whether no process listens at a target's address any more.
	 * @param address IPv4 address and port
	 */
	refusesConnections(targetId: string, address: string): Promise<boolean> {
		let probe = this._pending.get(targetId);
		if (!probe) {
			probe = isRefused(address).finally(() => this._pending.delete(targetId));
			this._pending.set(targetId, probe);
		}
		return probe;
	}
}

/** Whether a connection to an address is refused or reset; one that is not established within the timeout is not. */
async function isRefused(address: string): Promise<boolean> {
	return (await tryConnect(address, CONNECT_TIMEOUT_MS)) === 'failed';
}

/** How a target is checked. */
export interface HealthCheckOptions {
	readonly healthPath: string;
	readonly connectTimeoutMs: Millis;
	/** Time for the response after the connection is established. */
	readonly responseTimeoutMs: Millis;
}

/** Whether a target responds to a health check, whatever the response is. An accepted connection alone shows nothing. */
export function respondsToHealthCheck(address: string, options: HealthCheckOptions): Promise<boolean> {
	const { healthPath, connectTimeoutMs, responseTimeoutMs } = options;
	const [host, port] = address.split(':') as [string, string];
	return new Promise(resolve => {
		const request = httpRequest({ host, port, path: healthPath, agent: false });
		const finish = (hasResponded: boolean): void => {
			clearTimeout(timer);
			request.destroy();
			resolve(hasResponded);
		};
		const timeOut = (): void => finish(false);
		let timer = setTimeout(timeOut, connectTimeoutMs);
		request.once('socket', socket =>
			socket.once('connect', () => {
				clearTimeout(timer);
				timer = setTimeout(timeOut, responseTimeoutMs);
			})
		);
		request.once('response', () => finish(true));
		request.on('error', timeOut);
		request.end();
	});
}

/** Opens a connection and closes it again. */
function tryConnect(address: string, timeoutMs: Millis): Promise<'connected' | 'failed' | 'timed-out'> {
	const [host, port] = address.split(':') as [string, string];
	return new Promise(resolve => {
		const socket = connect({ host, port: Number(port) });
		const finish = (result: 'connected' | 'failed' | 'timed-out'): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(result);
		};
		const timer = setTimeout(() => finish('timed-out'), timeoutMs);
		socket.once('connect', () => finish('connected'));
		socket.on('error', () => finish('failed'));
	});
}
