/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Metrics of the process, based on `prom-client`; names and labels are listed in docs/METRICS.md. */

import { Registry, collectDefaultMetrics } from 'prom-client';
import { createServiceIdentifier } from '../common/serviceIdentifier.js';

/** Holds the registry that is served at `/metrics`. */
export interface IMetricsService {
	readonly registry: Registry;
}

/** Identifier of the metrics service. */
export const IMetricsService = createServiceIdentifier<IMetricsService>('metricsService');

/** Metrics registry of this process; includes the default metrics of Node.js. */
export class MetricsService implements IMetricsService {
	readonly registry = new Registry();

	constructor() {
		collectDefaultMetrics({ register: this.registry });
	}
}
