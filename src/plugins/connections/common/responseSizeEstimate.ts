/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Expected size of the next response of a connection, by which memory is reserved for it. */

/** Response size that is assumed before the first one. */
const INITIAL_RESPONSE_BYTES = 16 * 1024;
const SMOOTHING = 0.25;

/** Moving average of the sizes of a connection's responses. */
export class ResponseSizeEstimate {
	private _averageBytes = INITIAL_RESPONSE_BYTES;
	private _sentBytes = 0;

	/** Expected size of the next response, in bytes. */
	get bytes(): number {
		return Math.round(this._averageBytes);
	}

	/**
	 * Records the end of a response.
	 * @param sentBytes bytes that the connection has sent so far
	 */
	recordResponse(sentBytes: number): void {
		this._averageBytes += (sentBytes - this._sentBytes - this._averageBytes) * SMOOTHING;
		this._sentBytes = sentBytes;
	}
}
