/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The account of held memory of this process, with its metric. */

import { Gauge } from 'prom-client';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { HeldMemoryAccount } from '../common/heldMemoryAccount.js';
import { HeldBytes } from '../common/memoryAccount.js';

/** Takes its limit from the settings. */
export class MemoryAccountService extends HeldMemoryAccount {
	constructor(@ISettingsService settings: ISettingsService, @IMetricsService metrics: IMetricsService) {
		super(settings.section<InstanceSettings>('instance').memoryMb);
		const gauge: Gauge<'kind'> = new Gauge({
			name: 'shelffield_held_bytes',
			help: 'Bytes held for callers and targets, by kind.',
			labelNames: ['kind'],
			registers: [metrics.registry],
			collect: () => Object.values(HeldBytes).forEach(kind => gauge.set({ kind }, this.heldBytes(kind)))
		});
	}
}
