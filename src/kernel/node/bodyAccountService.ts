/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The account of received bodies of this process, with its metrics. */

import { Counter, Gauge } from 'prom-client';
import { BodyAccount } from '../common/bodyAccount.js';
import { GarbageCollector } from './garbageCollector.js';
import type { InstanceSettings } from './instanceSettings.js';
import { IMetricsService } from './metricsService.js';
import { ISettingsService } from './settingsService.js';

/** Takes its limit from the settings. */
export class BodyAccountService extends BodyAccount {
	constructor(@ISettingsService settings: ISettingsService, @IMetricsService metrics: IMetricsService) {
		const collector = new GarbageCollector();
		super(settings.section<InstanceSettings>('instance').memoryMb, () => collector.collect());
		const registers = [metrics.registry];
		const held: Gauge = new Gauge({
			name: 'shelffield_received_body_bytes',
			help: 'Bytes held for bodies that are being received, on all listeners.',
			registers,
			collect: () => held.set(this.heldBytes)
		});
		const evictions: Counter = new Counter({
			name: 'shelffield_received_bodies_evicted_total',
			help: 'Bodies that gave up their bytes for others, as the memory for received bodies was full.',
			registers,
			collect: () => {
				evictions.reset();
				evictions.inc(this.evictions);
			}
		});
		const collections: Counter = new Counter({
			name: 'shelffield_received_body_collections_total',
			help: 'Garbage collections that were started to release the memory of received bodies.',
			registers,
			collect: () => {
				collections.reset();
				collections.inc(collector.collections);
			}
		});
	}
}
