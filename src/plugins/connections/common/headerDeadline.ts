/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** When the headers of a request have to be complete. The time runs only while the caller is waited for. */

import type { Millis } from '../../../base/clock.js';

/** How long a new connection may stay without a byte of a request. */
const FIRST_REQUEST_TIMEOUT_MS: Millis = 60000;

/** The deadline of the headers that one connection waits for. */
export class HeaderDeadline {
	/** Since when headers are awaited; undefined between two requests. */
	private _since: Millis | undefined;
	private _isLate = false;
	private _hasFirstByte = false;

	constructor(now: Millis) {
		this._since = now;
	}

	/** Whether the caller has sent anything yet. */
	get hasFirstByte(): boolean {
		return this._hasFirstByte;
	}

	/**
	 * Records that bytes of the caller are parsed.
	 * @param isInBody whether they belong to the body of a request
	 */
	recordBytes(isInBody: boolean, now: Millis): void {
		this._hasFirstByte = true;
		if (!isInBody) {
			this._since ??= now;
			this._isLate = false;
		}
	}

	/** Records that the headers of a request are complete, or are no longer waited for. */
	clear(): void {
		this._since = undefined;
		this._isLate = false;
	}

	/**
	 * Whether the headers are late; to be called periodically. They count as late at the second check in a row: after a pause of this
	 * process, the bytes may be there and not be read yet.
	 * @param isCallerAwaited whether all that the caller has sent was parsed
	 * @param timeoutMs time from the first byte of a request until its headers are complete
	 */
	check(isCallerAwaited: boolean, timeoutMs: Millis, now: Millis): boolean {
		if (this._since === undefined) {
			return false;
		}
		if (!isCallerAwaited) {
			this._since = now;
			this._isLate = false;
			return false;
		}
		if (now - this._since < (this._hasFirstByte ? timeoutMs : FIRST_REQUEST_TIMEOUT_MS)) {
			return false;
		}
		const wasLate = this._isLate;
		this._isLate = true;
		return wasLate;
	}
}
