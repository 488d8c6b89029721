/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Spillover: passing a request to another entry instance when this one has no free slot. */

import type { IncomingHttpHeaders } from 'node:http';
import { defineStream } from '../../../kernel/common/peerMethods.js';
import type { RefusalReason, Verdict } from '../../../base/verdict.js';
import type { DirectoryEntry, RegionLoads } from '../../membership/common/entryReport.js';

/** Message that passes a request to another entry instance. */
export interface SpillRequest {
	readonly requestId: string;
	readonly service: string;
	readonly group: string;
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Time left until the deadline, in milliseconds. */
	readonly leftMs: number;
	readonly isDeadlineStrict: boolean;
	readonly orderKey?: string;
	readonly isRepeatable: boolean;
	/** Whether the request may be queued at the receiving instance; otherwise it is refused if no slot is free. */
	readonly mayQueue: boolean;
}

/** Messages of the response stream, in order: `start`, any number of `chunk`, `end`; `refused` takes the place of the rest. */
export type SpillResponse =
	| {
			readonly type: 'start';
			readonly status: number;
			readonly headers: readonly string[];
			/** Absent for a response with a length or chunks. */
			readonly endsWithConnection?: boolean;
	  }
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

/** Streaming call that passes a request to another entry instance and returns its response. */
export const spillMethod = defineStream<SpillRequest, SpillResponse>('dispatch', 'Spill');

/** Instances that a request can be passed to. */
export interface SpillPlan {
	/** Instances with free slots, best first. */
	readonly freeSlotCandidates: readonly DirectoryEntry[];
	/**
	 * Instances that may queue the request, best first; used when this instance has no usable slots. Instances without known
	 * slots come last: the load reports lag, so these may have slots by now.
	 */
	readonly queueCandidates: readonly DirectoryEntry[];
}

/** Limits the round trips to instances without a free slot; the request can still be queued at this instance. */
const MAX_FREE_SLOT_CANDIDATES = 2;
/** Higher than the limit for free slots, since the request is refused if none of these instances accepts it. */
const MAX_QUEUE_CANDIDATES = 5;

/**
 * Selects other instances of the same region, at random with preference for those with many slots.
 * @param self identity of this instance
 * @param random returns a number in [0, 1); randomization keeps instances with the same load reports from all selecting the
 * same instance
 */
export function planSpill(
	service: string,
	self: { readonly instance: string; readonly hall: string; readonly region: string },
	entries: readonly DirectoryEntry[],
	loads: RegionLoads | undefined,
	random: () => number
): SpillPlan {
	const serviceLoads = loads?.services.find(item => item.service === service);
	const candidates = entries
		.filter(entry => entry.identity.instance !== self.instance && entry.identity.region === self.region)
		.map(entry => {
			const index = serviceLoads?.instances.indexOf(entry.identity.instance) ?? -1;
			const slots = serviceLoads?.slots[index] ?? 0;
			const free = slots - (serviceLoads?.used[index] ?? 0);
			return { entry, slots, free, score: free * random() };
		});
	const withFree = candidates.filter(item => item.free > 0).sort((a, b) => b.score - a.score);
	const withSlots = candidates.filter(item => item.slots > 0).sort((a, b) => b.slots * random() - a.slots * random());
	const withoutSlots = candidates.filter(item => item.slots === 0);
	return {
		freeSlotCandidates: withFree.slice(0, MAX_FREE_SLOT_CANDIDATES).map(item => item.entry),
		queueCandidates: [...withSlots, ...withoutSlots].slice(0, MAX_QUEUE_CANDIDATES).map(item => item.entry)
	};
}
