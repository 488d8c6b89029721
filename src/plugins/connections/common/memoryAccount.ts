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

/** The account of one instance. */
export interface IMemoryAccount {
	/**
	 * Reserves bytes for an exchange.
	 * @param owner the caller's connection or team that the bytes are held for
	 * @returns undefined where the account has no room for them
	 */
	tryReserve(kind: HeldBytes, bytes: number, owner: string): IHeldMemory | undefined;
}

/** Service identifier of {@link IMemoryAccount}. */
export const IMemoryAccount = createServiceIdentifier<IMemoryAccount>('memoryAccount');
