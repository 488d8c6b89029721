/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Ends requests that were answered while their clients go on sending. */

import type { IncomingMessage } from 'node:http';

/** How long a client may go on sending after its response, so that it can read that before the connection is closed. */
const LINGER_MS = 1000;

/** Closes the connection of a request that was answered before its end, where the rest does not follow soon. */
export function closeUnlessComplete(request: IncomingMessage): void {
	if (!request.complete) {
		setTimeout(() => {
			if (!request.complete) {
				request.socket.destroy();
			}
		}, LINGER_MS);
	}
}
