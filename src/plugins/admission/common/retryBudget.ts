/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Limits retries to a fraction of first attempts, so that retries do not multiply the load on failing targets. */

/** Maximum number of retries that can be saved up for a burst of failures. */
const MAX_TOKENS = 10;

/** Retry budget of one group at one service (token bucket). */
export class RetryBudget {
	private _tokens = 0;

	/** @param _ratio retries per first attempt, 0 to 1 */
	constructor(private readonly _ratio: number) {}

	recordFirstAttempt(): void {
		this._tokens = Math.min(MAX_TOKENS, this._tokens + this._ratio);
	}

	/** Takes one retry from the budget; returns false if the budget is exhausted. */
	tryTake(): boolean {
		if (this._tokens < 1) {
			return false;
		}
		this._tokens -= 1;
		return true;
	}
}
