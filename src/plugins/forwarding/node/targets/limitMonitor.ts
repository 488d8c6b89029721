/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Logs and metrics on the rate limits of targets and the requests that this instance sends to them. As a limit applies to
 * all instances together, the counters are labelled by target: their sum over the instances is what the target received.
 */

import { Counter, Gauge } from 'prom-client';
import { type Millis, systemClock } from '../../../../base/clock.js';
import type { ILogService } from '../../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../../kernel/node/metricsService.js';
import { Disposable } from '../../../../base/disposable.js';
import type { ITargetLimits, TargetLimitEvent } from '../../../limits/common/targetLimits.js';
import type { TargetRecord } from '../../../fleet/common/fleetTypes.js';
import { LogSampler } from '../../common/requestTrace.js';
import type { SentRequest } from './backoffMonitor.js';

/** Interval of the log lines on the requests sent to one target. */
const LOG_INTERVAL_MS: Millis = 2000;

const TRY_LABELS = ['first', 'other'] as const;
const CHOSEN_LABELS = ['after', 'before'] as const;

interface SentCount {
	since: Millis;
	firstTries: number;
	otherTries: number;
	beforeWord: number;
}

/** Logs and counts changes of target rate limits, and the requests sent to the targets that have one. */
export class LimitMonitor extends Disposable {
	private readonly _sampler = new LogSampler();
	private readonly _sentCounter: Counter;
	private readonly _sentCounts = new Map<string, SentCount>();

	constructor(
		metrics: IMetricsService,
		private readonly _log: ILogService,
		private readonly _limits: ITargetLimits
	) {
		super();
		const registers = [metrics.registry];
		new Gauge({
			name: 'shelffield_target_limit_per_second',
			help: 'Rate limit of a target for all instances together, in requests per second, as reported by the target.',
			labelNames: ['service', 'target'],
			registers,
			collect() {
				this.reset();
				_limits.limitedTargets().forEach(({ id, service, perSecond }) => this.set({ service, target: id }, perSecond));
			}
		});
		this._sentCounter = new Counter({
			name: 'shelffield_requests_to_limited_targets_total',
			help: 'Requests sent to a rate-limited target, by first or other try and by selection after or before the limit was known.',
			labelNames: ['service', 'target', 'try', 'chosen'],
			registers
		});
		this._register(_limits.onDidChange(event => this._onLimitChange(event)));
	}

	private _onLimitChange({ record: { id, service }, change, perSecond, source }: TargetLimitEvent): void {
		if (this._sampler.admits(false, systemClock.now())) {
			this._log.info('target rate limit changed', {
				task: 'forwarding',
				target: id,
				service,
				change,
				perSecond,
				source
			});
		}
		if (perSecond === undefined) {
			this._sentCounts.delete(id);
			TRY_LABELS.forEach(each =>
				CHOSEN_LABELS.forEach(chosen => this._sentCounter.remove({ service, target: id, try: each, chosen }))
			);
		}
	}

	/**
	 * Counts a request that was sent to a rate-limited target, when it has ended.
	 * @param isFirstAttempt whether it was the first attempt of its request
	 */
	recordSent(record: TargetRecord, { chosenAt, writtenAt }: SentRequest, isFirstAttempt: boolean): void {
		const now = systemClock.now();
		const perSecond = this._limits.perSecond(record, now);
		if (writtenAt === undefined || perSecond === undefined) {
			return;
		}
		const { id, service } = record;
		const isKnown = this._limits.knownSince(record) <= chosenAt;
		const labels = {
			service,
			target: id,
			try: isFirstAttempt ? 'first' : 'other',
			chosen: isKnown ? 'after' : 'before'
		};
		this._sentCounter.inc(labels);
		const count = this._sentCounts.get(id) ?? { since: now, firstTries: 0, otherTries: 0, beforeWord: 0 };
		this._sentCounts.set(id, count);
		count[isFirstAttempt ? 'firstTries' : 'otherTries']++;
		count.beforeWord += isKnown ? 0 : 1;
		if (now - count.since >= LOG_INTERVAL_MS) {
			this._sentCounts.delete(id);
			const { since, ...sent } = count;
			const fields = { target: id, service, perSecond, ...sent, inMs: Math.round(now - since) };
			if (this._sampler.admits(false, now)) {
				this._log.info('requests sent to rate-limited target', { task: 'forwarding', ...fields });
			}
		}
	}
}
