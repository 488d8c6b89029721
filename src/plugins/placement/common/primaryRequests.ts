/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Counts the requests for the primary target of each object, for the report of requested work. */

import type { Millis } from '../../../base/clock.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import type { WorkByTarget } from '../../fleet/common/requestedWork.js';

/** Requests since the last report, by the primary target of their objects. */
export class PrimaryRequests {
	private _countById = new Map<string, number>();

	constructor(private readonly _view: FleetView) {}

	/** Counts a request for its primary target, whether or not that one backs off. */
	record(id: string): void {
		this._countById.set(id, (this._countById.get(id) ?? 0) + 1);
	}

	/**
	 * Returns the work, in slots times seconds, of the requests since the last call, and resets it.
	 * @param serviceTimeMs returns the time that a request of a service takes without queueing
	 */
	takeWork(serviceTimeMs: (service: string) => Millis): WorkByTarget {
		const workOf = (id: string, requests: number): number => {
			const service = this._view.target(id)?.record.service;
			return service === undefined ? 0 : (requests * serviceTimeMs(service)) / 1000;
		};
		const workByTarget = [...this._countById].map(([id, requests]) => [id, workOf(id, requests)] as const);
		this._countById = new Map();
		return Object.fromEntries(workByTarget.filter(([, work]) => work > 0));
	}
}
