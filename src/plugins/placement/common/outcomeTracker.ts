/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Updates demand, work times and target state from the outcomes of the requests that this instance forwards. */

import type { Millis } from '../../../base/clock.js';
import {
	type AttemptOutcome,
	isServerError,
	NotRunCause,
	type TargetResponse
} from '../../forwarding/common/attempt.js';
import { DemandMeter } from './demandMeter.js';
import { LearnedWorkProfile } from './learnedWorkProfile.js';
import { RouteMix } from './routeMix.js';
import { AverageSpeeds } from './averageSpeeds.js';
import type { TargetState } from './targets/targetState.js';
import type { LoadReport } from './targets/targetReport.js';
import type { PlacementRequest } from './placementRequest.js';
import type { IUnevenLoad } from './unevenLoad.js';
import type { IWorkProfile } from './workProfile.js';

/** Tracks the demand for services, and applies outcomes of attempts to target states. */
export class OutcomeTracker implements IUnevenLoad {
	private readonly _demand = new Map<string, DemandMeter>();
	private readonly _mixes = new Map<string, RouteMix>();
	private readonly _profile = new LearnedWorkProfile();
	private readonly _speeds = new AverageSpeeds();
	/** Services whose targets reported a work time. */
	private readonly _workTimeServices = new Set<string>();
	/** The latest load report of each target. */
	private readonly _loads = new WeakMap<TargetState, LoadReport>();

	/** @param _isRanked whether the deployment asks for decisions under shortage, so that all services count as uneven */
	constructor(private readonly _isRanked = false) {}

	/** Work times of routes as learned here. */
	get profile(): IWorkProfile {
		return this._profile;
	}

	isUneven(service: string): boolean {
		return this._isRanked || this._workTimeServices.has(service);
	}

	speedOf(targetId: string, now: Millis): number | undefined {
		return this._speeds.speedOf(targetId, now);
	}

	/** Records that a caller's request for a service was received. */
	recordRequest(service: string, now: Millis, route?: string): void {
		this._demandOf(service, now).recordRequest(now);
		if (route !== undefined) {
			this._mixOf(service, now).recordRequest(route, now);
		}
	}

	private _mixOf(service: string, now: Millis): RouteMix {
		let mix = this._mixes.get(service);
		if (!mix) {
			mix = new RouteMix(service, now);
			this._mixes.set(service, mix);
		}
		return mix;
	}

	/** Work of a service's requests with their objects cached; undefined where it is not known, or load is not uneven. */
	private _hitWorkMs(service: string): Millis | undefined {
		return this.isUneven(service) ? this._mixes.get(service)?.hitWorkMs(this._profile) : undefined;
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
		const slots = [...this._demand].map(
			([service, meter]) => [service, meter.slots(now, this._hitWorkMs(service))] as const
		);
		return Object.fromEntries(slots);
	}

	/** Typical processing time of a request of a service, without queueing. */
	serviceTimeMs(service: string, now: Millis): Millis {
		return this._hitWorkMs(service) ?? this._demandOf(service, now).serviceTimeMs;
	}

	/** Applies the load report of a response, if there is one. */
	recordLoad(state: TargetState, load: LoadReport | undefined, now: Millis): void {
		if (load) {
			state.applyLoadReport(load, now);
			this._loads.set(state, load);
			if (load.workTimeFactor !== undefined) {
				this._speeds.record(state.id, load.workTimeFactor, now);
			}
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
				this._recordResponse(context, state, outcome, durationMs, now);
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
		{ service, route }: PlacementRequest,
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
		this._recordWork(service, route.name, this._loads.get(state), durationMs);
	}

	/** Records the work of a response, unless the target has requests waiting, so that the time includes a queue. */
	private _recordWork(service: string, route: string, load: LoadReport | undefined, durationMs: Millis): void {
		if (load?.workTimeFactor !== undefined) {
			this._workTimeServices.add(service);
		}
		if (load && load.waiting === 0) {
			this._profile.record(service, route, durationMs / (load.workTimeFactor ?? 1));
		}
	}
}

/** Records whether the target is reachable, regardless of the kind of its response. */
function recordContact(state: TargetState, outcome: AttemptOutcome, now: Millis): void {
	if (outcome.type === 'not-run' && outcome.cause === NotRunCause.OtherTarget) {
		return; // The response came from the target that has the address now.
	}
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
