/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Logs and counts requests as they end. */

import { Counter, Histogram } from 'prom-client';
import { systemClock } from '../../../base/clock.js';
import { ILogService } from '../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../kernel/node/metricsService.js';
import type { Route } from '../../routes/common/routeTable.js';
import { type AttemptTrace, TraceSampler } from '../common/requestTrace.js';
import type { CallerExchange } from './callerExchange.js';

const SECONDS_BUCKETS = [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4];

/** How a request ended, as it is counted; a closed list. */
export enum RequestEnd {
	/** A target's answer was passed on. */
	Answered = 'answered',
	Refused = 'refused',
	TimeOver = 'time-over',
	Broken = 'broken',
	CallerLeft = 'caller-left'
}

/** A request that has ended. */
export interface EndedRequest {
	readonly exchange: CallerExchange;
	readonly route: Route;
	readonly service: string;
	/** Name of the team on whose behalf it was sent. */
	readonly team: string | undefined;
	readonly end: RequestEnd;
	readonly status?: number;
	readonly reason?: string;
	readonly attempts: readonly AttemptTrace[];
	/** Age of what was known of the fleet. */
	readonly viewAgeMs: number;
	readonly tableVersion?: number;
}

/** Writes one line for a request whose end needs explaining, and keeps the figures. */
export class RequestRecorder {
	private readonly _sampler = new TraceSampler();
	private readonly _requests: Counter<'service' | 'end'>;
	private readonly _attempts: Counter<'outcome'>;
	private readonly _seconds: Histogram<'service'>;
	private readonly _leftOut: Counter;

	constructor(
		metrics: IMetricsService,
		private readonly _log: ILogService
	) {
		const registers = [metrics.registry];
		this._requests = new Counter({
			name: 'shelffield_forwarded_requests_total',
			help: 'Requests of callers by service and end.',
			labelNames: ['service', 'end'],
			registers
		});
		this._attempts = new Counter({
			name: 'shelffield_forwarding_attempts_total',
			help: 'Attempts at targets by outcome.',
			labelNames: ['outcome'],
			registers
		});
		this._seconds = new Histogram({
			name: 'shelffield_forwarded_request_seconds',
			help: 'Arrival until the answer was passed on, for answered requests.',
			labelNames: ['service'],
			buckets: SECONDS_BUCKETS,
			registers
		});
		this._leftOut = new Counter({
			name: 'shelffield_request_lines_left_out_total',
			help: 'Log lines about requests that were left out to keep their volume bounded.',
			registers
		});
	}

	/** Records one ended request. */
	record(ended: EndedRequest): void {
		const now = systemClock.now();
		const { exchange, route, service, end, attempts } = ended;
		const heldMs = now - exchange.arrivedAt;
		this._requests.inc({ service, end });
		attempts.forEach(attempt => this._attempts.inc({ outcome: attempt.outcome.split(':')[0]! }));
		if (end === RequestEnd.Answered) {
			this._seconds.observe({ service }, heldMs / 1000);
		}
		const isPlain = end === RequestEnd.Answered && attempts.length === 1 && heldMs <= route.objectiveMs;
		if (!this._sampler.admits(isPlain, now)) {
			return;
		}
		this._leftOut.inc(this._sampler.takeLeftOut());
		this._log.info('request', {
			task: 'forwarding',
			requestId: exchange.requestId,
			route: route.name,
			service,
			team: ended.team,
			object: exchange.objectKey,
			end,
			status: ended.status,
			reason: ended.reason,
			heldMs: Math.round(heldMs),
			remainingMs: exchange.remainingMs,
			attempts,
			viewAgeMs: Math.round(ended.viewAgeMs),
			tableVersion: ended.tableVersion
		});
	}
}
