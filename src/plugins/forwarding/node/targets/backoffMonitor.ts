/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Logs and metrics on targets that ask for backoff or announce their shutdown, and on requests they receive meanwhile. */

import { Counter, Gauge } from 'prom-client';
import { type Millis, systemClock } from '../../../../base/clock.js';
import type { ILogService } from '../../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../../kernel/node/metricsService.js';
import type { TargetRecord } from '../../../fleet/common/fleetTypes.js';
import type { AttemptOutcome } from '../../common/attempt.js';
import { LogSampler } from '../../common/requestTrace.js';
import type { TargetState } from '../../../placement/common/targets/targetState.js';
import type { TargetReport } from '../../../placement/common/targets/targetReport.js';

/** One request that was sent to a target. */
export interface SentRequest {
	/** When the target was selected, on the monotonic clock. */
	readonly chosenAt: Millis;
	/** When the request may have been written; undefined for never. */
	readonly writtenAt: Millis | undefined;
	readonly outcome: AttemptOutcome;
}

/** Logs and counts backoff and shutdown announcements of targets. */
export class BackoffMonitor {
	private readonly _sampler = new LogSampler();
	private readonly _backoffRequests: Counter;
	private readonly _requestsDuringBackoff: Counter;

	/** @param backedOffByService number of targets per service that are backed off */
	constructor(
		metrics: IMetricsService,
		private readonly _log: ILogService,
		backedOffByService: (now: Millis) => ReadonlyMap<string, number>
	) {
		const registers = [metrics.registry];
		new Gauge({
			name: 'shelffield_targets_at_rest',
			help: 'Targets to which this instance sends nothing now, as they asked for backoff or announced their shutdown.',
			labelNames: ['service'],
			registers,
			collect() {
				this.reset();
				backedOffByService(systemClock.now()).forEach((count, service) => this.set({ service }, count));
			}
		});
		this._backoffRequests = new Counter({
			name: 'shelffield_target_rests_asked_total',
			help: 'Responses in which a target asked for backoff (rest), or first announced its shutdown (leaving).',
			labelNames: ['service', 'word'],
			registers
		});
		this._requestsDuringBackoff = new Counter({
			name: 'shelffield_requests_to_resting_targets_total',
			help: 'Requests sent to a target during its backoff, by selection after or before the backoff was known, and by outcome.',
			labelNames: ['service', 'chosen', 'outcome'],
			registers
		});
	}

	/**
	 * Records the report of a response. Must be called before the report is applied to the state of the target.
	 * @param inFlight requests of this instance that are in progress at the target
	 */
	recordReport(
		{ id, service }: TargetRecord,
		{ backoff }: TargetState,
		report: TargetReport,
		inFlight: number,
		now: Millis
	): void {
		if (report.backoffMs > 0) {
			this._logSampled(
				'target requested backoff',
				{ target: id, service, restMs: report.backoffMs, underWay: inFlight },
				now
			);
			this._backoffRequests.inc({ service, word: 'rest' });
		}
		if (report.isLeaving && !backoff.isLeaving) {
			this._logSampled('target announced shutdown', { target: id, service, underWay: inFlight }, now);
			this._backoffRequests.inc({ service, word: 'leaving' });
		}
	}

	/** Logs the end of the target's backoff, if it has ended; called before a request is sent to the target. */
	recordSendStart({ id, service }: TargetRecord, { backoff }: TargetState, now: Millis): void {
		const backoffMs = backoff.takeEndedDurationMs(now);
		if (backoffMs !== undefined) {
			this._logSampled('target backoff ended', { target: id, service, restedMs: Math.round(backoffMs) }, now);
		}
	}

	/** Counts a request that was sent during the target's backoff; called when it has ended. */
	recordSent({ service }: TargetRecord, { backoff }: TargetState, { chosenAt, writtenAt, outcome }: SentRequest): void {
		if (writtenAt === undefined || !backoff.isActive(writtenAt) || backoff.activeSince >= writtenAt) {
			return;
		}
		const cause = outcome.type === 'not-run' ? outcome.cause : outcome.type;
		this._requestsDuringBackoff.inc({
			service,
			chosen: backoff.activeSince < chosenAt ? 'after' : 'before',
			outcome: cause
		});
	}

	private _logSampled(message: string, fields: Readonly<Record<string, unknown>>, now: Millis): void {
		if (this._sampler.admits(false, now)) {
			this._log.info(message, { task: 'forwarding', ...fields });
		}
	}
}
