/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The transport for machines on which memory and start time are dear: HTTP/1.1 of Node.js, unary calls only. */

import type { InstantiationService } from '../common/instantiationService.js';
import { IPeerCalls } from '../common/peerCalls.js';
import { HttpPeerCalls } from './httpPeerCalls.js';

/** Provides calls over HTTP to a process. */
export function provideHttp(services: InstantiationService): void {
	services.set(IPeerCalls, services.createInstance(HttpPeerCalls));
}
