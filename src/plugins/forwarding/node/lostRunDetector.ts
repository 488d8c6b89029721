/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Detects requests whose target stopped while running them. A lost connection does not show that, since a running target may reset one
 * too; so the target is probed with a new connection, which a stopped target refuses. Targets of abandoned attempts are probed as well.
 */

import type { Readable } from 'node:stream';
import { Counter } from 'prom-client';
import { type Millis, systemClock } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import { Disposable } from '../../../base/disposable.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../kernel/node/metricsService.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import { QuarantinePhase, type ObservedLostRun } from '../../fleet/common/quarantineTypes.js';
import { type AttemptOutcome, NotRunCause, ResponseFailureCause } from '../common/attempt.js';
import { LogSampler } from '../common/requestTrace.js';
import { AbandonedRunMonitor } from './abandonedRunMonitor.js';
import type { RequestContext } from './requestContext.js';
import { identityOf } from './requestDigest.js';
import { TargetProbe } from './targets/targetProbe.js';

/** Whether a run at a target that broke off at a time was lost by the target. */
export type ConfirmLoss = (target: TargetRecord, lostAt: Millis) => Promise<boolean>;

/** Detects the runs sent by this instance that were lost with their targets. */
export class LostRunDetector extends Disposable {
	private readonly _onDidLose = this._register(new Emitter<ObservedLostRun>());
	/** Fires for each run whose target stopped. */
	readonly onDidLose = this._onDidLose.event;
	private readonly _probe = new TargetProbe();
	private readonly _abandonedRuns = this._register(new AbandonedRunMonitor(this._probe));
	private readonly _sampler = new LogSampler();
	private readonly _lostRuns: Counter;

	/**
	 * @param _confirmsLoss whether a run that broke off at a time was lost by its target, and not by the links of this instance
	 */
	constructor(
		metrics: IMetricsService,
		private readonly _log: ILogService,
		private readonly _confirmsLoss: ConfirmLoss = () => Promise.resolve(true)
	) {
		super();
		this._lostRuns = new Counter({
			name: 'shelffield_runs_lost_with_target_total',
			help: 'Runs of requests whose target stopped while running them.',
			labelNames: ['attempt'],
			registers: [metrics.registry]
		});
		this._register(
			this._abandonedRuns.onDidLose(({ run, target }) => void this._reportIfConfirmed(run, target, 'abandoned'))
		);
	}

	/**
	 * Records the outcome of an attempt; probes the target in the background where it may have stopped.
	 * @param sentAt when the attempt was sent, on the monotonic clock
	 */
	recordAttempt(context: RequestContext, target: TargetRecord, outcome: AttemptOutcome, sentAt: Millis): void {
		const afterTargetId = context.lostTargetId;
		context.lostTargetId = undefined;
		if (outcome.type === 'broken' && isConnectionLoss(outcome.cause)) {
			context.lostTargetId = target.id;
			void this._reportIfTargetStopped(context, createRun(context, target, afterTargetId, sentAt), target);
		} else if (outcome.type === 'abandoned' && outcome.mayHaveRun) {
			this._abandonedRuns.watch(createRun(context, target, afterTargetId, sentAt), target);
		} else if (outcome.type === 'not-run' && outcome.cause === NotRunCause.NoConnection) {
			this._abandonedRuns.checkNow(target);
		} else if (outcome.type === 'answer' && outcome.remainingBody) {
			this._watchStream(context, createRun(context, target, afterTargetId, sentAt), target, outcome.remainingBody);
		}
	}

	/** Watches the rest of a response: it is truncated when the target stops, or given up when the caller disconnects. */
	private _watchStream(context: RequestContext, run: ObservedLostRun, target: TargetRecord, body: Readable): void {
		body.once('close', () => {
			const endedRun = { ...run, endedAt: systemClock.now() };
			if (body.readableEnded) {
				return;
			}
			if (context.exchange.isDisconnected) {
				this._abandonedRuns.watch(endedRun, target);
			} else {
				void this._reportIfTargetStopped(context, endedRun, target);
			}
		});
	}

	private async _reportIfTargetStopped(
		context: RequestContext,
		run: ObservedLostRun,
		target: TargetRecord
	): Promise<void> {
		if (await this._probe.refusesConnections(run.targetId, target.address)) {
			context.wasLostWithTarget = true;
			await this._reportIfConfirmed(run, target, 'connection-lost');
		}
	}

	private async _reportIfConfirmed(
		run: ObservedLostRun,
		target: TargetRecord,
		attempt: 'connection-lost' | 'abandoned'
	): Promise<void> {
		if (await this._confirmsLoss(target, run.endedAt)) {
			this._reportLostRun(run, attempt);
		}
	}

	/** @param attempt how the attempt ended for this instance */
	private _reportLostRun(run: ObservedLostRun, attempt: 'connection-lost' | 'abandoned'): void {
		const { digest, requestId, targetId: target, team, wasSuspected, sentAt, endedAt } = run;
		this._lostRuns.inc({ attempt });
		if (this._sampler.admits(false, endedAt)) {
			const ranMs = Math.round(endedAt - sentAt);
			const fields = { task: 'forwarding', digest, requestId, target, team, wasSuspected, ranMs, attempt };
			this._log.warn('target stopped while running a request', fields);
		}
		this._onDidLose.fire(run);
	}
}

function createRun(
	context: RequestContext,
	target: TargetRecord,
	afterTargetId: string | undefined,
	sentAt: Millis
): ObservedLostRun {
	return {
		...identityOf(context),
		requestId: context.exchange.requestId,
		team: context.team?.name ?? '',
		targetId: target.id,
		wasSuspected: context.phase !== QuarantinePhase.Clear,
		afterTargetId,
		sentAt,
		endedAt: systemClock.now()
	};
}

function isConnectionLoss(cause: ResponseFailureCause): boolean {
	return cause === ResponseFailureCause.ConnectionLost || cause === ResponseFailureCause.ResponseTruncated;
}
