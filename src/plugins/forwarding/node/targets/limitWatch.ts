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
import type { TargetRecord } from '../../../fleet/common/fleetTypes.js';
import { TraceSampler } from '../../common/requestTrace.js';
import type { LimitChange } from '../../common/targets/targetLimit.js';
import type { TargetState } from '../../common/targets/targetState.js';
import type { SentRequest } from './restWatch.js';

/** Time between lines on what was sent to one target with a limit. */
const SENT_LINE_MS: Millis = 2000;

const TRIES = ['first', 'other'] as const;
const CHOSEN = ['after', 'before'] as const;

/** A target that names a limit. */
export interface LimitedTarget {
	readonly id: string;
	readonly service: string;
	readonly perSecond: number;
}

interface SentCount {
	since: Millis;
	firstTries: number;
	otherTries: number;
	beforeWord: number;
}

/** Logs and counts limits and what is sent to the targets that named them. */
export class LimitWatch {
	private readonly _sampler = new TraceSampler();
	private readonly _sent: Counter;
	private readonly _counts = new Map<string, SentCount>();

	/** @param limitedTargets the targets that name a limit now */
	constructor(
		metrics: IMetricsService,
		private readonly _log: ILogService,
		limitedTargets: () => readonly LimitedTarget[]
	) {
		const registers = [metrics.registry];
		new Gauge({
			name: 'shelffield_target_limit_per_second',
			help: 'Requests a second that a target takes from all instances together, by its own word.',
			labelNames: ['service', 'target'],
			registers,
			collect() {
				this.reset();
				limitedTargets().forEach(({ id, service, perSecond }) => this.set({ service, target: id }, perSecond));
			}
		});
		this._sent = new Counter({
			name: 'shelffield_requests_to_limited_targets_total',
			help: 'Requests written to a target that names a limit, by try and by whether the limit was known when it was chosen.',
			labelNames: ['service', 'target', 'try', 'chosen'],
			registers
		});
	}

	/** An answer, or control, changed what is known of a limit. */
	noteChange(
		{ id, service }: TargetRecord,
		{ limit, inFlight }: TargetState,
		change: LimitChange,
		source: 'target' | 'control'
	): void {
		const now = systemClock.now();
		if (this._sampler.admits(false, now)) {
			const { perSecond } = limit;
			const what = { target: id, service, change, perSecond, source, underWay: inFlight };
			this._log.info('limit of a target', { task: 'forwarding', ...what });
		}
		if (limit.perSecond === undefined) {
			this._counts.delete(id);
			TRIES.forEach(each => CHOSEN.forEach(chosen => this._sent.remove({ service, target: id, try: each, chosen })));
		}
	}

	/**
	 * A request that was sent to a target has ended.
	 * @param isFirstTry whether no other target was asked before
	 */
	noteSent(
		{ id, service }: TargetRecord,
		{ limit }: TargetState,
		{ chosenAt, writtenAt }: SentRequest,
		isFirstTry: boolean
	): void {
		if (writtenAt === undefined || limit.perSecond === undefined) {
			return;
		}
		const isKnown = limit.knownSince <= chosenAt;
		const labels = { service, target: id, try: isFirstTry ? 'first' : 'other', chosen: isKnown ? 'after' : 'before' };
		this._sent.inc(labels);
		const now = systemClock.now();
		const count = this._counts.get(id) ?? { since: now, firstTries: 0, otherTries: 0, beforeWord: 0 };
		this._counts.set(id, count);
		count[isFirstTry ? 'firstTries' : 'otherTries']++;
		count.beforeWord += isKnown ? 0 : 1;
		if (now - count.since >= SENT_LINE_MS) {
			this._counts.delete(id);
			const { since, ...sent } = count;
			const what = { target: id, service, perSecond: limit.perSecond, ...sent, inMs: Math.round(now - since) };
			this._log.info('sent to a target with a limit', { task: 'forwarding', ...what });
		}
	}
}
