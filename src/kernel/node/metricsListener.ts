/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Serves the metrics and the admin endpoints of a process on a separate listener, if the settings have an address for it. */

import * as z from 'zod/mini';
import { Disposable } from '../../base/disposable.js';
import { ContributionPhase, pluginRegistry, ProcessKind } from '../common/pluginRegistry.js';
import { addressSchema, settingsRegistry } from '../common/settingsRegistry.js';
import { HttpListener } from './httpListener.js';
import { ILogService } from './logService.js';
import { IMetricsService } from './metricsService.js';
import { IAdminEndpoints } from './adminEndpoints.js';
import { ISettingsService } from './settingsService.js';

const INSTANCE_KINDS = [ProcessKind.Control, ProcessKind.Entry];
const MAX_CONNECTIONS = 20;

settingsRegistry.register({
	name: 'metrics',
	named: false,
	kinds: INSTANCE_KINDS,
	description: 'Listener for metrics, at /metrics, and for admin endpoints.',
	keys: {
		address: {
			schema: z.union([z.literal(''), addressSchema], 'empty, or an IPv4 address and port'),
			description: 'IPv4 address and port; empty to disable the listener.',
			default: ''
		}
	}
});

/** Listener for metrics and admin endpoints. */
export class MetricsListener extends Disposable {
	private readonly _listener?: HttpListener;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IMetricsService metrics: IMetricsService,
		@IAdminEndpoints private readonly _endpoints: IAdminEndpoints,
		@ILogService log: ILogService
	) {
		super();
		const { address } = settings.section<{ address: string }>('metrics');
		if (address === '') {
			return;
		}
		this._listener = this._register(
			new HttpListener({
				address,
				maxConnections: MAX_CONNECTIONS,
				metrics,
				isReady: () => true,
				onError: error => log.error('metrics listener request failed', { task: 'metrics', error: error.message })
			})
		);
	}

	/** Registers the admin endpoints added so far and starts listening. */
	async start(): Promise<void> {
		this._endpoints.all.forEach(({ method, pattern, handler }) => this._listener?.on(method, pattern, handler));
		await this._listener?.listen();
	}
}

pluginRegistry.registerContribution(INSTANCE_KINDS, ContributionPhase.Port, MetricsListener);
