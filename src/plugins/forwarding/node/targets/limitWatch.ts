/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Tells operators which targets name a limit for all instances together, and what this instance sends them. The limit bounds a sum, so
 * the counts carry the target: added up over the instances they are what it got.
 */

import { Counter, Gauge } from 'prom-client';
import { type Millis, systemClock } from '../../../../base/clock.js';
import type { ILogService } from '../../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../../kernel/node/metricsService.js';
import { Disposable } from '../../../../base/disposable.js';
import type { ITargetLimits, TargetLimitEvent } from '../../../limits/common/targetLimits.js';
import type { TargetRecord } from '../../../fleet/common/fleetTypes.js';
import { TraceSampler } from '../../common/requestTrace.js';
import type { SentRequest } from './restWatch.js';

/** Time between lines on what was sent to one target with a limit. */
const SENT_LINE_MS: Millis = 2000;

const TRIES = ['first', 'other'] as const;
const CHOSEN = ['after', 'before'] as const;

interface SentCount {
	since: Millis;
	firstTries: number;
	otherTries: number;
	beforeWord: number;
}

/** Logs and counts limits and what is sent to the targets that named them. */
export class LimitWatch extends Disposable {
	private readonly _sampler = new TraceSampler();
	private readonly _sent: Counter;
	private readonly _counts = new Map<string, SentCount>();

	constructor(
		metrics: IMetricsService,
		private readonly _log: ILogService,
		private readonly _limits: ITargetLimits
	) {
		super();
		const registers = [metrics.registry];
		new Gauge({
			name: 'shelffield_target_limit_per_second',
			help: 'Requests a second that a target takes from all instances together, by its own word.',
			labelNames: ['service', 'target'],
			registers,
			collect() {
				this.reset();
				_limits.limited().forEach(({ id, service, perSecond }) => this.set({ service, target: id }, perSecond));
			}
		});
		this._sent = new Counter({
			name: 'shelffield_requests_to_limited_targets_total',
			help: 'Requests written to a target that names a limit, by try and by whether the limit was known when it was chosen.',
			labelNames: ['service', 'target', 'try', 'chosen'],
			registers
		});
		this._register(_limits.onDidChange(event => this._noteChange(event)));
	}

	private _noteChange({ record: { id, service }, change, perSecond, source }: TargetLimitEvent): void {
		if (this._sampler.admits(false, systemClock.now())) {
			this._log.info('limit of a target', { task: 'forwarding', target: id, service, change, perSecond, source });
		}
		if (perSecond === undefined) {
			this._counts.delete(id);
			TRIES.forEach(each => CHOSEN.forEach(chosen => this._sent.remove({ service, target: id, try: each, chosen })));
		}
	}

	/**
	 * A request that was sent to a target has ended.
	 * @param isFirstTry whether no other target was asked before
	 */
	noteSent(record: TargetRecord, { chosenAt, writtenAt }: SentRequest, isFirstTry: boolean): void {
		const now = systemClock.now();
		const perSecond = this._limits.perSecond(record, now);
		if (writtenAt === undefined || perSecond === undefined) {
			return;
		}
		const { id, service } = record;
		const isKnown = this._limits.knownSince(record) <= chosenAt;
		const labels = { service, target: id, try: isFirstTry ? 'first' : 'other', chosen: isKnown ? 'after' : 'before' };
		this._sent.inc(labels);
		const count = this._counts.get(id) ?? { since: now, firstTries: 0, otherTries: 0, beforeWord: 0 };
		this._counts.set(id, count);
		count[isFirstTry ? 'firstTries' : 'otherTries']++;
		count.beforeWord += isKnown ? 0 : 1;
		if (now - count.since >= SENT_LINE_MS) {
			this._counts.delete(id);
			const { since, ...sent } = count;
			const what = { target: id, service, perSecond, ...sent, inMs: Math.round(now - since) };
			if (this._sampler.admits(false, now)) {
				this._log.info('sent to a target with a limit', { task: 'forwarding', ...what });
			}
		}
	}
}
