/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Tells operators which targets ask for rest or say that they leave, and what they are sent all the same. */

import { Counter, Gauge } from 'prom-client';
import { type Millis, systemClock } from '../../../../base/clock.js';
import type { ILogService } from '../../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../../kernel/node/metricsService.js';
import type { TargetRecord } from '../../../fleet/common/fleetTypes.js';
import type { AttemptOutcome } from '../../common/attempt.js';
import { TraceSampler } from '../../common/requestTrace.js';
import type { TargetState } from '../../common/targets/targetState.js';
import type { TargetWord } from '../../common/targets/targetWord.js';

/** One request that went to a target. */
export interface SentRequest {
	readonly chosenAt: Millis;
	/** When it may have been written; undefined for never. */
	readonly writtenAt: Millis | undefined;
	readonly outcome: AttemptOutcome;
}

/** Logs and counts what targets ask for. */
export class RestWatch {
	private readonly _sampler = new TraceSampler();
	private readonly _asked: Counter;
	private readonly _sentAllTheSame: Counter;

	/** @param restingByService how many targets of each service want nothing */
	constructor(
		metrics: IMetricsService,
		private readonly _log: ILogService,
		restingByService: (now: Millis) => ReadonlyMap<string, number>
	) {
		const registers = [metrics.registry];
		new Gauge({
			name: 'shelffield_targets_at_rest',
			help: 'Targets that want nothing from this instance now, by their own word.',
			labelNames: ['service'],
			registers,
			collect() {
				this.reset();
				restingByService(systemClock.now()).forEach((count, service) => this.set({ service }, count));
			}
		});
		this._asked = new Counter({
			name: 'shelffield_target_rests_asked_total',
			help: 'Answers in which a target asked for rest (rest), or first said that it leaves (leaving).',
			labelNames: ['service', 'word'],
			registers
		});
		this._sentAllTheSame = new Counter({
			name: 'shelffield_requests_to_resting_targets_total',
			help: 'Requests written to a target that wanted none, chosen after or before its word was there, by outcome.',
			labelNames: ['service', 'chosen', 'outcome'],
			registers
		});
	}

	/**
	 * A target spoke of itself; called before its state takes the word in.
	 * @param underWay requests of this instance that the target has not ended
	 */
	noteWord(
		{ id, service }: TargetRecord,
		{ rest }: TargetState,
		word: TargetWord,
		underWay: number,
		now: Millis
	): void {
		if (word.restMs > 0) {
			this._tell('target asks for rest', { target: id, service, restMs: word.restMs, underWay }, now);
			this._asked.inc({ service, word: 'rest' });
		}
		if (word.isLeaving && !rest.isLeaving) {
			this._tell('target says that it leaves', { target: id, service, underWay }, now);
			this._asked.inc({ service, word: 'leaving' });
		}
	}

	/** A request is about to be sent to a target. */
	noteSend({ id, service }: TargetRecord, { rest }: TargetState, now: Millis): void {
		const restedMs = rest.takeEnded(now);
		if (restedMs !== undefined) {
			this._tell('target is asked again', { target: id, service, restedMs: Math.round(restedMs) }, now);
		}
	}

	/** A request that was sent to a target has ended. */
	noteSent({ service }: TargetRecord, { rest }: TargetState, { chosenAt, writtenAt, outcome }: SentRequest): void {
		if (writtenAt === undefined || !rest.isAsked(writtenAt) || rest.askedAt >= writtenAt) {
			return;
		}
		const cause = outcome.type === 'not-run' ? outcome.cause : outcome.type;
		this._sentAllTheSame.inc({ service, chosen: rest.askedAt < chosenAt ? 'after' : 'before', outcome: cause });
	}

	private _tell(message: string, what: Readonly<Record<string, unknown>>, now: Millis): void {
		if (this._sampler.admits(false, now)) {
			this._log.info(message, { task: 'forwarding', ...what });
		}
	}
}
