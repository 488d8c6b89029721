/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A request that another entry instance relays to this one, in place of one on a caller's connection. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Millis } from '../../../../base/clock.js';
import type { ICallerRequest } from '../../../connections/common/callerConnections.js';
import { RELAY_UNFRAMED_HEADER } from '../../common/relayHeaders.js';

/** One relayed request and its response. */
export class RelayedRequest implements ICallerRequest {
	readonly hasRoom = true;

	constructor(
		readonly request: IncomingMessage,
		readonly response: ServerResponse,
		readonly arrivedAt: Millis
	) {}

	get closesConnection(): boolean {
		return !this.response.shouldKeepAlive;
	}

	tryCloseConnection(): boolean {
		this.response.shouldKeepAlive = false;
		return true;
	}

	/** The chunks of the relayed response tell its end from a connection that breaks off. */
	tryBeginUnframed(): boolean {
		this.response.setHeader(RELAY_UNFRAMED_HEADER, '1');
		return true;
	}

	abort(withReset: boolean): void {
		const { socket } = this.response;
		if (withReset) {
			socket?.resetAndDestroy();
		} else {
			socket?.destroy();
		}
	}

	setCloseHandler(callback: (isComplete: boolean) => void): void {
		this.response.once('close', () => callback(this.response.writableFinished));
	}
}
