/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Closes the connections of an HTTP server on which nothing is under way, before a planned stop. */

import type { Server } from 'node:http';

/** The idle connections of one server. */
export class IdleConnections {
	constructor(private readonly _server: Server) {}

	/** Closes those on which no answer is on its way. */
	close(): void {
		this._server.closeIdleConnections();
	}
}
