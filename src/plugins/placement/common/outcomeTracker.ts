/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Updates demand and target state from the outcomes of the requests that this instance forwards. */

import type { Millis } from '../../../base/clock.js';
import {
	type AttemptOutcome,
	isServerError,
	NotRunCause,
	type TargetResponse
} from '../../forwarding/common/attempt.js';
import { DemandMeter } from './demandMeter.js';
import type { TargetState } from './targets/targetState.js';
import type { LoadReport } from './targets/targetReport.js';
import type { PlacementRequest } from './placementRequest.js';

/** Tracks the demand for services, and applies outcomes of attempts to target states. */
export class OutcomeTracker {
	private readonly _demand = new Map<string, DemandMeter>();

	/** Records that a caller's request for a service was received. */
	recordRequest(service: string, now: Millis): void {
		this._demandOf(service, now).recordRequest(now);
	}

	private _demandOf(service: string, now: Millis): DemandMeter {
		let meter = this._demand.get(service);
		if (!meter) {
			meter = new DemandMeter(now);
			this._demand.set(service, meter);
		}
		return meter;
	}

	/** Number of slots needed to serve the callers of this instance, by service. */
	slotsNeeded(now: Millis): Readonly<Record<string, number>> {
		const slots = [...this._demand].map(([service, meter]) => [service, meter.slots(now)] as const);
		return Object.fromEntries(slots);
	}

	/** Typical processing time of a request of a service, without queueing. */
	serviceTimeMs(service: string, now: Millis): Millis {
		return this._demandOf(service, now).serviceTimeMs;
	}

	/** Applies the load report of a response, if there is one. */
	recordLoad(state: TargetState, load: LoadReport | undefined, now: Millis): void {
		if (load) {
			state.applyLoadReport(load, now);
		}
	}

	/**
	 * Records the outcome of one attempt.
	 * @param durationMs time from the selection of the target to the outcome
	 */
	recordOutcome(
		context: PlacementRequest,
		state: TargetState,
		outcome: AttemptOutcome,
		durationMs: Millis,
		now: Millis
	): void {
		recordContact(state, outcome, now);
		switch (outcome.type) {
			case 'answer':
				this._recordResponse(context.service, state, outcome, durationMs, now);
				break;
			case 'not-run':
				recordNotRun(state, outcome.cause, now);
				break;
			case 'broken':
				state.health.recordFailure(now);
				break;
			case 'abandoned':
				if (!context.exchange.isDisconnected) {
					state.health.recordTimeout(durationMs, this._demandOf(context.service, now).meanLatencyMs, now);
				}
				break;
		}
	}

	private _recordResponse(
		service: string,
		state: TargetState,
		response: TargetResponse,
		durationMs: Millis,
		now: Millis
	): void {
		if (isServerError(response)) {
			state.health.recordFailure(now);
			return;
		}
		const meter = this._demandOf(service, now);
		state.recordResponse(durationMs, meter.meanLatencyMs, now);
		meter.recordResponse(durationMs);
	}
}

/** Records whether the target is reachable, regardless of the kind of its response. */
function recordContact(state: TargetState, outcome: AttemptOutcome, now: Millis): void {
	if (outcome.type === 'answer' || (outcome.type === 'not-run' && outcome.hasArrived)) {
		state.answeredAt = now;
	} else if (outcome.type === 'not-run' && outcome.cause === NotRunCause.NoConnection) {
		state.unreachableAt = now;
	}
}

function recordNotRun(state: TargetState, cause: NotRunCause, now: Millis): void {
	switch (cause) {
		case NotRunCause.Full:
			state.markFull(now);
			break;
		case NotRunCause.OtherTarget:
			state.isReplaced = true;
			break;
		case NotRunCause.NoConnection:
			state.health.recordUnreachable(now);
			break;
		case NotRunCause.Refused:
			state.health.recordFailure(now);
			break;
	}
}
