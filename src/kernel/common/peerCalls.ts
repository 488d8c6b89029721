/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Unary calls between the processes of the system, independent of the transport. */

import type { UnaryMethod } from './peerMethods.js';
import { createServiceIdentifier } from './serviceIdentifier.js';

/** Serves and makes unary calls. */
export interface IPeerCalls {
	/** Registers the handler of a unary method; must be called before {@link listen}. */
	handleUnary<Q, S>(method: UnaryMethod<Q, S>, handler: (request: Q) => Promise<S>): void;
	/** Opens the peer listener; resolves to its address with the actual port. */
	listen(): Promise<string>;
	/** Calls a peer; rejects after `timeoutMs`, when the connection is lost or when the handler fails. */
	call<Q, S>(address: string, method: UnaryMethod<Q, S>, request: Q, timeoutMs: number): Promise<S>;
}

/** Identifier of the peer call service. */
export const IPeerCalls = createServiceIdentifier<IPeerCalls>('peerCalls');
