/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Queue of requests that wait for a slot: weighted fair queueing between groups, earliest deadline first within a group.
 *
 * Start-time fair queueing: each group has a virtual time that grows by 1/weight with each request that is dequeued; the
 * group with the lowest virtual time is served next. A group that was idle resumes at the current virtual time: it gets
 * its share at once, but no credit for the time during which it was idle.
 *
 * Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing" (SIGCOMM 1996).
 */

import type { Queue, QueueAddOptions } from 'p-queue';
import TinyQueue from 'tinyqueue';
import type { Millis } from '../../../base/clock.js';

/** Properties of a request that determine its place in the queue. */
export interface FairQueueOptions extends QueueAddOptions {
	readonly group: string;
	/** Time on the monotonic clock. */
	readonly deadline: Millis;
	/** Whether the request was cancelled while queued; it is then dequeued without counting against its group. */
	readonly isAbandoned: () => boolean;
}

/** Task type of `p-queue`. */
type RunFunction = () => Promise<unknown>;

interface QueuedRequest extends FairQueueOptions {
	readonly run: RunFunction;
	/** Breaks ties between equal deadlines: first in, first out. */
	readonly sequenceNumber: number;
}

interface GroupQueue {
	readonly requests: TinyQueue<QueuedRequest>;
	virtualTime: number;
}

/** Queue implementation for `p-queue`. */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
	private readonly _groups = new Map<string, GroupQueue>();
	private _virtualTime = 0;
	private _nextSequenceNumber = 0;
	private _size = 0;

	/** @param _weightOf returns the weight of a group, greater than 0 */
	constructor(private readonly _weightOf: (group: string) => number) {}

	/** Number of queued requests, including abandoned ones that are not dequeued yet. */
	get size(): number {
		return this._size;
	}

	/** Number of queued requests of a group, including abandoned ones that are not dequeued yet. */
	groupSize(group: string): number {
		return this._groups.get(group)?.requests.length ?? 0;
	}

	/** Total weight of the groups with queued requests, and of `group` even if it has none. */
	totalActiveWeight(group: string): number {
		let weight = 0;
		for (const [name, queue] of this._groups) {
			if (queue.requests.length > 0 || name === group) {
				weight += this._weightOf(name);
			}
		}
		return weight > 0 ? weight : this._weightOf(group);
	}

	enqueue(run: RunFunction, options?: Partial<FairQueueOptions>): void {
		const { group, deadline, isAbandoned } = options as FairQueueOptions;
		let queue = this._groups.get(group);
		if (!queue) {
			queue = { requests: new TinyQueue<QueuedRequest>([], compareRequests), virtualTime: this._virtualTime };
			this._groups.set(group, queue);
		}
		if (queue.requests.length === 0) {
			queue.virtualTime = Math.max(queue.virtualTime, this._virtualTime);
		}
		queue.requests.push({ run, group, deadline, isAbandoned, sequenceNumber: this._nextSequenceNumber++ });
		this._size++;
	}

	dequeue(): RunFunction | undefined {
		const next = this._nextGroup();
		if (!next) {
			return undefined;
		}
		const [group, queue] = next;
		const request = queue.requests.pop()!;
		this._size--;
		if (!request.isAbandoned()) {
			this._virtualTime = Math.max(this._virtualTime, queue.virtualTime);
			queue.virtualTime += 1 / this._weightOf(group);
		}
		return request.run;
	}

	filter(): RunFunction[] {
		return [...this._groups.values()].flatMap(queue => queue.requests.data.map(request => request.run));
	}

	setPriority(): void {
		throw new Error('priorities are not supported; requests are ordered by group and deadline');
	}

	private _nextGroup(): [string, GroupQueue] | undefined {
		let best: [string, GroupQueue] | undefined;
		for (const entry of this._groups) {
			const isBetter = !best || entry[1].virtualTime < best[1].virtualTime;
			if (entry[1].requests.length > 0 && isBetter) {
				best = entry;
			}
		}
		return best;
	}
}

function compareRequests(a: QueuedRequest, b: QueuedRequest): number {
	return a.deadline - b.deadline || a.sequenceNumber - b.sequenceNumber;
}
