/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Transport of the standard binaries: gRPC for unary calls and streams. */

import type { InstantiationService } from '../common/instantiationService.js';
import { IPeerCalls } from '../common/peerCalls.js';
import { GrpcPeerTransport, IPeerTransport } from './peerTransport.js';

/** Registers gRPC as the transport of a process. */
export function provideGrpc(services: InstantiationService): void {
	const transport = services.createInstance(GrpcPeerTransport);
	services.set(IPeerTransport, transport);
	services.set(IPeerCalls, transport);
}
