/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Account of the memory that an instance holds on behalf of callers and targets. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';

/** What held bytes are; also a metric label. */
export enum HeldBytes {
	/** Body of a request, read from the caller and not yet written to a target. */
	RequestBody = 'request-body',
	/** Body of a response, read from the target and not yet read by the caller. */
	ResponseBody = 'response-body'
}

/** Bytes that are held for one exchange. */
export interface IHeldMemory {
	/** Changes the number of held bytes; `release` sets it to 0. */
	resize(bytes: number): void;
	release(): void;
}

/** What the fill of the account calls for; each level includes those before it. */
export enum MemoryPressure {
	None = 0,
	/** No request is taken up behind another of its connection, so that nothing more is read from targets for them. */
	HoldBack = 1,
	/** No further request is read from callers that have a response waiting; other new requests are refused. */
	Refuse = 2,
	/** Connections are closed whose callers do not read, those with the most bytes first. */
	Close = 3
}

/** The account of one instance. */
export interface IMemoryAccount {
	readonly pressure: MemoryPressure;
	/** Held bytes of a kind. */
	heldBytes(kind: HeldBytes): number;
	/**
	 * Reserves bytes for a response or a body that is yet to come.
	 * @param owner the caller's connection or team that the bytes are held for
	 * @returns undefined where the account has no room for them, or the owner holds its part
	 */
	tryReserve(kind: HeldBytes, bytes: number, owner: string): IHeldMemory | undefined;
	/** Counts bytes that are held already, from 0; they may exceed the limit. */
	hold(kind: HeldBytes, owner: string): IHeldMemory;
}

/** Service identifier of {@link IMemoryAccount}. */
export const IMemoryAccount = createServiceIdentifier<IMemoryAccount>('memoryAccount');
