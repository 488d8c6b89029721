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
import { type FleetRevision, type TargetRecord, TargetPhase } from '../../fleet/common/fleetTypes.js';
import type { RegionDemand, SyncResponse } from '../../fleet/common/fleetWire.js';
import { RepeatRule, type Route, type RouteTable } from '../../routes/common/routeTable.js';
import { type NotRun, NotRunCause } from '../../forwarding/common/attempt.js';
import type { TargetState } from '../common/targets/targetState.js';
import type { PlacementCaller, PlacementRequest } from '../common/placementRequest.js';
import { OutcomeTracker } from '../common/outcomeTracker.js';
import { TargetSelector } from '../common/targetSelector.js';
import { REFUSED, RegionCounts, WINDOW_MS } from './regionCounts.js';
import { LARGE_SYSTEM, REGIONS } from './simulatedSizes.js';

const STEP_MS = 50;
const SYNC_MS = 500;
/** Time from a target's end until control reports it silent. */
const SILENCE_MS = 4500;
/** How long a target is cold after its start. */
const COLD_MS = 3000;
/** Duration of a request at a target with a free slot. */
const WORK_MS = 400;
const REFUSAL_MS = 100;
/** Maximum fraction of the requests that change their region between two windows. */
export const MAX_MOVED_FRACTION = 0.15;
const MAX_ATTEMPTS = 3;
const SLOTS = 9;

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
	/** When targets ended whose addresses belong to others now, by id. */
	private readonly _replacedAt = new Map<string, Millis>();
	/** Until when targets are cold, by id. */
	private readonly _coldUntil = new Map<string, Millis>();
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
	routeParts: Readonly<Record<string, Route['parts']>> = {
		'/reads/': [{ service: 'reads', weight: 1 }],
		'/commands/': [{ service: 'commands', weight: 1 }]
	};
	/** Requests by the region in which they ran. */
	readonly counts = new RegionCounts(() => this.now);
	private readonly _instances: Instance[];
	private _revision = 1;
	private readonly _records: TargetRecord[];
	/** Number of requests in progress, by target id. */
	private readonly _loads = new Map<string, number>();
	private _requestCount = 0;
	private readonly _choices = createHash('sha256');

	/** @param _workTimeFactor work time that targets report with their load; undefined for none */
	constructor(
		private readonly _workTimeFactor?: number,
		private readonly _sizes = LARGE_SYSTEM
	) {
		this._records = Object.entries(_sizes.targets).flatMap(([service, byRegion]) =>
			Object.entries(byRegion).flatMap(([region, count]) =>
				Array.from({ length: count }, (_, i) => describeTarget(service, region, i))
			)
		);
		this._instances = Array.from({ length: _sizes.instances }, (_, i) => this._newInstance(i));
		this._syncAll();
	}

	/** Returns the ids of the targets of a region, of one service or of all; without those that were replaced. */
	targetsOf(region: string, service?: string): string[] {
		return this._records
			.filter(record => regionOf(record.hall) === region && (service === undefined || record.service === service))
			.map(record => record.id)
			.filter(id => !this._replacedAt.has(id));
	}

	/** Ends targets without notice. Others with new ids take over their addresses; the old ids stay registered. */
	replace(ids: readonly string[]): void {
		for (const id of ids) {
			const record = this._records.find(known => known.id === id)!;
			const replacement = { ...record, id: `${id}+` };
			this._replacedAt.set(id, this.now);
			this._coldUntil.set(replacement.id, this.now + COLD_MS);
			this._records.push(replacement);
		}
		this.change();
	}

	/** Lets control report targets as cold from now on. */
	turnCold(ids: readonly string[]): void {
		ids.forEach(id => this._coldUntil.set(id, this.now + COLD_MS));
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
		return {
			changes: {
				revision: this._revision,
				isWhole: false,
				published: hasChanged ? { table: this._table(), changedAt } : undefined,
				halls: hasChanged ? halls.map(hall => ({ hall, isDrained: this.drained.has(hall), changedAt })) : [],
				targets: hasChanged ? this._records : []
			},
			controls: [],
			contactAgeMs: 0,
			hasHeardAll: true,
			entryCount: this._sizes.instances,
			regionEntries: this._instances?.map((_, i) => `entry-${i}`) ?? [],
			hallPeers: [],
			limitSenders: [],
			silentTargets: [...this.silent, ...this._silentReplacedTargets()],
			coldTargets: [...this._coldUntil]
				.filter(([, until]) => until > this.now)
				.map(([id, until]) => ({ id, leftMs: until - this.now })),
			crowdedTargets: [],
			demand: this.slotDemand
		};
	}

	private _silentReplacedTargets(): string[] {
		return [...this._replacedAt].filter(([, endedAt]) => this.now - endedAt > SILENCE_MS).map(([id]) => id);
	}

	private _table(): RouteTable {
		const services = Object.keys(this._sizes.targets).map(name => ({
			name,
			healthPath: '/health',
			maxConnections: 100,
			coldStartMs: 0,
			coldPerSecond: 5
		}));
		const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
		return { version: this._revision, routes: this._routes(), services, teams: undefined, limits };
	}

	private _routes(): Route[] {
		return Object.entries(this.routeParts).map(([pathPrefix, parts]) => ({
			name: pathPrefix,
			host: 'h',
			pathPrefix,
			repeatRule: RepeatRule.AtMostOnce,
			timeoutMs: 5000,
			objectiveMs: 800,
			rank: 1,
			parts,
			attempts: 2,
			isSticky: true,
			homeRegions: [],
			isPublic: true
		}));
	}

	private _sendAll(): void {
		const routes = this._routes();
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
		if (this._replacedAt.has(id)) {
			const outcome = { type: 'not-run', hasArrived: true, cause: NotRunCause.OtherTarget } as const;
			const fail = (now: Millis): void => this._fail(instance, request, state, outcome, now);
			instance.running.push({ endsAt: this.now + REFUSAL_MS, complete: fail });
			return;
		}
		this.counts.record(known.region);
		const load = (this._loads.get(id) ?? 0) + 1;
		this._loads.set(id, load);
		const durationMs = WORK_MS * Math.max(1, load / SLOTS);
		const complete = (now: Millis): void => {
			const left = this._loads.get(id)! - 1;
			this._loads.set(id, left);
			const load = {
				running: Math.min(left, SLOTS),
				waiting: Math.max(0, left - SLOTS),
				slots: SLOTS,
				workTimeFactor: this._workTimeFactor
			};
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

function regionOf(hall: string): string {
	return hall.slice(0, -2);
}

function describeTarget(service: string, region: string, index: number): TargetRecord {
	return {
		id: `${service}-${region}-${index}`,
		bornAt: 0,
		service,
		address: '127.0.0.1:1',
		hall: `${region}-${index % 2 === 0 ? 'a' : 'b'}`,
		version: 'v',
		slots: SLOTS,
		phase: TargetPhase.Serving,
		changedAt: 1,
		pacedSenders: []
	};
}

/** Returns a deterministic pseudo-random number in [0, 1). */
function pseudoRandom(seed: number): number {
	const value = Math.sin(seed * 12.9898) * 43758.5453;
	return value - Math.floor(value);
}
