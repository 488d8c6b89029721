/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Estimates the size of log entries, to bound messages and the log in memory. */

import type { LogEntry } from './agreementTypes.js';

/** Size of a value other than a text or bytes, and of the header of an object. */
const VALUE_BYTES = 8;

const sizes = new WeakMap<LogEntry, number>();

/** Approximate size of an entry in bytes, encoded; it takes a few times as much in memory. */
export function estimateEntryBytes(entry: LogEntry): number {
	let size = sizes.get(entry);
	if (size === undefined) {
		size = estimateBytes(entry);
		sizes.set(entry, size);
	}
	return size;
}

function estimateBytes(value: unknown): number {
	if (typeof value === 'string') {
		return value.length;
	}
	if (ArrayBuffer.isView(value)) {
		return value.byteLength;
	}
	if (typeof value !== 'object' || value === null) {
		return VALUE_BYTES;
	}
	let sum = VALUE_BYTES;
	for (const [key, item] of Object.entries(value)) {
		sum += key.length + estimateBytes(item);
	}
	return sum;
}
