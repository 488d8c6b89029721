/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Checks whether a target that closed a connection unexpectedly is still running. */

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

function isRefused(address: string): Promise<boolean> {
	const [host, port] = address.split(':') as [string, string];
	return new Promise(resolve => {
		const socket = connect({ host, port: Number(port) });
		const finish = (isConnectionRefused: boolean): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isConnectionRefused);
		};
		const timer = setTimeout(() => finish(false), CONNECT_TIMEOUT_MS);
		socket.once('connect', () => finish(false));
		socket.on('error', () => finish(true));
	});
}
