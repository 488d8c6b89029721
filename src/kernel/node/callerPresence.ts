/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Tells whether anybody waits for the response to a request. */

import type { IncomingMessage } from 'node:http';
import { setTimeout } from 'node:timers/promises';
import type { Millis } from '../../base/clock.js';

/** The end of a connection that was held up together with a request is read within this time after it. */
const END_OF_CONNECTION_MS: Millis = 20;

/**
 * Whether the caller has closed its connection. What a partition or a stop of this process has held up arrives together: the
 * request and the end of its connection, which is read after it.
 */
export async function hasCallerLeft({ socket }: IncomingMessage): Promise<boolean> {
	await setTimeout(END_OF_CONNECTION_MS);
	return socket.destroyed || socket.readableEnded;
}
