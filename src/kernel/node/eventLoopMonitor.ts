/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Measures by a periodic timer how late the event loop reads. */

import { Gauge } from 'prom-client';
import { type IClock, type Millis, systemClock } from '../../base/clock.js';
import { Disposable, toDisposable } from '../../base/disposable.js';
import type { IEventLoopMonitor } from '../common/eventLoopMonitor.js';
import { IMetricsService } from './metricsService.js';

const TICK_INTERVAL_MS: Millis = 50;

/**
 * What is read between two ticks may have arrived as early as the tick before them: the loop polls its sockets once between two
 * ticks where each of its turns is longer than their interval.
 */
export class EventLoopMonitor extends Disposable implements IEventLoopMonitor {
	private _tickedAt: Millis;
	private _previousTickedAt: Millis;
	private _peakDelayMs: Millis = 0;

	constructor(
		@IMetricsService metrics: IMetricsService,
		private readonly _clock: IClock = systemClock
	) {
		super();
		this._tickedAt = this._previousTickedAt = _clock.now();
		const timer = setInterval(() => this._tick(), TICK_INTERVAL_MS);
		timer.unref();
		this._register(toDisposable(() => clearInterval(timer)));
		const peak: Gauge = new Gauge({
			name: 'shelffield_read_delay_peak_seconds',
			help: 'Longest time that input may have waited for the event loop, since the metrics were read last.',
			registers: [metrics.registry],
			collect: () => {
				peak.set(this._peakDelayMs / 1000);
				this._peakDelayMs = 0;
			}
		});
	}

	readDelayMs(): Millis {
		return Math.max(0, this._clock.now() - this._previousTickedAt - 2 * TICK_INTERVAL_MS);
	}

	private _tick(): void {
		this._peakDelayMs = Math.max(this._peakDelayMs, this.readDelayMs());
		this._previousTickedAt = this._tickedAt;
		this._tickedAt = this._clock.now();
	}
}
