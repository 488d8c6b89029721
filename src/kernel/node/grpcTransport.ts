/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The transport of the product's own binaries: gRPC for calls and for streams. */

import type { InstantiationService } from '../common/instantiationService.js';
import { IPeerCalls } from '../common/peerCalls.js';
import { GrpcPeerWire, IPeerWire } from './peerWire.js';

/** Provides gRPC to a process. */
export function provideGrpc(services: InstantiationService): void {
	const wire = services.createInstance(GrpcPeerWire);
	services.set(IPeerWire, wire);
	services.set(IPeerCalls, wire);
}
