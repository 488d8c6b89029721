/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Senders of protocol messages to the other replicas, one per replica. */

import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { AgreementMessage, MemberId } from '../common/agreementTypes.js';
import { PeerSender } from './peerSender.js';

/** Sends messages to replicas at their current addresses. */
export class PeerSenders {
	private readonly _senders = new Map<MemberId, PeerSender>();

	/** @param _addressOf peer address of a replica; undefined if it is not known */
	constructor(
		private readonly _peerCalls: IPeerCalls,
		private readonly _addressOf: (id: MemberId) => string | undefined
	) {}

	/** Sends a message; drops it if the address of its recipient is not known. */
	send(message: AgreementMessage): void {
		const address = this._addressOf(message.to);
		if (!address) {
			return;
		}
		let sender = this._senders.get(message.to);
		if (!sender || sender.address !== address) {
			sender = new PeerSender(this._peerCalls, address);
			this._senders.set(message.to, sender);
		}
		sender.send(message);
	}
}
