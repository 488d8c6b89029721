/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Targets that this instance has recently sent requests for an object to, other than the object's first one. */

import type { Millis } from '../../../base/clock.js';

/** Maximum number of objects and targets that are remembered; the oldest are dropped first. */
const MAX_ENTRIES = 1024;
/** A target may have dropped the object after this time without a request for it from this instance. */
const RETENTION_MS: Millis = 10000;

/** When requests were sent, by object and target. */
export class RecentObjects {
	/** In the order of the latest requests, the oldest first. */
	private readonly _sentAt = new Map<string, Millis>();

	/** Records that a request for an object is sent to a target. */
	record(objectKey: string, targetId: string, now: Millis): void {
		const key = keyOf(objectKey, targetId);
		this._sentAt.delete(key);
		this._sentAt.set(key, now);
		if (this._sentAt.size > MAX_ENTRIES) {
			this._sentAt.delete(this._sentAt.keys().next().value!);
		}
	}

	/** Whether a request for the object was sent to the target recently. */
	has(objectKey: string, targetId: string, now: Millis): boolean {
		const sentAt = this._sentAt.get(keyOf(objectKey, targetId));
		return sentAt !== undefined && now - sentAt <= RETENTION_MS;
	}
}

function keyOf(objectKey: string, targetId: string): string {
	return `${targetId} ${objectKey}`;
}
