/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Transport of the standard binaries: gRPC for unary calls and streams. */

import type { InstantiationService } from '../common/instantiationService.js';
import { IPeerCalls } from '../common/peerCalls.js';
import { GrpcPeerWire, IPeerWire } from './peerWire.js';

/** Registers gRPC as the transport of a process. */
export function provideGrpc(services: InstantiationService): void {
	const transport = services.createInstance(GrpcPeerWire);
	services.set(IPeerWire, transport);
	services.set(IPeerCalls, transport);
}
