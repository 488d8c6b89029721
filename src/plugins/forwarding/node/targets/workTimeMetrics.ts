/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Metrics of how long work takes at the targets of each service, as they report it. */

import { Counter, Gauge } from 'prom-client';
import { type Millis, systemClock } from '../../../../base/clock.js';
import type { IMetricsService } from '../../../../kernel/node/metricsService.js';
import type { FactorSummary } from '../../../placement/common/targets/serviceSpeed.js';

/** @param factorsByService work time factors of the services whose targets report them */
export function registerWorkTimeMetrics(
	metrics: IMetricsService,
	factorsByService: (now: Millis) => ReadonlyMap<string, FactorSummary>
): void {
	const registers = [metrics.registry];
	new Gauge({
		name: 'shelffield_work_time_factor',
		help: 'Duration of work at the targets relative to its usual duration: mean of the latest reports, and the largest expected at a target.',
		labelNames: ['service', 'kind'],
		registers,
		collect() {
			this.reset();
			factorsByService(systemClock.now()).forEach(({ mean, largest }, service) => {
				this.set({ service, kind: 'mean' }, mean);
				this.set({ service, kind: 'largest' }, largest);
			});
		}
	});
	new Counter({
		name: 'shelffield_invalid_load_reports_total',
		help: 'Load reports of targets with a figure that cannot be right and was left out.',
		labelNames: ['service'],
		registers,
		collect() {
			this.reset();
			factorsByService(systemClock.now()).forEach(({ invalidReports }, service) =>
				this.inc({ service }, invalidReports)
			);
		}
	});
}
