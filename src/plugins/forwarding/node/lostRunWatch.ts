/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Finds out under which requests targets ended. A connection that is lost says little: a target that runs on may reset one, and
 * all that a target was running is lost with it. So the target is asked for another connection, which one that has ended refuses.
 */

import { Counter } from 'prom-client';
import { type Millis, systemClock } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import { Disposable } from '../../../base/disposable.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../kernel/node/metricsService.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import { QuarantinePhase, type SeenRun } from '../../fleet/common/quarantineTypes.js';
import { type AttemptOutcome, BrokenCause } from '../common/attempt.js';
import { TraceSampler } from '../common/requestTrace.js';
import type { Journey } from './journey.js';
import { identityOf } from './requestDigest.js';
import { TargetProbe } from './targets/targetProbe.js';

/** The runs of this instance that were lost with their targets. */
export class LostRunWatch extends Disposable {
	private readonly _onDidLose = this._register(new Emitter<SeenRun>());
	/** Fires for each run under which its target ended. */
	readonly onDidLose = this._onDidLose.event;
	private readonly _probe = new TargetProbe();
	private readonly _sampler = new TraceSampler();
	private readonly _lost: Counter;

	constructor(
		metrics: IMetricsService,
		private readonly _log: ILogService
	) {
		super();
		this._lost = new Counter({
			name: 'shelffield_runs_lost_with_target_total',
			help: 'Runs of requests under which their target ended.',
			registers: [metrics.registry]
		});
	}

	/**
	 * Takes in what came of an attempt; the target of a broken one is asked, which holds nothing up.
	 * @param sentAt when it was sent, on the monotonic clock
	 */
	noteAttempt(journey: Journey, target: TargetRecord, outcome: AttemptOutcome, sentAt: Millis): void {
		const afterTargetId = journey.lostTargetId;
		journey.lostTargetId = undefined;
		if (outcome.type !== 'broken' || !isLost(outcome.cause)) {
			return;
		}
		journey.lostTargetId = target.id;
		const run: SeenRun = {
			...identityOf(journey),
			requestId: journey.exchange.requestId,
			team: journey.team?.name ?? '',
			targetId: target.id,
			wasSuspected: journey.phase !== QuarantinePhase.Clear,
			afterTargetId,
			sentAt,
			endedAt: systemClock.now()
		};
		void this._noteIfEnded(journey, run, target.address);
	}

	private async _noteIfEnded(journey: Journey, run: SeenRun, address: string): Promise<void> {
		const { digest, requestId, targetId: target, team, wasSuspected, sentAt, endedAt } = run;
		if (!(await this._probe.hasEnded(target, address))) {
			return;
		}
		journey.hasEndedTarget = true;
		this._lost.inc();
		if (this._sampler.admits(false, endedAt)) {
			const ranMs = Math.round(endedAt - sentAt);
			const line = { task: 'forwarding', digest, requestId, target, team, wasSuspected, ranMs };
			this._log.warn('target ended under a request', line);
		}
		this._onDidLose.fire(run);
	}
}

function isLost(cause: BrokenCause): boolean {
	return cause === BrokenCause.ConnectionLost || cause === BrokenCause.BrokenOff;
}
