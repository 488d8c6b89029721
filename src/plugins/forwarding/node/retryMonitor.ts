/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Counts the attempts that this instance writes to targets, by whether they are the first of their request and whether a retry budget
 * covers them, so that retries beyond the limit of a service can be attributed.
 */

import { Counter } from 'prom-client';
import type { Millis } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../kernel/node/metricsService.js';

const LOG_INTERVAL_MS: Millis = 1000;

/** Which retry budget covers an attempt; the values are metric labels. */
export enum AttemptCoverage {
	/** The first attempt of a request needs no retry. */
	First = 'first',
	/** A retry from the budget of this instance, or of the one that relayed the request. */
	OwnBudget = 'own',
	/** A further attempt that no budget has paid for. */
	None = 'none'
}

/** Attempts at the targets of one service within a log interval. */
interface AttemptCounts {
	first: number;
	own: number;
	none: number;
	/** Longest time between taking a retry from the budget and writing it. */
	maxDelayMs: Millis;
}

/** Counts written attempts and logs those beyond the first of their requests. */
export class RetryMonitor extends Disposable {
	private readonly _attempts: Counter<'service' | 'budget'>;
	private _counts = new Map<string, AttemptCounts>();

	constructor(
		metrics: IMetricsService,
		private readonly _log: ILogService
	) {
		super();
		this._attempts = new Counter({
			name: 'shelffield_attempts_written_total',
			help: 'Attempts written to targets by the retry budget that covers them: first (needs none), own, none.',
			labelNames: ['service', 'budget'],
			registers: [metrics.registry]
		});
		const timer = setInterval(() => this._logCounts(), LOG_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	/**
	 * Records that an attempt may have been written to a target.
	 * @param delayMs time since its retry was taken from the budget; 0 where none was
	 */
	recordWritten(service: string, coverage: AttemptCoverage, delayMs: Millis): void {
		this._attempts.inc({ service, budget: coverage });
		let counts = this._counts.get(service);
		if (!counts) {
			counts = { first: 0, own: 0, none: 0, maxDelayMs: 0 };
			this._counts.set(service, counts);
		}
		counts[coverage]++;
		counts.maxDelayMs = Math.max(counts.maxDelayMs, Math.round(delayMs));
	}

	private _logCounts(): void {
		for (const [service, counts] of this._counts) {
			if (counts.own + counts.none > 0) {
				this._log.info('retries', { task: 'forwarding', service, ...counts });
			}
		}
		this._counts = new Map();
	}
}
