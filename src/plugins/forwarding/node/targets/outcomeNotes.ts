/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What this instance learns of services and targets from the requests that it carries. */

import type { Millis } from '../../../../base/clock.js';
import { type AttemptOutcome, NotRunCause, type TargetAnswer } from '../../common/attempt.js';
import { DemandMeter } from '../../common/placement/demandMeter.js';
import type { TargetState } from '../../common/targets/targetState.js';
import type { LoadWord } from '../../common/targets/targetWord.js';
import { isFailure, type Journey } from '../journey.js';

/** Keeps what services need and how targets do. */
export class OutcomeNotes {
	private readonly _demand = new Map<string, DemandMeter>();

	/** A caller's request for a service came in. */
	noteRequest(service: string, now: Millis): void {
		this._demandOf(service, now).noteRequest(now);
	}

	private _demandOf(service: string, now: Millis): DemandMeter {
		let meter = this._demand.get(service);
		if (!meter) {
			meter = new DemandMeter(now);
			this._demand.set(service, meter);
		}
		return meter;
	}

	/** Slots that the callers of this instance need, by service. */
	slotsNeeded(now: Millis): Readonly<Record<string, number>> {
		const slots = [...this._demand].map(([service, meter]) => [service, meter.slots(now)] as const);
		return Object.fromEntries(slots);
	}

	/** What a request of a service takes where nothing holds it up. */
	typicalMs(service: string, now: Millis): Millis {
		return this._demandOf(service, now).typicalMs;
	}

	/** Takes the load word of an answer in, if there is one. */
	noteLoad(state: TargetState, load: LoadWord | undefined, now: Millis): void {
		if (load) {
			state.takeLoadWord(load, now);
		}
	}

	/**
	 * Takes in what came of one attempt.
	 * @param durationMs from the choice of the target to the outcome
	 */
	noteOutcome(journey: Journey, state: TargetState, outcome: AttemptOutcome, durationMs: Millis, now: Millis): void {
		noteContact(state, outcome, now);
		switch (outcome.type) {
			case 'answer':
				this._noteAnswer(journey.service, state, outcome, durationMs, now);
				break;
			case 'not-run':
				noteNotRun(state, outcome.cause, now);
				break;
			case 'broken':
				state.health.noteFailure(now);
				break;
			case 'abandoned':
				if (!journey.exchange.hasLeft) {
					state.health.noteTimeOver(durationMs, this._demandOf(journey.service, now).meanMs, now);
				}
				break;
		}
	}

	private _noteAnswer(
		service: string,
		state: TargetState,
		answer: TargetAnswer,
		durationMs: Millis,
		now: Millis
	): void {
		if (isFailure(answer)) {
			state.health.noteFailure(now);
			return;
		}
		const meter = this._demandOf(service, now);
		state.health.noteAnswer(durationMs, meter.meanMs, now);
		meter.noteAnswer(durationMs);
	}
}

/** Whether the target is there at all, however it answered. */
function noteContact(state: TargetState, outcome: AttemptOutcome, now: Millis): void {
	if (outcome.type === 'answer' || (outcome.type === 'not-run' && outcome.hasArrived)) {
		state.answeredAt = now;
	} else if (outcome.type === 'not-run' && outcome.cause === NotRunCause.NoConnection) {
		state.unreachableAt = now;
	}
}

function noteNotRun(state: TargetState, cause: NotRunCause, now: Millis): void {
	switch (cause) {
		case NotRunCause.Full:
			state.noteFull(now);
			break;
		case NotRunCause.OtherTarget:
			state.isReplaced = true;
			break;
		case NotRunCause.NoConnection:
			state.health.noteUnreachable(now);
			break;
		case NotRunCause.Refused:
			state.health.noteFailure(now);
			break;
	}
}
