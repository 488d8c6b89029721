/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Paces large responses so that they don't fill the send queue of this instance's link, where small responses and new
 * connections would be delayed behind them.
 */

import type { Millis } from '../../../base/clock.js';

/** Share of the link bandwidth that large responses may use together in the long run. */
const LARGE_RESPONSE_SHARE = 0.9;
/**
 * How far large responses may run ahead of their long-term share. It lets them use the whole link for up to nine times as
 * long, so that a single response is not slowed down.
 */
const BURST_MS: Millis = 100;
/** Upper bound of the timer delay that is compensated by shorter waits. One 4 KiB chunk takes 16 ms at 2 Mbit/s. */
const MAX_CATCH_UP_MS: Millis = 20;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;
const MS_PER_SECOND = 1000;
/** Shorter waits are skipped to save timers. */
const MIN_WAIT_MS = 2;

const MIN_BUFFER_BYTES = 16 * 1024;
const MAX_BUFFER_BYTES = 64 * 1024;
/** The buffered part of a response should not occupy the link for longer than this. */
const BUFFER_TRANSFER_MS = 50;
/** Bytes assumed to be queued on a link ahead of a new connection. */
const MAX_QUEUED_BYTES = 200 * 1024;

/** Maximum size of one paced write. */
export const PACED_CHUNK_BYTES = 4 * 1024;

/** Bandwidth that large responses may use together in one direction, in bytes per millisecond. */
export function largeResponseBytesPerMs(linkMbit: number): number {
	return (linkMbit * BITS_PER_MEGABIT * LARGE_RESPONSE_SHARE) / BITS_PER_BYTE / MS_PER_SECOND;
}

/**
 * Maximum response size that is buffered completely before it is forwarded, on an instance with the given bandwidth. A
 * response that is known to be larger is streamed from its first byte, so that its caller doesn't wait for the buffer to fill.
 */
export function maxBufferedBytes(linkMbit: number): number {
	const bytes = (linkMbit * BITS_PER_MEGABIT * BUFFER_TRANSFER_MS) / BITS_PER_BYTE / MS_PER_SECOND;
	return Math.min(MAX_BUFFER_BYTES, Math.max(MIN_BUFFER_BYTES, bytes));
}

/**
 * Timeout for establishing a connection; it includes the time that its packets wait behind queued data on a slow link.
 * @param roundTripMs allowance for an idle link
 */
export function connectTimeoutMs(linkMbit: number, roundTripMs: Millis): Millis {
	const queueMs = (MAX_QUEUED_BYTES * BITS_PER_BYTE * MS_PER_SECOND) / (linkMbit * BITS_PER_MEGABIT);
	return roundTripMs + queueMs;
}

/** Schedules the chunks of large responses in one direction of a link. */
export class LinkPacer {
	private readonly _bytesPerMs: number;
	/** When the link will have transferred all scheduled chunks, on the monotonic clock. */
	private _freeAt: Millis = 0;
	/** The same at the long-term share of large responses. */
	private _sustainedFreeAt: Millis = 0;

	/** @param linkMbit bandwidth of the link in one direction, in Mbit/s */
	constructor(linkMbit: number) {
		this._bytesPerMs = largeResponseBytesPerMs(linkMbit) / LARGE_RESPONSE_SHARE;
	}

	/**
	 * Schedules a chunk that is written now.
	 * @returns how long to wait after it before the next chunk may be written
	 */
	reserve(bytes: number, now: Millis): Millis {
		const transferMs = bytes / this._bytesPerMs;
		const isCatchingUp = now - this._freeAt <= MAX_CATCH_UP_MS;
		this._freeAt = (isCatchingUp ? this._freeAt : now) + transferMs;
		this._sustainedFreeAt = Math.max(this._sustainedFreeAt, now) + transferMs / LARGE_RESPONSE_SHARE;
		const waitMs = Math.max(this._freeAt, this._sustainedFreeAt - BURST_MS) - now;
		return waitMs < MIN_WAIT_MS ? 0 : waitMs;
	}
}
