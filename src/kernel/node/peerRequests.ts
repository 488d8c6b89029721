/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** HTTP requests between processes whose bodies and responses are streamed, beside the unary calls. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServiceIdentifier } from '../common/serviceIdentifier.js';

/** Handles a request of a peer and ends its response. */
export type PeerRequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Serves HTTP requests at the peer address. */
export interface IPeerRequests {
	/** Registers the handler of all paths that begin with a prefix; must be called before the peer listener opens. */
	handleRequests(pathPrefix: string, handler: PeerRequestHandler): void;
}

/** Identifier of the service for streamed peer requests. */
export const IPeerRequests = createServiceIdentifier<IPeerRequests>('peerRequests');
