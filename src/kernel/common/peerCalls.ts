/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Unary calls between the processes of the system, whatever transport carries them. */

import type { UnaryMethod } from './peerMethods.js';
import { createServiceIdentifier } from './serviceIdentifier.js';

/** Accepts and makes unary calls. */
export interface IPeerCalls {
	/** Registers the handler of a unary method; only before {@link listen}. */
	handleUnary<Q, S>(method: UnaryMethod<Q, S>, handler: (request: Q) => Promise<S>): void;
	/** Opens the peer listener; returns its address with the port in use. */
	listen(): Promise<string>;
	/** Calls a peer; rejects after `timeoutMs` or on a lost connection. */
	call<Q, S>(address: string, method: UnaryMethod<Q, S>, request: Q, timeoutMs: number): Promise<S>;
}

/** Identifier of the calls between processes. */
export const IPeerCalls = createServiceIdentifier<IPeerCalls>('peerCalls');
