/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Sends protocol messages to a replica, with bounded memory if it does not respond. */

import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { AgreementMessage } from '../common/agreementTypes.js';
import { deliverMethod } from './agreementWire.js';

const MAX_CALLS_IN_FLIGHT = 8;
const MAX_PENDING_MESSAGES = 256;
const CALL_TIMEOUT_MS = 2000;

/**
 * Queue of messages to a replica. Batches may be lost or overtake each other, and the oldest messages are dropped if the
 * queue is full: the protocol tolerates both.
 */
export class PeerSender {
	private _pending: AgreementMessage[] = [];
	private _inFlight = 0;

	/** @param address peer address of the replica */
	constructor(
		private readonly _peerCalls: IPeerCalls,
		readonly address: string
	) {}

	/** Queues a message; it is sent as soon as fewer than the maximum number of calls are in flight. */
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
		const onSettled = (): void => {
			this._inFlight--;
			this._flush();
		};
		this._peerCalls.call(this.address, deliverMethod, { messages }, CALL_TIMEOUT_MS).then(onSettled, onSettled);
	}
}
