/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Counts this instance's requests by the region that the shares assign, by the region that they were sent to and by the region
 * that answered, so that a change between two windows can be attributed to changed shares, spilled requests or retries.
 */

/** Requests that were first sent or answered within one window. */
export interface RegionTrafficWindow {
	/** First attempts by the region that the shares assigned. */
	readonly planned: Readonly<Record<string, number>>;
	/** First attempts by the region of the target that they were sent to. */
	readonly sent: Readonly<Record<string, number>>;
	/** First attempts that went to another region than planned, keyed by `from>to`. */
	readonly spilled: Readonly<Record<string, number>>;
	/** Attempts, first or not, that a target answered, by its region. */
	readonly answered: Readonly<Record<string, number>>;
}

/** Counts first attempts by region until a window is taken. */
export class RegionTraffic {
	private _planned = new Map<string, number>();
	private _sent = new Map<string, number>();
	private _spilled = new Map<string, number>();
	private _answered = new Map<string, number>();

	/**
	 * Counts the first attempt of a request.
	 * @param planned region that the shares assigned; undefined if there were no shares
	 */
	record(planned: string | undefined, sent: string): void {
		const from = planned ?? sent;
		increment(this._planned, from);
		increment(this._sent, sent);
		if (from !== sent) {
			increment(this._spilled, `${from}>${sent}`);
		}
	}

	/** Counts an attempt that a target answered. */
	recordAnswer(region: string): void {
		increment(this._answered, region);
	}

	/** Returns the counts since the last call and resets them; undefined if there are none. */
	take(): RegionTrafficWindow | undefined {
		if (this._sent.size === 0 && this._answered.size === 0) {
			return undefined;
		}
		const window = {
			planned: Object.fromEntries(this._planned),
			sent: Object.fromEntries(this._sent),
			spilled: Object.fromEntries(this._spilled),
			answered: Object.fromEntries(this._answered)
		};
		this._planned = new Map();
		this._sent = new Map();
		this._spilled = new Map();
		this._answered = new Map();
		return window;
	}
}

function increment(counts: Map<string, number>, key: string): void {
	counts.set(key, (counts.get(key) ?? 0) + 1);
}
