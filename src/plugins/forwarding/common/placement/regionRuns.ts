/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Where the requests of this instance's callers were sent, by region, told apart from where the shares between regions
 * would have them: what moves between two windows is either a step of the shares or a spill beside them.
 */

/** Requests that were first sent in one window. */
export interface RegionRunsWindow {
	/** First tries by the region that the shares gave them. */
	readonly planned: Readonly<Record<string, number>>;
	/** First tries by the region of the target that got them. */
	readonly sent: Readonly<Record<string, number>>;
	/** First tries that went to another region than planned, as `from>to`. */
	readonly spilled: Readonly<Record<string, number>>;
}

/** Counts first tries by region until a window is taken. */
export class RegionRuns {
	private _planned = new Map<string, number>();
	private _sent = new Map<string, number>();
	private _spilled = new Map<string, number>();

	/**
	 * Counts the first try of a request.
	 * @param planned region by the shares; undefined where there were none
	 */
	note(planned: string | undefined, sent: string): void {
		const from = planned ?? sent;
		increment(this._planned, from);
		increment(this._sent, sent);
		if (from !== sent) {
			increment(this._spilled, `${from}>${sent}`);
		}
	}

	/** What was counted since the last call; undefined for nothing. */
	take(): RegionRunsWindow | undefined {
		if (this._sent.size === 0) {
			return undefined;
		}
		const window = {
			planned: Object.fromEntries(this._planned),
			sent: Object.fromEntries(this._sent),
			spilled: Object.fromEntries(this._spilled)
		};
		this._planned = new Map();
		this._sent = new Map();
		this._spilled = new Map();
		return window;
	}
}

function increment(counts: Map<string, number>, key: string): void {
	counts.set(key, (counts.get(key) ?? 0) + 1);
}
