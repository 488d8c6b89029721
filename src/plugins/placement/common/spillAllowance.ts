/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Token bucket for requests that spill: they leave the region that the shares assign because its targets are full. Only a
 * fraction of this instance's requests may do so.
 */

/**
 * Fraction of the shift bound that spilled requests may use, in addition to what `SharePacer` uses. Where spilled requests begin and
 * cease all at once, the whole of it moves from one window to the next.
 */
const SHIFT_BUDGET_FRACTION = 0.2;
const MAX_TOKENS = 1;

/** The spill allowance of one instance, for all services. */
export class SpillAllowance {
	private readonly _tokensPerRequest: number;
	private _tokens = 0;

	/** @param maxMovedFraction fraction of a region's requests that may change their region between windows */
	constructor(maxMovedFraction: number) {
		this._tokensPerRequest = SHIFT_BUDGET_FRACTION * maxMovedFraction;
	}

	/** Adds to the bucket for a request that is sent to its first target. */
	recordRequest(): void {
		this._tokens = Math.min(MAX_TOKENS, this._tokens + this._tokensPerRequest);
	}

	/** Whether a request may spill now. */
	get hasToken(): boolean {
		return this._tokens >= MAX_TOKENS;
	}

	/** Takes the token of a request that spilled. */
	take(): void {
		this._tokens -= MAX_TOKENS;
	}
}
