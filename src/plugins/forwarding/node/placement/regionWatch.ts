/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Says where the requests of this instance go: one line a window tells requests by their planned and their actual region,
 * one line a step of the shares beyond their pace tells what was lost.
 */

import { Disposable, toDisposable } from '../../../../base/disposable.js';
import type { Event } from '../../../../base/event.js';
import type { Millis } from '../../../../base/clock.js';
import type { ILogService } from '../../../../kernel/node/logService.js';
import type { IFleetSession } from '../../../fleet/common/fleetSession.js';
import type { RouteShareStep } from '../../common/placement/placementPlans.js';
import { RegionRuns } from '../../common/placement/regionRuns.js';

/** The lines about regions. */
export class RegionWatch extends Disposable {
	private readonly _runs = new RegionRuns();

	/** @param windowMs span between lines: the one over which moves between regions are bounded */
	constructor(
		private readonly _session: IFleetSession,
		private readonly _log: ILogService,
		windowMs: Millis,
		onDidStepFar: Event<RouteShareStep>
	) {
		super();
		const timer = setInterval(() => this._logWindow(), windowMs);
		this._register(toDisposable(() => clearInterval(timer)));
		this._register(onDidStepFar(step => this._logStep(step)));
	}

	/**
	 * Counts the first try of a request.
	 * @param planned region by the shares; undefined where there were none
	 */
	noteFirstTry(planned: string | undefined, sent: string): void {
		this._runs.note(planned, sent);
	}

	private _logWindow(): void {
		const window = this._runs.take();
		if (window) {
			this._log.info('regions', { task: 'forwarding', ...window });
		}
	}

	private _logStep(step: RouteShareStep): void {
		this._log.warn('shares moved at once', {
			task: 'forwarding',
			...step,
			revision: this._session.view.revision,
			viewAgeMs: Math.round(this._session.ageMs())
		});
	}
}
