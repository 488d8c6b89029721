/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Sends protocol messages to one replica; a replica that does not answer costs a bounded amount of memory. */

import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { AgreementMessage } from '../common/agreementTypes.js';
import { deliverMethod } from './agreementWire.js';

const MAX_CALLS_IN_FLIGHT = 8;
const MAX_PENDING_MESSAGES = 256;
const CALL_TIMEOUT_MS = 2000;

/** The queue towards one replica. Losing messages is allowed: the protocol sends them again. */
export class PeerSender {
	private _pending: AgreementMessage[] = [];
	private _inFlight = 0;

	/** @param address peer address of the replica */
	constructor(
		private readonly _wire: IPeerCalls,
		readonly address: string
	) {}

	/** Queues one message and sends it as soon as a call is free. */
	send(message: AgreementMessage): void {
		if (this._pending.length >= MAX_PENDING_MESSAGES) {
			this._pending.shift();
		}
		this._pending.push(message);
		this._flush();
	}

	private _flush(): void {
		if (this._inFlight >= MAX_CALLS_IN_FLIGHT || this._pending.length === 0) {
			return;
		}
		const messages = this._pending;
		this._pending = [];
		this._inFlight++;
		const done = (): void => {
			this._inFlight--;
			this._flush();
		};
		this._wire.call(this.address, deliverMethod, { messages }, CALL_TIMEOUT_MS).then(done, done);
	}
}
