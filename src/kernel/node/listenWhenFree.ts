/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Opens a listener although its address may still be taken for a while, as by an earlier process of the same instance. */

import type { AddressInfo, Server } from 'node:net';
import { type Millis, systemClock } from '../../base/clock.js';

const RETRY_INTERVAL_MS: Millis = 100;
/** After this long the address is taken by something else. */
const MAX_WAIT_MS: Millis = 30000;
/** That of Node.js. */
export const DEFAULT_MAX_UNACCEPTED = 511;

/**
 * Starts listening as soon as the address is free.
 * @param address IPv4 address and port; port 0 lets the operating system choose one
 * @param onError called with errors of the open listener, such as a connection that cannot be accepted
 * @param maxUnaccepted connections that may wait to be accepted; the operating system leaves further ones to try again
 * @returns the address with the actual port
 * @throws the error of the operating system where the address stays taken or cannot be used
 */
export async function listenWhenFree(
	server: Server,
	address: string,
	onError: (error: Error) => void,
	maxUnaccepted = DEFAULT_MAX_UNACCEPTED
): Promise<string> {
	const [host, port] = address.split(':') as [string, string];
	const giveUpAt = systemClock.now() + MAX_WAIT_MS;
	for (;;) {
		try {
			await listenOnce(server, Number(port), host, maxUnaccepted);
			break;
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE' || systemClock.now() > giveUpAt) {
				throw error;
			}
		}
		await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS));
	}
	server.on('error', onError);
	return `${host}:${(server.address() as AddressInfo).port}`;
}

function listenOnce(server: Server, port: number, host: string, backlog: number): Promise<void> {
	return new Promise((resolve, reject) => {
		const onListening = (): void => {
			server.removeListener('error', onFailure);
			resolve();
		};
		const onFailure = (error: Error): void => {
			server.removeListener('listening', onListening);
			reject(error);
		};
		server.once('listening', onListening);
		server.once('error', onFailure);
		server.listen(port, host, backlog);
	});
}
