/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The states of all targets at this instance, and the candidates for a request. */

import { type Millis } from '../../../base/clock.js';
import type { FleetView, KnownTarget } from '../../fleet/common/fleetView.js';
import type { Candidate } from '../common/targetChoice.js';
import { TargetState } from '../common/targetState.js';

const SWEEP_INTERVAL_MS = 10000;

/** States by target id; those of targets that are gone are dropped. */
export class TargetStates {
	private readonly _states = new Map<string, TargetState>();
	private _sweptAt: Millis = 0;

	constructor(private readonly _view: FleetView) {}

	/** The state of one target. */
	stateOf(target: KnownTarget): TargetState {
		let state = this._states.get(target.record.id);
		if (!state) {
			state = new TargetState(target.record.id, target.record.slots);
			this._states.set(target.record.id, state);
		}
		return state;
	}

	/** Targets of a service that may get a request. */
	candidates(service: string, homeRegions: readonly string[], tried: ReadonlySet<string>, now: Millis): Candidate[] {
		this._sweep(now);
		const candidates: Candidate[] = [];
		for (const known of this._view.targetsOf(service)) {
			const isAtHome = homeRegions.length === 0 || homeRegions.includes(known.region);
			if (isAtHome && !tried.has(known.record.id) && !this._view.isDrained(known.record.hall)) {
				const state = this.stateOf(known);
				if (!state.isReplaced) {
					candidates.push({ known, state });
				}
			}
		}
		return candidates;
	}

	private _sweep(now: Millis): void {
		if (now - this._sweptAt < SWEEP_INTERVAL_MS) {
			return;
		}
		this._sweptAt = now;
		for (const [id, state] of this._states) {
			if (!this._view.target(id) && state.inFlight === 0) {
				this._states.delete(id);
			}
		}
	}
}
