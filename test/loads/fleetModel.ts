/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Replays a load pattern against the choices of many entry instances. Each instance knows only what control told it and
 * what its own requests brought; targets work as `TargetModel` says. Time and chance are the replay's own, so that a
 * pattern gives the same figures each time.
 */

import TinyQueue from 'tinyqueue';
import type { Millis } from '../../src/base/clock.js';
import { selectPacedSenders } from '../../src/plugins/fleet/common/pacedSenders.js';
import { PaceShare } from '../../src/plugins/fleet/common/paceShare.js';
import { FleetView } from '../../src/plugins/fleet/common/fleetView.js';
import { type EntryDescription, TargetPhase, type TargetRecord } from '../../src/plugins/fleet/common/fleetTypes.js';
import type { SyncResponse } from '../../src/plugins/fleet/common/fleetWire.js';
import type { SenderAddress } from '../../src/plugins/fleet/common/fleetWire.js';
import { type CrowdedTarget, RequestedWork } from '../../src/plugins/fleet/common/requestedWork.js';
import type { AttemptTrace } from '../../src/plugins/forwarding/common/requestTrace.js';
import { ServiceRetryBudget } from '../../src/plugins/forwarding/common/serviceRetryBudget.js';
import { mayRetrySameTarget, refusalCause } from '../../src/plugins/forwarding/common/targets/targetRefusal.js';
import { parseLoadReport } from '../../src/plugins/forwarding/common/targets/targetReport.js';
import type { ChosenTarget } from '../../src/plugins/forwarding/common/placement/targetChoice.js';
import type { CallerExchange } from '../../src/plugins/forwarding/node/callerExchange.js';
import type { RequestContext } from '../../src/plugins/forwarding/node/requestContext.js';
import { OutcomeTracker } from '../../src/plugins/forwarding/node/targets/outcomeTracker.js';
import { TargetSelector } from '../../src/plugins/forwarding/node/placement/targetSelector.js';
import { RepeatRule, type Route } from '../../src/plugins/routes/common/routeTable.js';
import type { TargetLimitTable } from '../../src/plugins/limits/common/targetLimitTable.js';
import { describeEntry } from '../fakes/describeEntry.js';
import { LimitedArrivals, type LimitWay, limitTableFor } from './limitModel.js';
import { TargetModel, type TargetModelSettings } from './targetModel.js';

const SERVICE = 'service';
const SYNC_MS = 500;
const EXCHANGE_MS = 250;
/** There and back between an instance and a target of its region. */
const ROUND_TRIP_MS = 2;
const FAR_ROUND_TRIP_MS = 70;
const MAX_REFUSALS = 3;
/** From the word of an instance to its record in the log. */
const TOLD_MS = 250;
/** Requests to a target with a limit count from so long after it named that, and over windows of this length. */
const CONTACT_MS = 4000;
const WINDOW_MS = 4000;
/** A call between instances without an answer is given up after this. */
const LOST_CALL_MS = 150;
/** What is on its way when a target asks for rest may still arrive for this long. */
const ON_ITS_WAY_MS = 500;

/** The size and the load of a replay. */
export interface FleetModelSettings {
	readonly seed: number;
	/** Targets by region; instances and callers are spread evenly over the regions. */
	readonly targets: Readonly<Record<string, number>>;
	readonly instances: number;
	/** Objects that the callers of each region ask for, each as often as the others. */
	readonly objects: number;
	/** Requests a second of all callers. */
	readonly rate: number;
	/** How many times as much callers send, by the time since their first request; 1 where it is left out. */
	readonly surge?: (sinceStartMs: Millis) => number;
	/** Whether a caller that was refused comes back once, after this time; it does not where it is left out. */
	readonly comesBackMs?: Millis;
	/** Within this time a caller wants the answer. */
	readonly objectiveMs: Millis;
	readonly target: TargetModelSettings;
	/** Part of the requests that are about no object. */
	readonly unboundPart?: number;
	/** How instances keep to the limits that targets name; two senders are asked where it is left out. */
	readonly limitWay?: LimitWay;
	/** Part of the calls between instances that are lost. */
	readonly lostCalls?: number;
	/** Time between the first and the last target that registers, before the callers come; instances run from the start. */
	readonly registrationMs?: Millis;
}

/** What became of the requests. */
export interface ReplayReport {
	readonly requests: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	/** Requests that a target turned away. */
	readonly turnedAway: number;
	/** Requests that reached a target half a second and more after it had asked their instance for rest, before its end. */
	readonly duringRest: number;
	/** The most that reached a target with a limit in 4 s from 4 s after it named that, as times of what it allows in them. */
	readonly mostOfLimit: number;
	/** Part of the limits that was used in that time, on average. */
	readonly usedOfLimit: number;
	/** Calls for permits within limits. */
	readonly permitCalls: number;
	/** Requests whose target did not have their object at hand. */
	readonly firstTouches: number;
	/** Objects that were asked for: no choice of targets needs fewer first touches. */
	readonly leastFirstTouches: number;
	/** Arrivals at the target with most of them, as times of the mean. */
	readonly busiest: number;
	/** Requests answered in time, by the second since the first request in which they were sent. */
	readonly inTimeBySecond: readonly number[];
}

interface Instance {
	readonly name: string;
	readonly region: string;
	readonly limits: TargetLimitTable;
	readonly view: FleetView;
	readonly selector: TargetSelector;
	readonly notes: OutcomeTracker;
	readonly retries: ServiceRetryBudget;
}

/** What a caller asks; it may come back with it. */
interface CallerRequest {
	readonly objectKey: string | undefined;
	readonly requestId: string;
	/** When it was sent first. */
	readonly askedAt: Millis;
	readonly isBack: boolean;
}

/** What goes with an answer that turns a request away. */
interface Refusal {
	readonly loadWord: string;
	readonly restMs: Millis;
}

interface Scheduled {
	readonly at: Millis;
	readonly order: number;
	readonly run: () => void;
}

/** The fleet of a replay. */
export class FleetModel {
	readonly targets = new Map<string, TargetModel>();
	now: Millis = 1000;
	private readonly _regions: readonly string[];
	private readonly _records: TargetRecord[] = [];
	private readonly _instances: Instance[];
	private readonly _events = new TinyQueue<Scheduled>([], (a, b) => a.at - b.at || a.order - b.order);
	private readonly _asked = new Set<string>();
	private readonly _counts = {
		requests: 0,
		inTime: 0,
		late: 0,
		refused: 0,
		turnedAway: 0,
		duringRest: 0,
		permitCalls: 0
	};
	private readonly _limited = new Map<string, LimitedArrivals>();
	private readonly _everLimited: LimitedArrivals[] = [];
	private _revision = 1;
	/** The latest rest that a target asked of an instance. */
	private readonly _rests = new Map<string, { readonly from: Millis; readonly to: Millis }>();
	private readonly _needs = new RequestedWork();
	private _crowded: readonly CrowdedTarget[] = [];
	private _order = 0;
	private _random: number;
	private _isAsking = false;
	private _startedAt: Millis = 0;
	private readonly _inTimeBySecond: number[] = [];

	constructor(private readonly _settings: FleetModelSettings) {
		this._random = _settings.seed;
		this._regions = Object.keys(_settings.targets);
		this._instances = Array.from({ length: _settings.instances }, (_, i) => this._newInstance(i));
		this._registerAll();
		this._keepCrowded();
		this._instances.forEach((instance, i) => this._keepInSync(instance, (i * SYNC_MS) / _settings.instances));
	}

	/** Lets callers ask for a time, and waits until all of their requests have ended. */
	replay(spanMs: Millis): ReplayReport {
		this._pass(this._settings.registrationMs ?? 0);
		this._pass(2 * SYNC_MS);
		this._isAsking = true;
		this._startedAt = this.now;
		this._scheduleNextRequest();
		this._pass(spanMs);
		this._isAsking = false;
		this._pass(spanMs + 20 * this._settings.target.firstMs);
		return this._report();
	}

	/** Changes something while callers ask, this long after their first request. */
	afterStart(delayMs: Millis, change: () => void): void {
		this._at(this.now + (this._settings.registrationMs ?? 0) + 2 * SYNC_MS + delayMs, change);
	}

	/** Targets of a region; a test changes how they behave. */
	targetsIn(region: string): TargetModel[] {
		return this._records.filter(record => regionOf(record.hall) === region).map(record => this.targets.get(record.id)!);
	}

	/** Adds a target while time goes on. */
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

	/** A target names a limit from now on, or none any more. */
	setLimit(target: TargetModel, perSecond: number | undefined): void {
		target.limitPerSecond = perSecond;
		this._limited.get(target.id)?.end(this.now);
		this._limited.delete(target.id);
		if (perSecond !== undefined) {
			const arrivals = new LimitedArrivals(perSecond, this.now + CONTACT_MS);
			this._limited.set(target.id, arrivals);
			this._everLimited.push(arrivals);
		}
	}

	private _pass(spanMs: Millis): void {
		const until = this.now + spanMs;
		while (this._events.length > 0 && this._events.peek()!.at <= until) {
			const event = this._events.pop()!;
			this.now = Math.max(this.now, event.at);
			event.run();
		}
		this.now = until;
	}

	private _at(at: Millis, run: () => void): void {
		this._events.push({ at, order: this._order++, run });
	}

	/** A number in [0, 1) that depends on the seed only. */
	private _chance(): number {
		this._random = (Math.imul(this._random, 1664525) + 1013904223) >>> 0;
		return this._random / 2 ** 32;
	}

	private _newInstance(index: number): Instance {
		const region = this._regions[index % this._regions.length]!;
		const view = new FleetView(regionOf);
		const name = `${region}-entry-${index}`;
		const place = { region, hall: `${region}-hall`, name };
		const shifts = { maxMovedFraction: 0.15, windowMs: 2000 };
		const limits = limitTableFor(name, this._settings.limitWay ?? 'asked', this._settings.instances, view);
		limits.onDidChange(() => this._tellLimits(limits));
		const share = new PaceShare(name, () => 0);
		const selector = new TargetSelector(view, place, this._regions, shifts, share, limits);
		const retries = new ServiceRetryBudget({ ratio: 0.2, windowMs: 10000, slack: 2 * this._settings.instances });
		return { name, region, view, limits, selector, notes: new OutcomeTracker(), retries };
	}

	private get _entries(): EntryDescription[] {
		return this._instances.map(({ name, region }) => describeEntry({ name, region, peerAddress: name }));
	}

	/** What an instance heard stands in the records a little later. */
	private _tellLimits(limits: TargetLimitTable): void {
		this._at(this.now + TOLD_MS, () => {
			for (const { id, perSecond } of limits.untold(this.now)) {
				const place = this._records.findIndex(record => record.id === id);
				const { limitPerSecond, ...record } = this._records[place]!;
				if ((limitPerSecond ?? null) !== perSecond) {
					const limit = perSecond === null ? {} : { limitPerSecond: perSecond };
					this._records[place] = { ...record, ...limit, changedAt: ++this._revision };
				}
			}
		});
	}

	private _registerAll(): void {
		const regions = Object.entries(this._settings.targets).flatMap(([region, count]) =>
			Array.from({ length: count }, () => region)
		);
		const span = this._settings.registrationMs ?? 0;
		regions.forEach((region, i) => this._at(this.now + (span * i) / regions.length, () => this.addTarget(region)));
	}

	private _keepInSync(instance: Instance, delayMs: Millis): void {
		this._at(this.now + delayMs, () => {
			const { selector, notes } = instance;
			this._needs.addReported(
				selector.takeRequestedWork(service => notes.serviceTimeMs(service, this.now)),
				this.now
			);
			instance.view.apply(this._responseTo(instance), this.now);
			this._keepInSync(instance, SYNC_MS);
		});
	}

	/** What control works out of the needs, a short time after it was told. */
	private _keepCrowded(): void {
		this._at(this.now + EXCHANGE_MS, () => {
			this._crowded = this._needs.findCrowded(this._records, regionOf, this.now);
			this._keepCrowded();
		});
	}

	private _responseTo({ region, view }: Instance): SyncResponse {
		const service = { name: SERVICE, healthPath: '/', maxConnections: 1000, coldStartMs: 0, coldPerSecond: 5 };
		const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
		const table = { version: 1, routes: [], services: [service], teams: undefined, limits };
		const need = (this._settings.rate * this._settings.target.laterMs) / 1000 / this._regions.length;
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
			limitSenders: this._settings.limitWay === 'senders' ? [] : this._limitSenders(),
			silentTargets: [],
			coldTargets: [],
			crowdedTargets: this._crowded,
			demand: { [SERVICE]: Object.fromEntries(this._regions.map(name => [name, need])) }
		};
	}

	private _limitSenders(): SenderAddress[] {
		const limited = this._records.filter(({ limitPerSecond }) => limitPerSecond !== undefined);
		const names = new Set(limited.flatMap(({ pacedSenders }) => pacedSenders));
		return [...names].map(name => ({ name, address: name }));
	}

	private _scheduleNextRequest(): void {
		const factor = this._settings.surge?.(this.now - this._startedAt) ?? 1;
		const gapMs = (-Math.log(1 - this._chance()) * 1000) / (this._settings.rate * factor);
		this._at(this.now + gapMs, () => {
			if (this._isAsking) {
				this._ask();
				this._scheduleNextRequest();
			}
		});
	}

	private _ask(): void {
		const instance = this._anyInstance();
		const isUnbound = this._chance() < (this._settings.unboundPart ?? 0);
		const number = Math.floor(this._chance() * this._settings.objects);
		const objectKey = isUnbound ? undefined : `${instance.region}-${number}`;
		this._counts.requests++;
		if (objectKey !== undefined) {
			this._asked.add(objectKey);
		}
		this._send(instance, {
			objectKey,
			requestId: `request-${this._counts.requests}`,
			askedAt: this.now,
			isBack: false
		});
	}

	private _anyInstance(region?: string): Instance {
		const instances = this._instances.filter(instance => region === undefined || instance.region === region);
		return instances[Math.floor(this._chance() * instances.length)]!;
	}

	private _send(instance: Instance, request: CallerRequest): void {
		instance.notes.recordRequest(SERVICE, this.now);
		instance.retries.recordFirstAttempt(this.now);
		const { objectKey, requestId } = request;
		const exchange = { objectKey, requestId, isDisconnected: false } as unknown as CallerExchange;
		const journey = {
			exchange,
			route: { ...ROUTE, objectiveMs: this._settings.objectiveMs },
			homeRegions: [],
			service: SERVICE,
			tried: new Set<string>(),
			refusals: 0,
			permitsDenied: 0,
			attempts: []
		} as unknown as RequestContext;
		this._try(instance, journey, request);
	}

	/** The caller is refused; it may come back once, to any instance of its region. */
	private _refuse(instance: Instance, request: CallerRequest): void {
		const { comesBackMs } = this._settings;
		if (comesBackMs === undefined || request.isBack) {
			this._counts.refused++;
			return;
		}
		this._at(this.now + comesBackMs, () => {
			const other = this._anyInstance(instance.region);
			this._send(other, { ...request, requestId: `${request.requestId}-back`, isBack: true });
		});
	}

	private _try(instance: Instance, journey: RequestContext, request: CallerRequest): void {
		const chosen = instance.selector.choose(journey, this.now);
		if (!chosen) {
			this._refuse(instance, request);
			return;
		}
		const { record } = chosen.known;
		const isLimited = instance.limits.perSecond(record, this.now) !== undefined;
		if (!isLimited || instance.limits.takeOwn(record, this.now)) {
			this._sendTo(instance, journey, chosen, request);
		} else {
			this._askForPermit(instance, journey, chosen, request);
		}
	}

	/** Asks a sender of the target for a permit; without one the request looks for another target. */
	private _askForPermit(
		instance: Instance,
		journey: RequestContext,
		chosen: ChosenTarget,
		request: CallerRequest
	): void {
		const { record } = chosen.known;
		const lender = instance.limits.lender(record, this.now);
		const other = this._instances.find(({ name }) => name === lender?.name);
		if (!other) {
			journey.permitsDenied++;
			this._try(instance, journey, request);
			return;
		}
		this._counts.permitCalls++;
		const wayMs = other.region === instance.region ? ROUND_TRIP_MS : FAR_ROUND_TRIP_MS;
		const deny = (note: () => void): void => {
			note();
			journey.permitsDenied++;
			this._try(instance, journey, request);
		};
		if (this._chance() < (this._settings.lostCalls ?? 0)) {
			this._at(this.now + LOST_CALL_MS, () => deny(() => instance.limits.noteSilent(other.name, this.now)));
			return;
		}
		this._at(this.now + wayMs / 2, () => {
			const { isGranted, waitMs } = other.limits.lend({ targetId: record.id, bornAt: record.bornAt }, this.now);
			this._at(this.now + wayMs / 2, () => {
				if (isGranted) {
					this._sendTo(instance, journey, chosen, request);
				} else {
					deny(() => instance.limits.noteDenied(record, other.name, waitMs, this.now));
				}
			});
		});
	}

	private _sendTo(instance: Instance, journey: RequestContext, chosen: ChosenTarget, request: CallerRequest): void {
		const { known, state } = chosen;
		journey.tried.add(known.record.id);
		journey.attempts.push({ target: known.record.id } as AttemptTrace);
		state.inFlight++;
		state.isUsed = true;
		const wayMs = known.region === instance.region ? ROUND_TRIP_MS : FAR_ROUND_TRIP_MS;
		this._at(this.now + wayMs / 2, () => this._arrive(instance, journey, chosen, request, wayMs));
	}

	private _arrive(
		instance: Instance,
		journey: RequestContext,
		chosen: ChosenTarget,
		request: CallerRequest,
		wayMs: Millis
	): void {
		const target = this.targets.get(chosen.known.record.id)!;
		const sentAt = this.now - wayMs / 2;
		this._limited.get(target.id)?.note(this.now);
		const hear = (limit: number | undefined): void => this._hearLimit(instance, chosen, limit, sentAt);
		const object = journey.exchange.objectKey ?? journey.exchange.requestId;
		const isTaken = target.offer(object, this._chance(), this.now, endsAt =>
			this._at(endsAt, () => {
				target.release(this.now);
				const { loadWord, limitPerSecond } = target;
				this._at(endsAt + wayMs / 2, () => {
					hear(limitPerSecond);
					this._answer(instance, journey, chosen, sentAt, request, loadWord);
				});
			})
		);
		if (!isTaken) {
			this._counts.turnedAway++;
			const { loadWord, restMs } = target;
			this._noteRest(instance, target, restMs);
			const { limitPerSecond } = target;
			this._at(this.now + wayMs / 2, () => {
				hear(limitPerSecond);
				this._turnAway(instance, journey, chosen, request, { loadWord, restMs });
			});
		}
	}

	private _hearLimit(instance: Instance, { known }: ChosenTarget, limit: number | undefined, askedAt: Millis): void {
		if (this._settings.limitWay !== 'unheard') {
			instance.limits.hear(known.record, { perSecond: limit, askedAt }, this.now);
		}
	}

	/** Counts what reaches a target that wants nothing from an instance, but for what may be on its way. */
	private _noteRest(instance: Instance, target: TargetModel, restMs: Millis): void {
		const key = `${this._instances.indexOf(instance)} ${target.id}`;
		const asked = this._rests.get(key);
		if (asked && this.now > asked.from + ON_ITS_WAY_MS && this.now < asked.to) {
			this._counts.duringRest++;
		}
		if (restMs > 0 && this.now >= (asked?.to ?? 0)) {
			this._rests.set(key, { from: this.now, to: this.now + restMs });
		}
	}

	private _answer(
		instance: Instance,
		journey: RequestContext,
		{ state }: ChosenTarget,
		sentAt: Millis,
		request: CallerRequest,
		loadWord: string
	): void {
		const isInTime = this.now - request.askedAt <= this._settings.objectiveMs;
		this._counts[isInTime ? 'inTime' : 'late']++;
		if (isInTime) {
			const second = Math.floor((request.askedAt - this._startedAt) / 1000);
			this._inTimeBySecond[second] = (this._inTimeBySecond[second] ?? 0) + 1;
		}
		instance.notes.recordLoad(state, parseLoadReport(loadWord), this.now);
		const answer = { type: 'answer', status: 200, rawHeaders: [], endsWithConnection: false } as never;
		instance.notes.recordOutcome(journey, state, answer, this.now - sentAt, this.now);
		state.inFlight--;
	}

	private _turnAway(
		instance: Instance,
		journey: RequestContext,
		{ known, state }: ChosenTarget,
		request: CallerRequest,
		{ loadWord, restMs }: Refusal
	): void {
		const cause = refusalCause(parseLoadReport(loadWord));
		const outcome = { type: 'not-run', hasArrived: true, cause } as const;
		instance.notes.recordLoad(state, parseLoadReport(loadWord), this.now);
		instance.notes.recordOutcome(journey, state, outcome, 0, this.now);
		state.backoff.apply({ backoffMs: restMs, isLeaving: false }, this.now);
		state.inFlight--;
		journey.refusals++;
		if (mayRetrySameTarget(cause, known.record.id, journey.attempts)) {
			journey.tried.delete(known.record.id);
		}
		if (journey.refusals < MAX_REFUSALS && instance.retries.tryTake(this._instances.length, this.now)) {
			this._try(instance, journey, request);
		} else {
			this._refuse(instance, request);
		}
	}

	private _report(): ReplayReport {
		const targets = [...this.targets.values()];
		const arrivals = targets.map(target => target.arrivals);
		const total = arrivals.reduce((sum, count) => sum + count, 0);
		return {
			...this._counts,
			mostOfLimit: Math.max(0, ...this._everLimited.map(limited => limited.mostInWindow(WINDOW_MS))),
			usedOfLimit: this._everLimited.reduce((sum, { usedPart }) => sum + usedPart, 0) / this._everLimited.length,
			firstTouches: targets.reduce((sum, target) => sum + target.firstTouches, 0),
			leastFirstTouches: this._asked.size,
			inTimeBySecond: Array.from(this._inTimeBySecond, count => count ?? 0),
			busiest: (Math.max(...arrivals) * targets.length) / total
		};
	}
}

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
