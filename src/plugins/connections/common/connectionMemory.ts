/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What one connection of a caller holds of the memory account. */

import { HeldBytes, type IHeldMemory, type IMemoryAccount, MemoryPressure } from './memoryAccount.js';
import { ResponseSizeEstimate } from './responseSizeEstimate.js';

/** Held for each request that runs, beside its response: the objects of the request and of its connection to a target. */
const REQUEST_BYTES = 8 * 1024;

/** The bytes of one connection. */
export class ConnectionMemory {
	/** Data for the caller that has no reservation. */
	private readonly _responses: IHeldMemory;
	/** Data of the caller that no target has got. */
	private readonly _requests: IHeldMemory;
	private readonly _responseSize = new ResponseSizeEstimate();

	/** @param _owner the connection, which reservations are for where no team is known */
	constructor(
		private readonly _account: IMemoryAccount,
		private readonly _owner: string
	) {
		this._responses = _account.hold(HeldBytes.ResponseBody, _owner);
		this._requests = _account.hold(HeldBytes.RequestBody, _owner);
	}

	/** Whether the account has memory for a further response. */
	get hasRoom(): boolean {
		return this._account.pressure < MemoryPressure.Refuse;
	}

	/** @returns undefined where a further response has to wait for those before it */
	tryReserveResponse(owner: string | undefined): IHeldMemory | undefined {
		const bytes = REQUEST_BYTES + this._responseSize.bytes;
		return this._account.tryReserve(HeldBytes.ResponseBody, bytes, owner ?? this._owner);
	}

	/**
	 * Records the end of a response.
	 * @param sentBytes bytes that the connection has sent so far
	 */
	recordResponse(sentBytes: number): void {
		this._responseSize.recordResponse(sentBytes);
	}

	/** Sets what is held without a reservation. */
	update(requestBytes: number, responseBytes: number): void {
		this._requests.resize(requestBytes);
		this._responses.resize(responseBytes);
	}

	/** Holds nothing more without a reservation. */
	release(): void {
		this._requests.release();
		this._responses.release();
	}
}
