/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Logs when look-ups of a region start or stop returning entry instances of other regions. */

import type { Millis } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { EntryDescription } from '../common/fleetTypes.js';

/** Look-ups answered by one control instance. */
export class LookUpLog {
	/** Regions whose look-ups are answered with entry instances of other regions. */
	private readonly _regionsServedElsewhere = new Set<string>();

	constructor(
		private readonly _log: ILogService,
		private readonly _contactAgeMs: () => Millis
	) {}

	/**
	 * Records a look-up.
	 * @param selected entry instances that were returned
	 * @param entries all that are known
	 */
	record(region: string, selected: readonly EntryDescription[], entries: readonly EntryDescription[]): void {
		const isServedElsewhere = selected.some(entry => entry.region !== region);
		if (isServedElsewhere === this._regionsServedElsewhere.has(region)) {
			return;
		}
		if (isServedElsewhere) {
			this._regionsServedElsewhere.add(region);
		} else {
			this._regionsServedElsewhere.delete(region);
		}
		this._log.warn(
			isServedElsewhere
				? 'look-ups return entry instances of other regions'
				: 'look-ups return entry instances of their own region again',
			{
				task: 'fleet',
				region,
				heard: entries.length,
				ready: entries.filter(entry => entry.isReady).length,
				readyThere: entries.filter(entry => entry.isReady && entry.region === region).length,
				contactAgeMs: Math.round(this._contactAgeMs())
			}
		);
	}
}
