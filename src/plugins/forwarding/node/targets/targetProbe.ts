/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Asks whether a target that broke a connection off is still there. */

import { connect } from 'node:net';
import type { Millis } from '../../../../base/clock.js';

/**
 * A target that has ended refuses a connection at once; the way there and back takes 70 ms between regions. One that says nothing
 * may be cut off, and is not taken to have ended.
 */
const ANSWER_MS: Millis = 500;

/** Tries of connections, one at a time for each target. */
export class TargetProbe {
	private readonly _asked = new Map<string, Promise<boolean>>();

	/**
	 * Whether nobody listens at a target's address any more.
	 * @param address IPv4 address and port
	 */
	hasEnded(targetId: string, address: string): Promise<boolean> {
		let asked = this._asked.get(targetId);
		if (!asked) {
			asked = isRefused(address).finally(() => this._asked.delete(targetId));
			this._asked.set(targetId, asked);
		}
		return asked;
	}
}

function isRefused(address: string): Promise<boolean> {
	const [host, port] = address.split(':') as [string, string];
	return new Promise(resolve => {
		const socket = connect({ host, port: Number(port) });
		const end = (hasEnded: boolean): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(hasEnded);
		};
		const timer = setTimeout(() => end(false), ANSWER_MS);
		socket.once('connect', () => end(false));
		socket.on('error', () => end(true));
	});
}
