/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Transport with low memory use and short start time: HTTP/1.1, unary calls only. */

import type { InstantiationService } from '../common/instantiationService.js';
import { IPeerCalls } from '../common/peerCalls.js';
import { HttpPeerCalls } from './httpPeerCalls.js';
import { IPeerRequests } from './peerRequests.js';

/** Registers HTTP/1.1 as the transport of a process. */
export function provideHttp(services: InstantiationService): void {
	const peerCalls = services.createInstance(HttpPeerCalls);
	services.set(IPeerCalls, peerCalls);
	services.set(IPeerRequests, peerCalls);
}
