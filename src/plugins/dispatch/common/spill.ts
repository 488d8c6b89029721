/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Handing a request to another entry instance, which owns targets with free slots. */

import type { IncomingHttpHeaders } from 'node:http';
import { defineStream } from '../../../kernel/common/peerMethods.js';
import type { RefusalReason, Verdict } from '../../../base/verdict.js';
import type { DirectoryEntry, RegionLoads } from '../../membership/common/entryReport.js';

/** The request, as it is handed on. */
export interface SpillRequest {
	readonly requestId: string;
	readonly service: string;
	readonly group: string;
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Time left, in milliseconds. */
	readonly leftMs: number;
	readonly isDeadlineStrict: boolean;
	readonly orderKey?: string;
	readonly isRepeatable: boolean;
	/** Whether it may wait in the owner's queue; otherwise it needs a free slot at once. */
	readonly mayQueue: boolean;
}

/** A piece of the answer. */
export type SpillAnswer =
	| { readonly type: 'start'; readonly status: number; readonly headers: readonly string[] }
	| { readonly type: 'chunk'; readonly bytes: Uint8Array }
	| { readonly type: 'end'; readonly target: string }
	| {
			readonly type: 'refused';
			readonly verdict: Verdict;
			readonly reason: RefusalReason;
			readonly status: number;
			readonly message: string;
			readonly retryAfterMs?: number;
	  };

/** Hands a request on. */
export const spillMethod = defineStream<SpillRequest, SpillAnswer>('dispatch', 'Spill');

/** Where a request may be handed on to, and how. */
export interface SpillPlan {
	/** Instances to try for a free slot, best first. */
	readonly forFreeSlot: readonly DirectoryEntry[];
	/**
	 * Instances in whose queue it may wait, best first; for an instance without targets of its own. Those of which no slot
	 * is known come last: what is known lags, and a refusal by one of them costs less than a refusal of the request.
	 */
	readonly forQueue: readonly DirectoryEntry[];
}

/** Instances asked for a free slot; each one that has none costs a round trip, and the queue here is the way out. */
const MAX_FREE_SLOT_TRIES = 2;
/** Instances asked to let a request wait; it has no other way out, and what is known of their slots lags. */
const MAX_QUEUE_TRIES = 5;

/**
 * Chooses instances of the same region for a request: the own data hall first, then those with the most free slots.
 * @param self name and hall of this instance
 * @param random in [0, 1): spreads requests that see the same directory
 */
export function planSpill(
	service: string,
	self: { readonly instance: string; readonly hall: string; readonly region: string },
	entries: readonly DirectoryEntry[],
	loads: RegionLoads | undefined,
	random: () => number
): SpillPlan {
	const columns = loads?.services.find(item => item.service === service);
	const scored = entries
		.filter(entry => entry.identity.instance !== self.instance && entry.identity.region === self.region)
		.map(entry => {
			const row = columns?.instances.indexOf(entry.identity.instance) ?? -1;
			const slots = columns?.slots[row] ?? 0;
			const free = slots - (columns?.used[row] ?? 0);
			return { entry, slots, free, order: free * random() };
		});
	const withFree = scored.filter(item => item.free > 0).sort((a, b) => b.order - a.order);
	const withSlots = scored.filter(item => item.slots > 0).sort((a, b) => b.slots * random() - a.slots * random());
	const unknown = scored.filter(item => item.slots === 0);
	return {
		forFreeSlot: withFree.slice(0, MAX_FREE_SLOT_TRIES).map(item => item.entry),
		forQueue: [...withSlots, ...unknown].slice(0, MAX_QUEUE_TRIES).map(item => item.entry)
	};
}
