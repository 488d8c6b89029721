/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** An entry instance's view of the fleet, built from the responses of control instances. Does no I/O. */

import type { Millis } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import { ownValue } from '../../../base/records.js';
import { RouteIndex } from '../../routes/common/routeIndex.js';
import { type FleetChanges, type FleetRevision, TargetPhase, type TargetRecord } from './fleetTypes.js';
import { QuarantineView } from './quarantineView.js';
import type { EntryPeerList, RegionDemand, SyncResponse } from './fleetWire.js';

/** A target as seen by the placement of requests. */
export interface KnownTarget {
	readonly record: TargetRecord;
	readonly region: string;
	/** Whether its heartbeats are overdue. */
	isSilent: boolean;
	/**
	 * Since when it has been silent while control received heartbeats of other targets in its region, on the monotonic clock;
	 * undefined if that is not so now.
	 */
	silentSince?: Millis;
	/** Until when the target is cold, which limits its request rate; on the monotonic clock. */
	coldUntil: Millis;
	/** Fraction of its objects that it keeps, 0 to 1; less than 1 if it has too few slots for all of them. */
	keptPart: number;
	/** When this incarnation was first reported, on the monotonic clock; 0 if it was part of the first response. */
	readonly knownSince: Millis;
}

/** Reachability of targets as observed by this instance's own requests. */
export interface ITargetReachability {
	/** When a target last answered; undefined if never. */
	answeredAt(id: string): Millis | undefined;
	/** When a connection attempt to a target last failed; undefined if never. */
	unreachableAt(id: string): Millis | undefined;
}

/** Evidence of this instance against a control instance's report that targets of a region are silent. */
export interface SilenceContradiction {
	/** Number of the region's targets that were reported silent. */
	readonly silent: number;
	/** Ids of those that answered this instance recently. */
	readonly answered: readonly string[];
	/** Number of those that recently accepted no connection. */
	readonly unreachable: number;
}

/**
 * How long an answer or a failed connection counts as evidence for or against overdue heartbeats. Must be below 3 s, the
 * minimum time from a target's last answer to its being reported silent: heartbeats are sent every 1.5 s and overdue after 4.5 s.
 */
const REACHABILITY_WINDOW_MS = 2500;

/** A target that has been silent for this long while control receives heartbeats of others of its region is taken to have ended. */
const ENDED_AFTER_MS: Millis = 3000;

/** The fleet as seen by one entry instance. */
export class FleetView {
	/** Suspected and quarantined requests. */
	readonly quarantine = new QuarantineView();
	private readonly _onDidRestartTarget = new Emitter<TargetRecord>();
	/** Fires with the record of the previous incarnation when a target has restarted under the same id. */
	readonly onDidRestartTarget = this._onDidRestartTarget.event;
	private _revision: FleetRevision = 0;
	private _routes?: RouteIndex;
	private _drainedHalls = new Set<string>();
	private readonly _targets = new Map<string, KnownTarget>();
	private readonly _servingByService = new Map<string, KnownTarget[]>();
	private _peakEntryCount = 1;
	private _regionEntries: readonly string[] = [];
	private _hallPeers: readonly string[] = [];
	private _peers: EntryPeerList | undefined;
	private _senderAddresses: ReadonlyMap<string, string> = new Map();
	private _demand: RegionDemand = {};
	private _isComplete = false;
	private _contradictions: ReadonlyMap<string, SilenceContradiction> = new Map();
	private _reachability?: ITargetReachability;

	/** @param _regionOf region of a data hall; undefined for an unknown hall */
	constructor(private readonly _regionOf: (hall: string) => string | undefined) {}

	/** Fleet revision of the view; 0 before the first response. */
	get revision(): FleetRevision {
		return this._revision;
	}

	/** Routes in force; undefined before the first table is received. */
	get routes(): RouteIndex | undefined {
		return this._routes;
	}

	/** Highest entry count ever reported, at least 1; infinite until a control instance with complete observations has responded. */
	get entryCount(): number {
		return this._isComplete ? this._peakEntryCount : Number.POSITIVE_INFINITY;
	}

	/**
	 * Highest entry count ever reported, for dividing limits that all entry instances share: in a network partition each side
	 * counts fewer instances, and their shares must not grow. Before the first complete response it may be too low; waiting for
	 * that response would mean rejecting callers.
	 */
	get peakEntryCount(): number {
		return this._peakEntryCount;
	}

	/** Names of the entry instances in this region. */
	get regionEntries(): readonly string[] {
		return this._regionEntries;
	}

	/** Peer addresses of the other entry instances in this data hall. */
	get hallPeers(): readonly string[] {
		return this._hallPeers;
	}

	/** Other entry instances that requests can be relayed to; undefined before the first response. */
	get peers(): EntryPeerList | undefined {
		return this._peers;
	}

	/** Peer address of an entry instance that may send to targets with limits; undefined if it is not live. */
	senderAddress(name: string): string | undefined {
		return this._senderAddresses.get(name);
	}

	/** By region, why the last report of silent targets has no effect on others there: some of them answer this instance. */
	get contradictions(): ReadonlyMap<string, SilenceContradiction> {
		return this._contradictions;
	}

	/** Slots of a service needed by the callers of a region; undefined if not reported. */
	demandOf(service: string, region: string): number | undefined {
		const byRegion = ownValue(this._demand, service);
		return byRegion && ownValue(byRegion, region);
	}

	/** Targets of a service in phase `Serving`. */
	targetsOf(service: string): readonly KnownTarget[] {
		return this._servingByService.get(service) ?? [];
	}

	/** All targets in phase `Serving`. */
	get servingTargets(): Iterable<KnownTarget> {
		return [...this._servingByService.values()].flat();
	}

	/** Whether a data hall is drained: its targets get no new requests. */
	isDrained(hall: string): boolean {
		return this._drainedHalls.has(hall);
	}

	/** A target by its id. */
	target(id: string): KnownTarget | undefined {
		return this._targets.get(id);
	}

	/**
	 * Applies a response of a control instance. With an older revision than the view's, only its quarantine is applied; with the
	 * same revision, which a late response may have, only its quarantine and observations.
	 */
	apply(response: SyncResponse, now: Millis): void {
		if (response.quarantine) {
			this.quarantine.apply(response.quarantine);
		}
		if (response.changes.revision < this._revision) {
			return;
		}
		if (response.changes.revision > this._revision) {
			this._applyChanges(response.changes, now);
		}
		if (response.hasHeardAll || !this._isComplete) {
			this._isComplete = response.hasHeardAll;
			this._applyObservations(response, now);
		}
		for (const cold of response.coldTargets) {
			const target = this._targets.get(cold.id);
			if (target) {
				target.coldUntil = Math.max(target.coldUntil, now + cold.leftMs);
			}
		}
	}

	/** When a target last answered this instance; undefined if never. */
	answeredAt(id: string): Millis | undefined {
		return this._reachability?.answeredAt(id);
	}

	/**
	 * Whether an incarnation of a target is known to have stopped: it is gone, silent or started anew, or another target has
	 * registered at its address.
	 * @param since when it was last known to run
	 */
	hasStopped({ id, bornAt, address }: TargetRecord, since: Millis): boolean {
		const known = this._targets.get(id);
		if (!known || known.record.phase === TargetPhase.Gone || known.record.bornAt !== bornAt || known.isSilent) {
			return true;
		}
		const isSuccessor = (other: KnownTarget): boolean =>
			other.record.address === address && other.record.id !== id && other.knownSince > since;
		return [...this._targets.values()].some(isSuccessor);
	}

	/** Sets the source of reachability observations. */
	setReachability(reachability: ITargetReachability): void {
		this._reachability = reachability;
	}

	/** Applies what the control instance has observed of entry instances and targets. */
	private _applyObservations(response: SyncResponse, now: Millis): void {
		this._peakEntryCount = Math.max(this._peakEntryCount, response.entryCount);
		this._regionEntries = response.regionEntries;
		this._hallPeers = response.hallPeers;
		this._peers = response.peers ?? this._peers;
		this._senderAddresses = new Map(response.limitSenders?.map(({ name, address }) => [name, address]));
		this._demand = response.demand;
		const silent = response.hasHeardAll ? new Set(response.silentTargets) : new Set<string>();
		this._contradictions = this._findContradictions(silent, now);
		const keptParts = new Map(response.crowdedTargets.map(({ id, keptPart }) => [id, keptPart]));
		const observedRegions = new Set(
			[...this._targets].filter(([id]) => !silent.has(id)).map(([, { region }]) => region)
		);
		for (const [id, target] of this._targets) {
			target.isSilent = silent.has(id) && this._isReportBelieved(target, now);
			const isAlone = target.isSilent && observedRegions.has(target.region);
			target.silentSince = isAlone ? (target.silentSince ?? now) : undefined;
			target.keptPart = keptParts.get(id) ?? 1;
		}
	}

	/**
	 * Whether a report that a target is silent is believed. A contradiction in its region does not apply to a target that has long
	 * been silent while others of the region were not, unless it has answered itself: it has ended.
	 */
	private _isReportBelieved({ record, region, silentSince }: KnownTarget, now: Millis): boolean {
		const contradiction = this._contradictions.get(region);
		if (contradiction === undefined) {
			return true;
		}
		const hasEnded = silentSince !== undefined && now - silentSince >= ENDED_AFTER_MS;
		return hasEnded && !contradiction.answered.includes(record.id);
	}

	/**
	 * Regions in which more of the targets reported silent have recently answered than have failed to connect. The control
	 * instance is then assumed to receive no heartbeats from the region, so that its report is wrong for all targets there.
	 */
	private _findContradictions(silent: ReadonlySet<string>, now: Millis): ReadonlyMap<string, SilenceContradiction> {
		const evidence = new Map<string, { silent: number; answered: string[]; unreachable: number }>();
		for (const id of silent) {
			const region = this._targets.get(id)?.region;
			if (region !== undefined) {
				const ofRegion = evidence.get(region) ?? { silent: 0, answered: [], unreachable: 0 };
				evidence.set(region, ofRegion);
				ofRegion.silent++;
				ofRegion.unreachable += isRecent(this._reachability?.unreachableAt(id), now) ? 1 : 0;
				if (isRecent(this._reachability?.answeredAt(id), now)) {
					ofRegion.answered.push(id);
				}
			}
		}
		return new Map([...evidence].filter(([, { answered, unreachable }]) => answered.length > unreachable));
	}

	private _applyChanges(changes: FleetChanges, now: Millis): void {
		const previous = this._revision;
		this._revision = changes.revision;
		if (changes.published && changes.published.table.version > (this._routes?.table.version ?? 0)) {
			this._routes = new RouteIndex(changes.published.table);
		}
		const known = new Map(this._targets);
		if (changes.isWhole) {
			this._targets.clear();
		}
		const isFirst = previous === 0;
		changes.targets.forEach(record => this._applyTarget(record, known.get(record.id), isFirst ? 0 : now));
		for (const hall of changes.halls) {
			this._applyHall(hall.hall, hall.isDrained, now);
		}
		this._rebuildServingByService();
	}

	/**
	 * @param known the previous state of the target
	 * @param firstSeenAt when a new target was first reported; 0 if it may have been running for longer
	 */
	private _applyTarget(record: TargetRecord, known: KnownTarget | undefined, firstSeenAt: Millis): void {
		if (record.phase === TargetPhase.Gone) {
			this._targets.delete(record.id);
			return;
		}
		const region = this._regionOf(record.hall) ?? '';
		const coldMs = this._routes?.service(record.service)?.coldStartMs ?? 0;
		// A new incarnation inherits no state from the previous one.
		const sameIncarnation = known?.record.bornAt === record.bornAt ? known : undefined;
		if (known && !sameIncarnation) {
			this._onDidRestartTarget.fire(known.record);
		}
		const coldUntil = sameIncarnation?.coldUntil ?? (firstSeenAt > 0 ? firstSeenAt + coldMs : 0);
		const knownSince = sameIncarnation?.knownSince ?? firstSeenAt;
		const keptPart = sameIncarnation?.keptPart ?? 1;
		const isSilent = sameIncarnation?.isSilent ?? false;
		const silentSince = sameIncarnation?.silentSince;
		this._targets.set(record.id, { record, region, isSilent, silentSince, coldUntil, keptPart, knownSince });
	}

	/** Treats the targets of a hall that returns to service as cold: they may have become so while it was drained. */
	private _applyHall(hall: string, isDrained: boolean, now: Millis): void {
		const wasDrained = this._drainedHalls.has(hall);
		if (isDrained) {
			this._drainedHalls.add(hall);
			return;
		}
		this._drainedHalls.delete(hall);
		if (!wasDrained) {
			return;
		}
		for (const target of this._targets.values()) {
			const coldMs = this._routes?.service(target.record.service)?.coldStartMs ?? 0;
			if (target.record.hall === hall) {
				target.coldUntil = Math.max(target.coldUntil, now + coldMs);
			}
		}
	}

	private _rebuildServingByService(): void {
		this._servingByService.clear();
		for (const target of this._targets.values()) {
			if (target.record.phase !== TargetPhase.Serving) {
				continue;
			}
			const group = this._servingByService.get(target.record.service);
			if (group) {
				group.push(target);
			} else {
				this._servingByService.set(target.record.service, [target]);
			}
		}
	}
}

function isRecent(at: Millis | undefined, now: Millis): boolean {
	return at !== undefined && now - at <= REACHABILITY_WINDOW_MS;
}
