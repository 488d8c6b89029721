/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Metrics of the process, based on `prom-client`; names and labels are listed in docs/METRICS.md. */

import { Registry, collectDefaultMetrics } from 'prom-client';
import { createServiceIdentifier } from '../common/serviceIdentifier.js';

/** Holds the metrics that are served at `/metrics`. */
export interface IMetricsService {
	/** The metrics that this program defines. */
	readonly registry: Registry;
	/** Content type of {@link render}. */
	readonly contentType: string;
	/** All metrics as text, those of Node.js last: collectors may store only the beginning of a page. */
	render(): Promise<string>;
}

/** Identifier of the metrics service. */
export const IMetricsService = createServiceIdentifier<IMetricsService>('metricsService');

/** Metrics of this process. */
export class MetricsService implements IMetricsService {
	readonly registry = new Registry();
	private readonly _runtimeRegistry = new Registry();

	constructor() {
		collectDefaultMetrics({ register: this._runtimeRegistry });
	}

	get contentType(): string {
		return this.registry.contentType;
	}

	async render(): Promise<string> {
		const pages = [await this.registry.metrics(), await this._runtimeRegistry.metrics()];
		return pages.join('\n');
	}
}
