/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Preloaded into a control process of a test system: its connections to other control instances go through the links of the test. */

import { Socket, type SocketConnectOpts } from 'node:net';
import { basename } from 'node:path';
import { linkAddress } from './peerLink.js';

/** Settings files have the address of their process as their name. */
const ownAddress = basename(process.argv.at(-1)!, '.ini');

const connectSocket = Socket.prototype.connect as (this: Socket, ...args: unknown[]) => Socket;

function redirected(options: SocketConnectOpts): SocketConnectOpts {
	const { host, port } = options as { host?: string; port?: number };
	const link = host === undefined ? undefined : linkAddress(ownAddress, host, Number(port));
	return link === undefined ? options : ({ ...options, host: link } as SocketConnectOpts);
}

Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
	if (Array.isArray(args[0])) {
		args[0][0] = redirected(args[0][0] as SocketConnectOpts);
	} else {
		args[0] = redirected(args[0] as SocketConnectOpts);
	}
	return connectSocket.apply(this, args);
} as typeof Socket.prototype.connect;
