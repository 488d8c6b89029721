/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Deterministic simulation of many entry instances that select targets under a given load. Each instance knows only what control sent it and
 * what it learned from its own requests. The simulation has its own clock and a seeded random number generator.
 */

import type { IReturnTimes } from '../../src/plugins/admission/common/returnTimes.js';
import type { ShortageRequest } from '../../src/plugins/admission/common/shortageAdmission.js';
import TinyQueue from 'tinyqueue';
import type { Millis } from '../../src/base/clock.js';
import {
	type IShortageAdmission,
	ShortageOutcome,
	UnrankedAdmission
} from '../../src/plugins/admission/common/shortageAdmission.js';
import { selectPacedSenders } from '../../src/plugins/fleet/common/pacedSenders.js';
import { PaceShare } from '../../src/plugins/fleet/common/paceShare.js';
import { FleetView } from '../../src/plugins/fleet/common/fleetView.js';
import { type EntryDescription, TargetPhase, type TargetRecord } from '../../src/plugins/fleet/common/fleetTypes.js';
import type { SyncResponse } from '../../src/plugins/fleet/common/fleetWire.js';
import type { SenderAddress } from '../../src/plugins/fleet/common/fleetWire.js';
import { type CrowdedTarget, RequestedWork } from '../../src/plugins/fleet/common/requestedWork.js';
import type { AttemptTrace } from '../../src/plugins/forwarding/common/requestTrace.js';
import { ServiceRetryBudget } from '../../src/plugins/forwarding/common/serviceRetryBudget.js';
import { mayRetrySameTarget, refusalCause } from '../../src/plugins/placement/common/targets/targetRefusal.js';
import { NotRunCause } from '../../src/plugins/forwarding/common/attempt.js';
import { parseLoadReport } from '../../src/plugins/placement/common/targets/targetReport.js';
import type { ChosenTarget } from '../../src/plugins/placement/common/targetChoice.js';
import type { CallerExchange } from '../../src/plugins/forwarding/node/callerExchange.js';
import type { RequestContext } from '../../src/plugins/forwarding/node/requestContext.js';
import { OutcomeTracker } from '../../src/plugins/placement/common/outcomeTracker.js';
import { RegionLoad } from '../../src/plugins/placement/common/regionLoad.js';
import { TargetSelector } from '../../src/plugins/placement/common/targetSelector.js';
import { TargetState } from '../../src/plugins/placement/common/targets/targetState.js';
import { RepeatRule, type Route } from '../../src/plugins/routes/common/routeTable.js';
import type { TargetLimitTable } from '../../src/plugins/limits/common/targetLimitTable.js';
import { describeEntry } from '../fakes/describeEntry.js';
import type { CallerGroup, FleetModelSettings, GroupReport, SimulationReport } from './fleetModelTypes.js';
import { LimitedArrivals, createLimitTable } from './limitModel.js';
import { maxMovedFraction } from './movedRequests.js';
import { TargetModel } from './targetModel.js';

const SERVICE = 'service';
const SYNC_MS = 500;
const CROWDED_UPDATE_MS = 250;
/** Round-trip time within a region. */
export const ROUND_TRIP_MS = 2;
/** Round-trip time between regions. */
export const REMOTE_ROUND_TRIP_MS = 70;
const MAX_REFUSALS = 3;
/** Delay until a rate limit reported by an instance is in control's target records. */
const LIMIT_REPORT_MS = 250;
/** Time until all instances apply a new rate limit; earlier arrivals are not counted. */
const LIMIT_PROPAGATION_MS = 4000;
/** Length of the windows over which arrivals are compared with the limit. */
const LIMIT_WINDOW_MS = 4000;
const PEER_CALL_TIMEOUT_MS = 150;
/** Requests that arrive within this time after a backoff request may have been sent before it was known. */
const BACKOFF_PROPAGATION_MS = 500;
/** Windows over which moves between regions are counted begin at each multiple of this; each is `MOVE_WINDOW_BUCKETS` of them long. */
const MOVE_BUCKET_MS = 500;

interface Instance {
	readonly name: string;
	readonly region: string;
	readonly limits: TargetLimitTable;
	readonly view: FleetView;
	readonly selector: TargetSelector;
	readonly outcomes: OutcomeTracker;
	readonly retryBudget: ServiceRetryBudget;
	readonly returnTimes: IReturnTimes | undefined;
	readonly admission: IShortageAdmission;
}

interface CallerRequest {
	readonly objectKey: string | undefined;
	readonly requestId: string;
	readonly firstSentAt: Millis;
	readonly sentAt: Millis;
	readonly isRetry: boolean;
	readonly group: CallerGroup;
}

interface Rejection {
	readonly loadReport: string;
	readonly backoffMs: Millis;
}

interface ScheduledEvent {
	readonly at: Millis;
	readonly order: number;
	readonly run: () => void;
}

/** The simulated fleet. */
export class FleetModel {
	readonly targets = new Map<string, TargetModel>();
	now: Millis = 1000;
	private readonly _regions: readonly string[];
	private readonly _records: TargetRecord[] = [];
	private readonly _instances: Instance[];
	private readonly _events = new TinyQueue<ScheduledEvent>([], (a, b) => a.at - b.at || a.order - b.order);
	private readonly _requestedObjects = new Set<string>();
	private readonly _counts = {
		requests: 0,
		inTime: 0,
		late: 0,
		refused: 0,
		inVain: 0,
		rejected: 0,
		rejectedDuringBackoff: 0,
		permitCalls: 0
	};
	private readonly _limitedArrivals = new Map<string, LimitedArrivals>();
	private readonly _allLimitedArrivals: LimitedArrivals[] = [];
	private _revision = 1;
	/** The latest backoff that each target requested from each instance. */
	private readonly _backoffs = new Map<string, { readonly from: Millis; readonly to: Millis }>();
	private readonly _requestedWork = new RequestedWork();
	private _crowdedTargets: readonly CrowdedTarget[] = [];
	private _scheduledCount = 0;
	private _randomState: number;
	private _isSending = false;
	private _startedAt: Millis = 0;
	private readonly _inTimeBySecond: number[] = [];
	private _earlyCacheMisses = 0;
	/** Numbers of first attempts by region of the callers, time and region of the target. */
	private readonly _firstAttempts = new Map<string, Map<string, number>[]>();
	private readonly _groupReports: Record<string, GroupReport> = {};
	private _slotTimeUsedMs: Millis = 0;
	private _slotTimeMs: Millis = 0;

	constructor(private readonly _settings: FleetModelSettings) {
		this._randomState = _settings.seed;
		this._regions = Object.keys(_settings.targets);
		this._instances = Array.from({ length: _settings.instances }, (_, i) => this._createInstance(i));
		this._scheduleRegistrations();
		this._scheduleCrowdedUpdate();
		this._instances.forEach((instance, i) => this._scheduleSync(instance, (i * SYNC_MS) / _settings.instances));
	}

	/** Simulates load for the given time, then continues without new requests until all have completed. */
	simulate(durationMs: Millis): SimulationReport {
		this._advance(this._settings.registrationMs ?? 0);
		this._advance(2 * SYNC_MS);
		this._isSending = true;
		this._startedAt = this.now;
		this._scheduleNextRequest();
		this._schedule(this.now + (this._settings.steadyAfterMs ?? 0), () => {
			this._earlyCacheMisses = this._cacheMisses();
		});
		this._advance(durationMs);
		this._slotTimeMs = this._records.reduce((total, { slots }) => total + slots * durationMs, 0);
		this._slotTimeUsedMs = [...this.targets.values()].reduce((total, { busyMs }) => total + busyMs, 0);
		this._isSending = false;
		this._advance(durationMs + 20 * this._settings.target.missMs);
		return this._report();
	}

	/** Schedules a change this long after the start of the load; to be called before `simulate`. */
	afterStart(delayMs: Millis, change: () => void): void {
		this._schedule(this.now + (this._settings.registrationMs ?? 0) + 2 * SYNC_MS + delayMs, change);
	}

	targetsIn(region: string): TargetModel[] {
		return this._records.filter(record => regionOf(record.hall) === region).map(record => this.targets.get(record.id)!);
	}

	addTarget(region: string): void {
		this._revision++;
		const id = `${region}-${this._records.length}`;
		const record: TargetRecord = {
			id,
			bornAt: 0,
			service: SERVICE,
			address: `127.0.0.1:${this._records.length}`,
			hall: `${region}-hall`,
			version: 'v',
			slots: this._settings.target.slots,
			phase: TargetPhase.Serving,
			changedAt: this._revision,
			pacedSenders: selectPacedSenders(id, region, this._entries)
		};
		this._records.push(record);
		this.targets.set(id, new TargetModel(id, this._settings.target));
	}

	/** Sets the rate limit that a target reports; undefined for none. */
	setLimit(target: TargetModel, perSecond: number | undefined): void {
		target.limitPerSecond = perSecond;
		this._limitedArrivals.get(target.id)?.end(this.now);
		this._limitedArrivals.delete(target.id);
		if (perSecond !== undefined) {
			const arrivals = new LimitedArrivals(perSecond, this.now + LIMIT_PROPAGATION_MS);
			this._limitedArrivals.set(target.id, arrivals);
			this._allLimitedArrivals.push(arrivals);
		}
	}

	private _advance(durationMs: Millis): void {
		const endAt = this.now + durationMs;
		while (this._events.length > 0 && this._events.peek()!.at <= endAt) {
			const event = this._events.pop()!;
			this.now = Math.max(this.now, event.at);
			event.run();
		}
		this.now = endAt;
	}

	private _schedule(at: Millis, run: () => void): void {
		this._events.push({ at, order: this._scheduledCount++, run });
	}

	/** A random number in [0, 1), from a linear congruential generator with modulus 2^32. */
	private _nextRandom(): number {
		this._randomState = (Math.imul(this._randomState, 1664525) + 1013904223) >>> 0;
		return this._randomState / 2 ** 32;
	}

	private _createInstance(index: number): Instance {
		const region = this._regions[index % this._regions.length]!;
		const view = new FleetView(regionOf);
		const name = `${region}-entry-${index}`;
		const location = { region, hall: `${region}-hall`, name };
		const shifts = { maxMovedFraction: 0.15, windowMs: 2000 };
		const limits = createLimitTable(name, this._settings.limitEnforcement ?? 'permits', this._settings.instances, view);
		limits.onDidChange(() => this._reportLimits(limits));
		const share = new PaceShare(name, () => 0);
		const outcomes = new OutcomeTracker();
		const { workTimes } = this._settings;
		const workProfile = workTimes ? { timesOf: () => workTimes } : outcomes.profile;
		const options = { workProfile, unevenLoad: outcomes };
		const selector = new TargetSelector(view, location, this._regions, shifts, share, limits, options);
		const retryBudget = new ServiceRetryBudget(
			{ ratio: 0.2, windowMs: 10000, slack: 2 * this._settings.instances },
			Number.NEGATIVE_INFINITY
		);
		const returnTimes = this._settings.createReturnTimes?.();
		const admission = this._settings.createAdmission?.() ?? new UnrankedAdmission();
		return { name, region, view, limits, selector, outcomes, retryBudget, returnTimes, admission };
	}

	private get _entries(): EntryDescription[] {
		return this._instances.map(({ name, region }) => describeEntry({ name, region, peerAddress: name }));
	}

	/** Schedules the update of control's target records with the limits that an instance has learned. */
	private _reportLimits(limits: TargetLimitTable): void {
		this._schedule(this.now + LIMIT_REPORT_MS, () => {
			for (const { id, perSecond } of limits.unreportedLimits(this.now)) {
				const index = this._records.findIndex(record => record.id === id);
				const { limitPerSecond, ...record } = this._records[index]!;
				if ((limitPerSecond ?? null) !== perSecond) {
					const limit = perSecond === null ? {} : { limitPerSecond: perSecond };
					this._records[index] = { ...record, ...limit, changedAt: ++this._revision };
				}
			}
		});
	}

	private _scheduleRegistrations(): void {
		const regions = Object.entries(this._settings.targets).flatMap(([region, count]) =>
			Array.from({ length: count }, () => region)
		);
		const registrationMs = this._settings.registrationMs ?? 0;
		regions.forEach((region, i) =>
			this._schedule(this.now + (registrationMs * i) / regions.length, () => this.addTarget(region))
		);
	}

	private _scheduleSync(instance: Instance, delayMs: Millis): void {
		this._schedule(this.now + delayMs, () => {
			const { selector, outcomes } = instance;
			this._requestedWork.addReported(
				selector.takeRequestedWork(service => outcomes.serviceTimeMs(service, this.now)),
				this.now
			);
			instance.view.apply(this._syncResponseFor(instance), this.now);
			this._scheduleSync(instance, SYNC_MS);
		});
	}

	/** Schedules control's periodic search for crowded targets. */
	private _scheduleCrowdedUpdate(): void {
		this._schedule(this.now + CROWDED_UPDATE_MS, () => {
			this._crowdedTargets = this._requestedWork.findCrowded(this._records, regionOf, this.now);
			this._scheduleCrowdedUpdate();
		});
	}

	private _syncResponseFor({ region, view }: Instance): SyncResponse {
		const service = { name: SERVICE, healthPath: '/', maxConnections: 1000, coldStartMs: 0, coldPerSecond: 5 };
		const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
		const table = { version: 1, routes: [], services: [service], teams: undefined, limits };
		return {
			changes: {
				revision: this._revision,
				isWhole: false,
				published: { table, changedAt: 1 },
				halls: [],
				targets: this._records.filter(record => record.changedAt > view.revision)
			},
			controls: [],
			contactAgeMs: 0,
			hasHeardAll: true,
			entryCount: this._instances.length,
			regionEntries: this._instances.flatMap((other, i) => (other.region === region ? [`${region}-entry-${i}`] : [])),
			hallPeers: [],
			limitSenders: this._settings.limitEnforcement === 'senders-only' ? [] : this._limitSenders(),
			silentTargets: [],
			coldTargets: [],
			crowdedTargets: this._crowdedTargets,
			demand: { [SERVICE]: Object.fromEntries(this._regions.map(name => [name, this._demandOf(name)])) }
		};
	}

	private _demandOf(region: string): number {
		if (!this._settings.regionFactor) {
			return (this._settings.requestsPerSecond * this._settings.target.hitMs) / 1000 / this._regions.length;
		}
		const instances = this._instances.filter(instance => instance.region === region);
		return instances.reduce((sum, { outcomes }) => sum + (outcomes.slotsNeeded(this.now)[SERVICE] ?? 0), 0);
	}

	private _limitSenders(): SenderAddress[] {
		const limited = this._records.filter(({ limitPerSecond }) => limitPerSecond !== undefined);
		const names = new Set(limited.flatMap(({ pacedSenders }) => pacedSenders));
		return [...names].map(name => ({ name, address: name }));
	}

	private _scheduleNextRequest(): void {
		const factor = this._settings.loadFactor?.(this.now - this._startedAt) ?? 1;
		const gapMs = (-Math.log(1 - this._nextRandom()) * 1000) / (this._settings.requestsPerSecond * factor);
		this._schedule(this.now + gapMs, () => {
			if (this._isSending) {
				this._sendNewRequest();
				this._scheduleNextRequest();
			}
		});
	}

	private _sendNewRequest(): void {
		const region = this._pickRegion();
		const instance = this._pickInstance(region === undefined ? region : this._entryRegionOf(region));
		const isKeyless = this._nextRandom() < (this._settings.keylessRatio ?? 0);
		const objectNumber = Math.floor(
			this._nextRandom() ** (this._settings.objectSkew ?? 1) * this._settings.objectsPerRegion
		);
		const objectKey = isKeyless ? undefined : `${region ?? instance.region}-${objectNumber}`;
		const group = this._pickGroup();
		this._counts.requests++;
		this._groupReport(group).requests++;
		if (objectKey !== undefined) {
			this._requestedObjects.add(objectKey);
		}
		this._send(instance, {
			objectKey,
			requestId: `request-${this._counts.requests}`,
			firstSentAt: this.now,
			sentAt: this.now,
			isRetry: false,
			group
		});
	}

	private _pickRegion(): string | undefined {
		const { regionFactor } = this._settings;
		if (!regionFactor) {
			return undefined;
		}
		const weights = this._regions.map(region => regionFactor(region, this.now - this._startedAt));
		let left = this._nextRandom() * weights.reduce((sum, weight) => sum + weight, 0);
		return this._regions.find((_, i) => (left -= weights[i]!) < 0);
	}

	private _entryRegionOf(region: string): string {
		const { entryRegion } = this._settings;
		return entryRegion ? entryRegion(region, this.now - this._startedAt, this._nextRandom()) : region;
	}

	private _pickGroup(): CallerGroup {
		const { groups } = this._settings;
		if (!groups) {
			return EQUAL_CALLERS;
		}
		let left = this._nextRandom() * groups.reduce((total, { requestsPerSecond }) => total + requestsPerSecond, 0);
		return groups.find(({ requestsPerSecond }) => (left -= requestsPerSecond) < 0) ?? groups[0]!;
	}

	private _groupReport({ name }: CallerGroup): GroupReport {
		return (this._groupReports[name] ??= { requests: 0, inTime: 0, refused: 0 });
	}

	private _pickInstance(region?: string): Instance {
		const instances = this._instances.filter(instance => region === undefined || instance.region === region);
		return instances[Math.floor(this._nextRandom() * instances.length)]!;
	}

	private _send(instance: Instance, request: CallerRequest): void {
		instance.outcomes.recordRequest(SERVICE, this.now, ROUTE.name);
		instance.retryBudget.recordFirstAttempt(this.now);
		const { objectKey, requestId } = request;
		const exchange = {
			objectKey,
			requestId,
			arrivedAt: this.now,
			isDisconnected: false
		} as unknown as CallerExchange;
		const context = {
			exchange,
			deadline: this.now + this._timeoutMs,
			route: { ...ROUTE, objectiveMs: this._settings.objectiveMs },
			homeRegions: [],
			service: SERVICE,
			tried: new Set<string>(),
			refusals: 0,
			permitsDenied: 0,
			attempts: [],
			rank: request.group.rank,
			teamName: request.group.teamName
		} as unknown as RequestContext;
		this._tryTarget(instance, context, request);
	}

	/** Refuses a request; its caller may retry once, at any instance of the same region. */
	private _refuse(instance: Instance, request: CallerRequest): void {
		const { callerRetryMs } = this._settings;
		const returnMs = instance.returnTimes?.retryAfterMs(this._shortageRequest(request), this.now) ?? callerRetryMs;
		if (returnMs === undefined || request.isRetry) {
			this._counts.refused++;
			this._groupReport(request.group).refused++;
			return;
		}
		this._schedule(this.now + returnMs, () => {
			const other = this._pickInstance(instance.region);
			this._send(other, {
				...request,
				requestId: `${request.requestId}-back`,
				sentAt: this.now,
				isRetry: true
			});
		});
	}

	private get _timeoutMs(): Millis {
		return this._settings.timeoutMs ?? ROUTE.timeoutMs;
	}

	private _choose(instance: Instance, context: RequestContext): ChosenTarget | undefined {
		const { selectById } = this._settings;
		if (!selectById) {
			return instance.selector.choose(context, this.now);
		}
		const { objectKey, requestId } = context.exchange;
		const id = selectById(objectKey ?? requestId, instance.region, this);
		const known = id === undefined ? undefined : instance.view.target(id);
		const regionLoad = new RegionLoad();
		return (
			known && {
				known,
				state: new TargetState(known.record.id, 0, known.record.slots, regionLoad),
				firstRegion: known.region,
				isSpill: false
			}
		);
	}

	private _shortageRequest({ firstSentAt, group }: CallerRequest): ShortageRequest {
		const deadline = firstSentAt + (this._settings.callerTimeoutMs ?? 0);
		return { service: SERVICE, rank: group.rank, teamName: group.teamName, deadline };
	}

	private _tryTarget(instance: Instance, context: RequestContext, request: CallerRequest): void {
		const decision = instance.admission.decide(context, this.now);
		if (decision.kind === 'refuse') {
			this._refuse(instance, request);
			return;
		}
		context.utilizationFactor = decision.utilizationFactor;
		const chosen = this._choose(instance, context);
		if (!chosen) {
			instance.admission.recordOutcome(context, ShortageOutcome.NoTarget, this.now);
			this._refuse(instance, request);
			return;
		}
		const { record } = chosen.known;
		const isLimited = instance.limits.perSecond(record, this.now) !== undefined;
		if (!isLimited || instance.limits.tryTakeOwnPermit(record, this.now)) {
			this._sendTo(instance, context, chosen, request);
		} else {
			this._requestPermit(instance, context, chosen, request);
		}
	}

	/** Requests a permit from a sender of the target; without a permit, selects another target. */
	private _requestPermit(
		instance: Instance,
		context: RequestContext,
		chosen: ChosenTarget,
		request: CallerRequest
	): void {
		const { record } = chosen.known;
		const provider = instance.limits.findPermitProvider(record, this.now);
		const peer = this._instances.find(({ name }) => name === provider?.name);
		if (!peer) {
			context.permitsDenied++;
			this._tryTarget(instance, context, request);
			return;
		}
		this._counts.permitCalls++;
		const roundTripMs = peer.region === instance.region ? ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS;
		const deny = (recordFailure: () => void): void => {
			recordFailure();
			context.permitsDenied++;
			this._tryTarget(instance, context, request);
		};
		if (this._nextRandom() < (this._settings.callLossRatio ?? 0)) {
			this._schedule(this.now + PEER_CALL_TIMEOUT_MS, () =>
				deny(() => instance.limits.recordUnresponsive(peer.name, this.now))
			);
			return;
		}
		this._schedule(this.now + roundTripMs / 2, () => {
			const { isGranted, waitMs } = peer.limits.grantPermit({ targetId: record.id, bornAt: record.bornAt }, this.now);
			this._schedule(this.now + roundTripMs / 2, () => {
				if (isGranted) {
					this._sendTo(instance, context, chosen, request);
				} else {
					deny(() => instance.limits.recordDenied(record, peer.name, waitMs, this.now));
				}
			});
		});
	}

	private _sendTo(instance: Instance, context: RequestContext, chosen: ChosenTarget, request: CallerRequest): void {
		const { known, state } = chosen;
		context.tried.add(known.record.id);
		if (context.attempts.length === 0) {
			this._recordFirstAttempt(instance.region, known.region);
		}
		context.attempts.push({ target: known.record.id } as AttemptTrace);
		state.inFlight++;
		state.isUsed = true;
		const roundTripMs = known.region === instance.region ? ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS;
		this._schedule(this.now + roundTripMs / 2, () =>
			this._handleArrival(instance, context, chosen, request, roundTripMs)
		);
	}

	private _handleArrival(
		instance: Instance,
		context: RequestContext,
		chosen: ChosenTarget,
		request: CallerRequest,
		roundTripMs: Millis
	): void {
		const target = this.targets.get(chosen.known.record.id)!;
		const sentAt = this.now - roundTripMs / 2;
		this._limitedArrivals.get(target.id)?.record(this.now);
		const applyLimit = (limit: number | undefined): void => this._applyLimit(instance, chosen, limit, sentAt);
		const object = context.exchange.objectKey ?? context.exchange.requestId;
		const isAccepted = target.offer(object, this._nextRandom(), this.now, endsAt =>
			this._schedule(endsAt, () => {
				target.release(this.now);
				const { loadReport, limitPerSecond } = target;
				this._schedule(endsAt + roundTripMs / 2, () => {
					applyLimit(limitPerSecond);
					this._handleResponse(instance, context, chosen, sentAt, request, loadReport);
				});
			})
		);
		if (!isAccepted) {
			this._counts.rejected++;
			const { loadReport, backoffMs } = target;
			this._recordBackoff(instance, target, backoffMs);
			const { limitPerSecond } = target;
			this._schedule(this.now + roundTripMs / 2, () => {
				applyLimit(limitPerSecond);
				this._handleRejection(instance, context, chosen, request, { loadReport, backoffMs });
			});
		}
	}

	private _applyLimit(
		instance: Instance,
		{ known }: ChosenTarget,
		limit: number | undefined,
		requestSentAt: Millis
	): void {
		if (this._settings.limitEnforcement !== 'ignored') {
			instance.limits.applyReport(known.record, { perSecond: limit, requestSentAt }, this.now);
		}
	}

	/** Counts a rejected attempt if it arrived during an earlier backoff, and records a new backoff if the target requests one. */
	private _recordBackoff(instance: Instance, target: TargetModel, backoffMs: Millis): void {
		const key = `${this._instances.indexOf(instance)} ${target.id}`;
		const backoff = this._backoffs.get(key);
		if (backoff && this.now > backoff.from + BACKOFF_PROPAGATION_MS && this.now < backoff.to) {
			this._counts.rejectedDuringBackoff++;
		}
		if (backoffMs > 0 && this.now >= (backoff?.to ?? 0)) {
			this._backoffs.set(key, { from: this.now, to: this.now + backoffMs });
		}
	}

	private _handleResponse(
		instance: Instance,
		context: RequestContext,
		{ state }: ChosenTarget,
		sentAt: Millis,
		request: CallerRequest,
		loadReport: string
	): void {
		const isInTime = this.now - request.firstSentAt <= this._settings.objectiveMs;
		this._counts[isInTime ? 'inTime' : 'late']++;
		instance.admission.recordOutcome(context, ShortageOutcome.Completed, this.now);
		if (isInTime) {
			this._groupReport(request.group).inTime++;
			const second = Math.floor((request.firstSentAt - this._startedAt) / 1000);
			this._inTimeBySecond[second] = (this._inTimeBySecond[second] ?? 0) + 1;
		}
		this._counts.inVain += this.now - request.sentAt > this._timeoutMs ? 1 : 0;
		instance.outcomes.recordLoad(state, parseLoadReport(loadReport), this.now);
		const response = { type: 'answer', status: 200, rawHeaders: [], endsWithConnection: false } as never;
		instance.outcomes.recordOutcome(context, state, response, this.now - sentAt, this.now);
		instance.returnTimes?.recordCompletion(this._shortageRequest(request), this.now);
		state.inFlight--;
	}

	private _handleRejection(
		instance: Instance,
		context: RequestContext,
		{ known, state }: ChosenTarget,
		request: CallerRequest,
		{ loadReport, backoffMs }: Rejection
	): void {
		const cause = refusalCause(parseLoadReport(loadReport));
		const outcome = { type: 'not-run', hasArrived: true, cause } as const;
		instance.outcomes.recordLoad(state, parseLoadReport(loadReport), this.now);
		instance.outcomes.recordOutcome(context, state, outcome, 0, this.now);
		state.backoff.apply({ backoffMs, isLeaving: false }, this.now);
		state.inFlight--;
		context.refusals++;
		if (mayRetrySameTarget(cause, known.record.id, context.attempts)) {
			context.tried.delete(known.record.id);
		}
		if (context.refusals < MAX_REFUSALS && instance.retryBudget.tryTake(this._instances.length, this.now)) {
			this._tryTarget(instance, context, request);
		} else {
			const isFull = cause === NotRunCause.Full;
			const shortage = isFull ? ShortageOutcome.TargetFull : ShortageOutcome.Other;
			instance.admission.recordOutcome(context, shortage, this.now);
			this._refuse(instance, request);
		}
	}

	private _cacheMisses(): number {
		return [...this.targets.values()].reduce((sum, target) => sum + target.cacheMisses, 0);
	}

	/** Counts the first attempt of a request by the region of its caller and that of its target. */
	private _recordFirstAttempt(callers: string, target: string): void {
		const buckets = this._firstAttempts.get(callers) ?? [];
		this._firstAttempts.set(callers, buckets);
		const bucket = Math.floor((this.now - this._startedAt) / MOVE_BUCKET_MS);
		const counts = (buckets[bucket] ??= new Map());
		counts.set(target, (counts.get(target) ?? 0) + 1);
	}

	private _report(): SimulationReport {
		const targets = [...this.targets.values()];
		const arrivals = targets.map(target => target.arrivals);
		const total = arrivals.reduce((sum, count) => sum + count, 0);
		return {
			...this._counts,
			peakLimitUtilization: Math.max(
				0,
				...this._allLimitedArrivals.map(arrivals => arrivals.peakUtilization(LIMIT_WINDOW_MS))
			),
			meanLimitUtilization:
				this._allLimitedArrivals.reduce((sum, { utilization }) => sum + utilization, 0) /
				this._allLimitedArrivals.length,
			cacheMisses: this._cacheMisses(),
			laterCacheMisses: this._cacheMisses() - this._earlyCacheMisses,
			maxMovedFraction: Math.max(
				...this._regions.map(region => maxMovedFraction(this._firstAttempts.get(region) ?? []))
			),
			distinctObjects: this._requestedObjects.size,
			groups: this._groupReports,
			slotsUsed: this._slotTimeUsedMs / this._slotTimeMs,
			inTimeBySecond: Array.from(this._inTimeBySecond, count => count ?? 0),
			peakToMeanArrivals: (Math.max(...arrivals) * targets.length) / total
		};
	}
}

const EQUAL_CALLERS: CallerGroup = { name: 'all', rank: { team: 0, route: 1 }, requestsPerSecond: 1 };

const ROUTE: Route = {
	name: 'reads',
	host: 'h',
	pathPrefix: '/reads/',
	repeatRule: RepeatRule.Repeatable,
	timeoutMs: 10000,
	objectiveMs: 2000,
	rank: 1,
	parts: [{ service: SERVICE, weight: 1 }],
	attempts: 2,
	isSticky: true,
	homeRegions: [],
	isPublic: true
};

function regionOf(hall: string): string {
	return hall.slice(0, -'-hall'.length);
}
