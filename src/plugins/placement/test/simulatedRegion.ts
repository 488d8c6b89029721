/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Simulates the entry instances of one region with their views and target selectors on a virtual clock, together with callers,
 * targets and control.
 */

import { createHash } from 'node:crypto';
import type { Millis } from '../../../base/clock.js';
import { TargetLimitTable } from '../../limits/common/targetLimitTable.js';
import { PaceShare } from '../../fleet/common/paceShare.js';
import { FleetView } from '../../fleet/common/fleetView.js';
import type { FleetRevision } from '../../fleet/common/fleetTypes.js';
import type { RegionDemand, SyncResponse } from '../../fleet/common/fleetWire.js';
import type { Route } from '../../routes/common/routeTable.js';
import { type NotRun, NotRunCause } from '../../forwarding/common/attempt.js';
import type { TargetState } from '../common/targets/targetState.js';
import type { PlacementCaller, PlacementRequest } from '../common/placementRequest.js';
import { OutcomeTracker } from '../common/outcomeTracker.js';
import { TargetSelector } from '../common/targetSelector.js';
import { REFUSED, RegionCounts, WINDOW_MS } from './regionCounts.js';
import { describeRoutes, describeTable, type RouteParts } from './simulatedRoutes.js';
import { LARGE_SYSTEM, REGIONS } from './simulatedSizes.js';
import { regionOf, SimulatedTargets } from './simulatedTargets.js';

const STEP_MS = 50;
const SYNC_MS = 500;
const REFUSAL_MS = 100;
/** Maximum fraction of the requests that change their region between two windows. */
export const MAX_MOVED_FRACTION = 0.15;
const MAX_ATTEMPTS = 3;

interface RunningRequest {
	readonly endsAt: Millis;
	readonly complete: (now: Millis) => void;
}

/** A request of the simulation, which records the targets that it tried. */
interface SimulatedRequest extends PlacementRequest {
	readonly tried: Set<string>;
	/** Ids of the targets of the attempts so far, in order. */
	readonly attempts: string[];
}

interface Instance {
	readonly view: FleetView;
	readonly selector: TargetSelector;
	readonly outcomeTracker: OutcomeTracker;
	running: RunningRequest[];
}

/** A simulated region; tests change the state of targets and control while it runs. */
export class SimulatedRegion {
	now: Millis = 100000;
	/** Ids of targets that control reports as silent. */
	readonly silent = new Set<string>();
	/** Ids of targets that accept no connection. */
	readonly unreachable = new Set<string>();
	/** Factor applied to the callers' normal request rates. */
	loadFactor = 1;
	/** Halls that are drained. */
	readonly drained = new Set<string>();
	/** Slots that each region's callers need, by service. */
	slotDemand: RegionDemand = {
		reads: { north: 144, central: 144, south: 144 },
		commands: { north: 48, central: 48, south: 48 }
	};
	/** Services of the routes, with their weights. */
	routeParts: RouteParts = {
		'/reads/': [{ service: 'reads', weight: 1 }],
		'/commands/': [{ service: 'commands', weight: 1 }]
	};
	/** Requests by the region in which they ran. */
	readonly counts = new RegionCounts(() => this.now);
	private readonly _instances: Instance[];
	private _revision = 1;
	private readonly _targets: SimulatedTargets;
	private _requestCount = 0;
	private readonly _choices = createHash('sha256');

	/** @param _workTimeFactor work time that targets report with their load; undefined for none */
	constructor(
		private readonly _workTimeFactor?: number,
		private readonly _sizes = LARGE_SYSTEM
	) {
		this._targets = new SimulatedTargets(_sizes.targets);
		this._instances = Array.from({ length: _sizes.instances }, (_, i) => this._newInstance(i));
		this._syncAll();
	}

	/** Returns the ids of the targets of a region, of one service or of all; without those that were replaced. */
	targetsOf(region: string, service?: string): string[] {
		return this._targets.idsOf(region, service);
	}

	/** Ends targets without notice. Others with new ids take over their addresses; the old ids stay registered. */
	replace(ids: readonly string[]): void {
		this._targets.replace(ids, this.now);
		this.change();
	}

	/** Lets control report targets as cold from now on. */
	turnCold(ids: readonly string[]): void {
		this._targets.turnCold(ids, this.now);
	}

	/** The view that an instance has of the fleet. */
	viewOf(instance: number): FleetView {
		return this._instances[instance]!.view;
	}

	/** Publishes a new route table and the drained halls to all instances. */
	change(): void {
		this._revision++;
		this._syncAll();
	}

	/** Replaces an instance by a new process. */
	restart(index: number): void {
		this._instances[index] = this._newInstance(index);
		this._sync(this._instances[index]);
	}

	/** Advances the clock; callers send requests unless `isIdle`. */
	run(spanMs: Millis, isIdle = false): void {
		const until = this.now + spanMs;
		while (this.now < until) {
			this.now += STEP_MS;
			this._instances.forEach(instance => this._completeRequests(instance));
			if (this.now % SYNC_MS === 0) {
				this._syncAll();
			}
			if (!isIdle) {
				this._sendAll();
			}
		}
	}

	/** Digest of the chosen targets, in order; ends the simulation. */
	choicesDigest(): string {
		return this._choices.digest('hex').slice(0, 16);
	}

	private _newInstance(index: number): Instance {
		const view = new FleetView(regionOf);
		const { ownRegion } = this._sizes;
		const place = { region: ownRegion, hall: `${ownRegion}-a`, name: `entry-${index}` };
		const shifts = { maxMovedFraction: MAX_MOVED_FRACTION, windowMs: WINDOW_MS };
		const share = new PaceShare(place.name, () => 0);
		const outcomeTracker = new OutcomeTracker();
		const limits = new TargetLimitTable(view, share);
		const selector = new TargetSelector(view, place, REGIONS, shifts, share, limits, { unevenLoad: outcomeTracker });
		return { view, selector, outcomeTracker, running: [] };
	}

	private _syncAll(): void {
		this._instances.forEach(instance => this._sync(instance));
	}

	private _sync(instance: Instance): void {
		instance.view.apply(this._responseTo(instance.view.revision), this.now);
	}

	private _responseTo(revision: FleetRevision): SyncResponse {
		const halls = REGIONS.flatMap(region => [`${region}-a`, `${region}-b`]);
		const changedAt = this._revision;
		const hasChanged = revision < this._revision;
		const table = describeTable(this._revision, Object.keys(this._sizes.targets), this.routeParts);
		return {
			changes: {
				revision: this._revision,
				isWhole: false,
				published: hasChanged ? { table, changedAt } : undefined,
				halls: hasChanged ? halls.map(hall => ({ hall, isDrained: this.drained.has(hall), changedAt })) : [],
				targets: hasChanged ? this._targets.records : []
			},
			controls: [],
			contactAgeMs: 0,
			hasHeardAll: true,
			entryCount: this._sizes.instances,
			regionEntries: this._instances?.map((_, i) => `entry-${i}`) ?? [],
			hallPeers: [],
			limitSenders: [],
			silentTargets: [...this.silent, ...this._targets.silentReplaced(this.now)],
			coldTargets: this._targets.cold(this.now),
			crowdedTargets: [],
			demand: this.slotDemand
		};
	}

	private _sendAll(): void {
		const routes = describeRoutes(this.routeParts);
		for (const instance of this._instances) {
			for (const route of routes) {
				const count = (this.loadFactor * this._sizes.rates[route.pathPrefix]! * STEP_MS) / 1000;
				for (let left = count; left > 0; left--) {
					if (left >= 1 || pseudoRandom(this._requestCount++) < left) {
						this._sendRequest(instance, route);
					}
				}
			}
		}
	}

	private _sendRequest(instance: Instance, route: Route): void {
		const number = this._requestCount++;
		const position = pseudoRandom(number) * route.parts.reduce((sum, part) => sum + part.weight, 0);
		const service = position < route.parts[0]!.weight ? route.parts[0]!.service : route.parts.at(-1)!.service;
		const objectKey = String(Math.floor(pseudoRandom(number + 0.5) * this._sizes.objects));
		const exchange = { objectKey, requestId: `request-${number}`, isDisconnected: false } as unknown as PlacementCaller;
		const request = {
			exchange,
			route,
			homeRegions: [],
			service,
			tried: new Set<string>(),
			attempts: [],
			permitsDenied: 0
		} as unknown as SimulatedRequest;
		this._attempt(instance, request);
	}

	private _attempt(instance: Instance, request: SimulatedRequest): void {
		const chosen = instance.selector.choose(request, this.now);
		if (!chosen) {
			this.counts.record(REFUSED);
			return;
		}
		const { known, state } = chosen;
		const { id } = known.record;
		this._choices.update(`${id} `);
		request.tried.add(id);
		request.attempts.push(id);
		state.inFlight++;
		if (this.unreachable.has(id)) {
			const outcome = { type: 'not-run', hasArrived: false, cause: NotRunCause.NoConnection } as const;
			const fail = (now: Millis): void => this._fail(instance, request, state, outcome, now);
			instance.running.push({ endsAt: this.now + REFUSAL_MS, complete: fail });
			return;
		}
		if (this._targets.isReplaced(id)) {
			const outcome = { type: 'not-run', hasArrived: true, cause: NotRunCause.OtherTarget } as const;
			const fail = (now: Millis): void => this._fail(instance, request, state, outcome, now);
			instance.running.push({ endsAt: this.now + REFUSAL_MS, complete: fail });
			return;
		}
		this.counts.record(known.region);
		const durationMs = this._targets.startRequest(id);
		const complete = (now: Millis): void => {
			const load = { ...this._targets.endRequest(id), workTimeFactor: this._workTimeFactor };
			instance.outcomeTracker.recordLoad(state, load, now);
			state.inFlight--;
			const response = { type: 'answer', status: 200, rawHeaders: [], endsWithConnection: false } as never;
			instance.outcomeTracker.recordOutcome(request, state, response, durationMs, now);
		};
		instance.running.push({ endsAt: this.now + durationMs, complete });
	}

	/** Handles an attempt that did not run: retries with another target, up to the maximum number of attempts. */
	private _fail(instance: Instance, request: SimulatedRequest, state: TargetState, outcome: NotRun, now: Millis): void {
		state.inFlight--;
		instance.outcomeTracker.recordOutcome(request, state, outcome, REFUSAL_MS, now);
		if (request.tried.size < MAX_ATTEMPTS) {
			this._attempt(instance, request);
		} else {
			this.counts.record(REFUSED);
		}
	}

	private _completeRequests(instance: Instance): void {
		const ended = instance.running.filter(request => request.endsAt <= this.now);
		instance.running = instance.running.filter(request => request.endsAt > this.now);
		ended.forEach(request => request.complete(this.now));
	}
}

/** Returns a deterministic pseudo-random number in [0, 1). */
function pseudoRandom(seed: number): number {
	const value = Math.sin(seed * 12.9898) * 43758.5453;
	return value - Math.floor(value);
}
