/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The transport for machines on which memory and start time are dear: HTTP/2 of Node.js, unary calls only. */

import type { InstantiationService } from '../common/instantiationService.js';
import { IPeerCalls } from '../common/peerCalls.js';
import { Http2PeerCalls } from './http2PeerCalls.js';

/** Provides calls over HTTP/2 to a process. */
export function provideHttp2(services: InstantiationService): void {
	services.set(IPeerCalls, services.createInstance(Http2PeerCalls));
}
