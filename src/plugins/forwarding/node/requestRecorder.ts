/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Logs and counts completed requests. */

import { Counter, Histogram } from 'prom-client';
import { systemClock } from '../../../base/clock.js';
import { ILogService } from '../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../kernel/node/metricsService.js';
import type { Route } from '../../routes/common/routeTable.js';
import { type AttemptLabels, type AttemptTrace, LogSampler } from '../common/requestTrace.js';
import type { CallerExchange } from './callerExchange.js';

const LATENCY_BUCKETS_SECONDS = [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4];

/** Labels of an attempt that was still in progress when its request ended. */
const UNKNOWN_OUTCOME: AttemptLabels = { outcome: 'unknown', cause: '' };

/** How a request ended; the values are metric labels. */
export enum RequestEnd {
	/** A target's response was forwarded. */
	Answered = 'answered',
	/** The response of another entry instance was forwarded. */
	Relayed = 'relayed',
	Refused = 'refused',
	TimedOut = 'time-over',
	Broken = 'broken',
	CallerDisconnected = 'caller-left'
}

/** A request that has ended, as it is logged. */
export interface CompletedRequest {
	readonly exchange: CallerExchange;
	readonly route: Route;
	readonly service: string;
	/** Name of the team on whose behalf the request was sent. */
	readonly team: string | undefined;
	readonly end: RequestEnd;
	readonly status?: number;
	readonly reason?: string;
	readonly attempts: readonly AttemptTrace[];
	/** The entry instance that the request was relayed to. */
	readonly relayedTo?: string;
	/** Age of the fleet view. */
	readonly viewAgeMs: number;
	readonly tableVersion?: number;
}

/** Updates the request metrics, and writes a log line for each request that was not routine and for a sample of the others. */
export class RequestRecorder {
	private readonly _sampler = new LogSampler();
	private readonly _requests: Counter<'service' | 'end'>;
	private readonly _attempts: Counter<'outcome' | 'cause'>;
	private readonly _latencySeconds: Histogram<'service'>;
	private readonly _suppressedLines: Counter;

	constructor(
		metrics: IMetricsService,
		private readonly _log: ILogService
	) {
		const registers = [metrics.registry];
		this._requests = new Counter({
			name: 'shelffield_forwarded_requests_total',
			help: 'Requests of callers by service and how they ended.',
			labelNames: ['service', 'end'],
			registers
		});
		this._attempts = new Counter({
			name: 'shelffield_forwarding_attempts_total',
			help: 'Attempts at targets by outcome and its cause.',
			labelNames: ['outcome', 'cause'],
			registers
		});
		this._latencySeconds = new Histogram({
			name: 'shelffield_forwarded_request_seconds',
			help: 'Time from the arrival of a request until its response was forwarded, for requests answered by a target.',
			labelNames: ['service'],
			buckets: LATENCY_BUCKETS_SECONDS,
			registers
		});
		this._suppressedLines = new Counter({
			name: 'shelffield_request_lines_left_out_total',
			help: 'Request log lines suppressed by the log rate limit.',
			registers
		});
	}

	record(request: CompletedRequest): void {
		const now = systemClock.now();
		const { exchange, route, service, end, attempts } = request;
		const durationMs = now - exchange.arrivedAt;
		this._requests.inc({ service, end });
		attempts.forEach(({ labels }) => this._attempts.inc({ ...(labels ?? UNKNOWN_OUTCOME) }));
		if (end === RequestEnd.Answered) {
			this._latencySeconds.observe({ service }, durationMs / 1000);
		}
		const isRoutine = end === RequestEnd.Answered && attempts.length === 1 && durationMs <= route.objectiveMs;
		if (!this._sampler.admits(isRoutine, now)) {
			return;
		}
		this._suppressedLines.inc(this._sampler.takeDroppedCount());
		this._log.info('request', {
			task: 'forwarding',
			requestId: exchange.requestId,
			route: route.name,
			service,
			team: request.team,
			object: exchange.objectKey,
			end,
			status: request.status,
			reason: request.reason,
			waitedMs: Math.round(exchange.waitedMs),
			heldMs: Math.round(durationMs),
			remainingMs: exchange.remainingMs,
			attempts: attempts.map(({ labels: _labels, ...logged }) => logged),
			relayedTo: request.relayedTo,
			viewAgeMs: Math.round(request.viewAgeMs),
			tableVersion: request.tableVersion
		});
	}
}
