/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Logs in which regions this instance's requests run: the planned and actual regions once per window, and each move of shares
 * off lost targets, which is exempt from the shift bounds.
 */

import { Disposable, toDisposable } from '../../../base/disposable.js';
import type { Event } from '../../../base/event.js';
import type { Millis } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IFleetSession } from '../../fleet/common/fleetSession.js';
import type { RouteShareJump } from '../../placement/common/placementPlans.js';
import { RegionTraffic } from '../../placement/common/regionTraffic.js';

/** Writes the log lines about regions. */
export class RegionTrafficMonitor extends Disposable {
	private readonly _traffic = new RegionTraffic();

	/** @param windowMs interval between log lines: the window of the shift bounds */
	constructor(
		private readonly _session: IFleetSession,
		private readonly _log: ILogService,
		windowMs: Millis,
		onDidShiftFromLostTargets: Event<RouteShareJump>
	) {
		super();
		const timer = setInterval(() => this._logWindow(), windowMs);
		this._register(toDisposable(() => clearInterval(timer)));
		this._register(onDidShiftFromLostTargets(jump => this._logJump(jump)));
	}

	/**
	 * Counts the first attempt of a request.
	 * @param planned region that the shares assigned; undefined if there were no shares
	 */
	recordFirstAttempt(planned: string | undefined, sent: string): void {
		this._traffic.record(planned, sent);
	}

	/** Counts an attempt that a target answered. */
	recordAnswer(region: string): void {
		this._traffic.recordAnswer(region);
	}

	private _logWindow(): void {
		const window = this._traffic.take();
		if (window) {
			this._log.info('requests by region', { task: 'forwarding', ...window });
		}
	}

	private _logJump(jump: RouteShareJump): void {
		this._log.warn('region shares moved off lost targets at once', {
			task: 'forwarding',
			...jump,
			revision: this._session.view.revision,
			viewAgeMs: Math.round(this._session.ageMs())
		});
	}
}
