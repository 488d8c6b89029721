/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Spreads the bytes of large answers over time, so that they never fill the queue of this instance's own link: whatever
 * else crosses it, small answers and new connections above all, would wait behind them.
 */

import type { Millis } from '../../../base/clock.js';

/** Part of the link that large answers may take together for long. */
const LARGE_PART = 0.9;
/**
 * Beyond that part they may be ahead by what it carries in this time: the whole link for nine times as long, so that a lone answer
 * is not held back for others that do not come.
 */
const AHEAD_MS: Millis = 100;
/** A timer that fires late is made up for by shorter waits, up to this: at 4 kB and 2 Mbit/s each piece has one of 16 ms. */
const MOST_MADE_UP_MS: Millis = 20;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;
const MS_PER_SECOND = 1000;
/** Shorter waits than this are not worth a timer. */
const LEAST_WAIT_MS = 2;

const LEAST_HELD_BYTES = 16 * 1024;
const MOST_HELD_BYTES = 64 * 1024;
/** What is held before it is passed on should not take the link longer than this. */
const HELD_MS = 50;
/** Bytes that may stand in the queue of a link ahead of a new connection. */
const QUEUED_BYTES = 200 * 1024;

/** Most bytes that are written in one go. */
export const PACED_PIECE_BYTES = 4 * 1024;

/** Bytes a millisecond that large answers may take together, in one direction. */
export function largeBytesPerMs(linkMbit: number): number {
	return (linkMbit * BITS_PER_MEGABIT * LARGE_PART) / BITS_PER_BYTE / MS_PER_SECOND;
}

/**
 * Answers up to this size are held whole on an instance with such a link, and then passed on at once. One that is known to be
 * larger can't be held whole and is passed on from its first byte, so that its caller does not wait for what is held.
 */
export function heldBytes(linkMbit: number): number {
	const bytes = (linkMbit * BITS_PER_MEGABIT * HELD_MS) / BITS_PER_BYTE / MS_PER_SECOND;
	return Math.min(MOST_HELD_BYTES, Math.max(LEAST_HELD_BYTES, bytes));
}

/**
 * How long a connection may take to come up: on a slow link it waits behind what is already on its way there.
 * @param roundTripMs what it takes at least on a link that is free
 */
export function connectTimeoutMs(linkMbit: number, roundTripMs: Millis): Millis {
	const queueMs = (QUEUED_BYTES * BITS_PER_BYTE * MS_PER_SECOND) / (linkMbit * BITS_PER_MEGABIT);
	return roundTripMs + queueMs;
}

/** The pace of one direction of a link. */
export class LinkPacer {
	private readonly _bytesPerMs: number;
	/** When the link has carried what passed so far. */
	private _freeAt: Millis = 0;
	/** The same, had large answers never taken more than their part. */
	private _steadyAt: Millis = 0;

	/** @param linkMbit megabits a second of the link, in one direction */
	constructor(linkMbit: number) {
		this._bytesPerMs = largeBytesPerMs(linkMbit) / LARGE_PART;
	}

	/**
	 * Takes the next free time for a piece.
	 * @returns how long to wait after the piece has passed before the next one may follow
	 */
	reserve(bytes: number, now: Millis): Millis {
		const takesMs = bytes / this._bytesPerMs;
		const isLate = now - this._freeAt <= MOST_MADE_UP_MS;
		this._freeAt = (isLate ? this._freeAt : now) + takesMs;
		this._steadyAt = Math.max(this._steadyAt, now) + takesMs / LARGE_PART;
		const waitMs = Math.max(this._freeAt, this._steadyAt - AHEAD_MS) - now;
		return waitMs < LEAST_WAIT_MS ? 0 : waitMs;
	}
}
