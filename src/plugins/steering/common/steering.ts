/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Service interface for look-ups at an entry instance. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { RankedEntry } from './entryRanking.js';

/** Result of a look-up. */
export interface LookupResult {
	/** Configuration revision in force at this instance. */
	readonly revision: number;
	/** How long callers may cache the result. */
	readonly ttlSeconds: number;
	/** Available entry instances, best first. */
	readonly entries: readonly RankedEntry[];
}

/** Selects entry instances for clients. */
export interface ISteering {
	/**
	 * Ranks the entry instances for a client; undefined when this instance has no usable configuration.
	 * @param client IPv4 address of the client
	 */
	lookUp(service: string, group: string, client: string): LookupResult | undefined;
	/** How long callers may cache the result of a look-up, in milliseconds. */
	readonly lookupTtlMs: number;
}

/** Service identifier of the steering service. */
export const ISteering = createServiceIdentifier<ISteering>('steering');
