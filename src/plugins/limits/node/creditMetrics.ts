/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Metrics on requests of teams that found no credit at this control instance. */

import { Counter } from 'prom-client';
import type { IMetricsService } from '../../../kernel/node/metricsService.js';
import type { ICreditObserver, RefusalCause } from './creditHolder.js';

/** Counts requests that waited for the leader, and those that got no credit, by cause. */
export class CreditMetrics implements ICreditObserver {
	private readonly _waited: Counter;
	private readonly _refused: Counter;

	constructor({ registry }: IMetricsService) {
		this._waited = new Counter({
			name: 'shelffield_team_credits_waited_total',
			help: 'Requests of teams with limits that found no credit here and waited for the leader.',
			registers: [registry]
		});
		this._refused = new Counter({
			name: 'shelffield_team_credits_refused_total',
			help: 'Requests of teams with limits that got no credit: limit (over the limit), ceiling (within it, but the leader may not grant more yet) or leader (none responded).',
			labelNames: ['cause'],
			registers: [registry]
		});
	}

	recordWaited(count: number): void {
		this._waited.inc(count);
	}

	recordRefused(cause: RefusalCause, count: number): void {
		this._refused.inc({ cause }, count);
	}
}
