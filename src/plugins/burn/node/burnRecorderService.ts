/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Counts requests by outcome, judged by the objectives in the settings, and exports the counts as metrics. */

import { Gauge } from 'prom-client';
import { systemClock } from '../../../base/clock.js';
import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { integerSchema, numberSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { type IBurnRecorder, OBJECTIVE_EVENTS_METRIC, OBJECTIVE_RATIO_METRIC } from '../common/burnRecorder.js';
import { BURN_WINDOWS, OutcomeHistory } from '../common/burnWindows.js';

/** Requests of further services and groups are not recorded. */
const MAX_SERIES_COUNT = 1000;
const DEFAULT_OBJECTIVES: ObjectiveSettings = { latencyMs: 1000, latencyRatio: 0.99, availabilityRatio: 0.999 };

/** Settings section `[objective.SERVICE]`. */
interface ObjectiveSettings {
	readonly latencyMs: number;
	readonly latencyRatio: number;
	readonly availabilityRatio: number;
}

settingsRegistry.register({
	name: 'objective',
	named: true,
	kinds: [ProcessKind.Entry],
	description: 'Objectives of a service, for the error budget report.',
	keys: {
		latencyMs: {
			schema: integerSchema(1, 3600000),
			description: 'Latency above which a response is slow, 1 to 3600000 ms.',
			default: String(DEFAULT_OBJECTIVES.latencyMs)
		},
		latencyRatio: {
			schema: numberSchema(0, 0.99999),
			description: 'Minimum fraction of responses that must not be slow, 0 to 0.99999.',
			default: String(DEFAULT_OBJECTIVES.latencyRatio)
		},
		availabilityRatio: {
			schema: numberSchema(0, 0.99999),
			description: 'Minimum fraction of requests that must get a response with a status below 500, 0 to 0.99999.',
			default: String(DEFAULT_OBJECTIVES.availabilityRatio)
		}
	}
});

interface OutcomeSeries {
	readonly service: string;
	readonly group: string;
	readonly history: OutcomeHistory;
}

/** Burn recorder of one entry instance. */
export class BurnRecorderService implements IBurnRecorder {
	private readonly _series = new Map<string, OutcomeSeries>();
	private readonly _objectives: ReadonlyMap<string, ObjectiveSettings>;

	constructor(@ISettingsService settings: ISettingsService, @IMetricsService metrics: IMetricsService) {
		this._objectives = settings.namedSections<ObjectiveSettings>('objective');
		const services = [...settings.namedSections('service').keys()];
		const collectEvents = (gauge: Gauge): void => this._collectEvents(gauge);
		new Gauge({
			name: OBJECTIVE_EVENTS_METRIC,
			help: 'Requests within a window: all of them, failed ones and slow ones',
			labelNames: ['service', 'group', 'window', 'kind'],
			registers: [metrics.registry],
			collect() {
				collectEvents(this);
			}
		});
		const ratios = new Gauge({
			name: OBJECTIVE_RATIO_METRIC,
			help: 'Minimum fraction of requests that must meet the objective',
			labelNames: ['service', 'objective'],
			registers: [metrics.registry]
		});
		for (const service of services) {
			const objective = this._objectiveOf(service);
			ratios.set({ service, objective: 'latency' }, objective.latencyRatio);
			ratios.set({ service, objective: 'availability' }, objective.availabilityRatio);
		}
	}

	record(service: string, group: string, isFailed: boolean, totalMs: number): void {
		const isSlow = totalMs > this._objectiveOf(service).latencyMs;
		const outcome = isFailed ? 'failed' : isSlow ? 'slow' : 'good';
		this._getOrCreateSeries(service, group)?.history.record(outcome, systemClock.now());
	}

	private _objectiveOf(service: string): ObjectiveSettings {
		return this._objectives.get(service) ?? DEFAULT_OBJECTIVES;
	}

	private _getOrCreateSeries(service: string, group: string): OutcomeSeries | undefined {
		const key = `${service}|${group}`;
		let series = this._series.get(key);
		if (!series && this._series.size < MAX_SERIES_COUNT) {
			series = { service, group, history: new OutcomeHistory() };
			this._series.set(key, series);
		}
		return series;
	}

	private _collectEvents(gauge: Gauge): void {
		const now = systemClock.now();
		gauge.reset();
		for (const { service, group, history } of this._series.values()) {
			for (const { name, minutes } of BURN_WINDOWS) {
				for (const [kind, value] of Object.entries(history.countLast(minutes, now))) {
					gauge.set({ service, group, window: name, kind }, value as number);
				}
			}
		}
	}
}
