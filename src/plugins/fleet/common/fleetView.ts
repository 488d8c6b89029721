/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What an entry instance knows of the fleet; pure, fed with the answers of control instances. */

import type { Millis } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import { RouteIndex } from '../../routes/common/routeIndex.js';
import { type FleetChanges, type FleetRevision, TargetPhase, type TargetRecord } from './fleetTypes.js';
import { KnownQuarantine } from './knownQuarantine.js';
import type { RegionDemand, SyncResponse } from './fleetWire.js';

/** A target as requests are placed by it. */
export interface KnownTarget {
	readonly record: TargetRecord;
	readonly region: string;
	/** Its heartbeats are overdue. */
	isSilent: boolean;
	/** Until then it bears little; on the monotonic clock. */
	coldUntil: Millis;
	/** Part of its objects that it keeps, 0 to 1: less than one where it can't serve all of them. */
	keptPart: number;
	/** When this view first heard of it, on the monotonic clock; 0 for what was there when the view began. */
	readonly knownSince: Millis;
}

/** What an instance's own requests say of targets. */
export interface ITargetWitness {
	/** When a target last answered; undefined for never. */
	answeredAt(id: string): Millis | undefined;
	/** When a connection to a target last did not come up; undefined for never. */
	unreachableAt(id: string): Millis | undefined;
}

/**
 * An answer or a failed connection counts against control's word on silence for this long. Less than the three seconds that
 * pass at least between a target's last answer and the word that it is silent: a heartbeat is overdue after 4.5 s, and they
 * come every 1.5 s.
 */
const WITNESS_AGE_MS = 2500;

/** The fleet as one entry instance sees it. */
export class FleetView {
	/** The suspected and quarantined requests. */
	readonly quarantine = new KnownQuarantine();
	private readonly _onDidOutlive = new Emitter<TargetRecord>();
	/** Fires with the earlier life of a target that has started again under its id. */
	readonly onDidOutlive = this._onDidOutlive.event;
	private _revision: FleetRevision = 0;
	private _routes?: RouteIndex;
	private _drainedHalls = new Set<string>();
	private readonly _targets = new Map<string, KnownTarget>();
	private readonly _byService = new Map<string, KnownTarget[]>();
	private _entryCount = 1;
	private _mostEntries = 1;
	private _regionEntries: readonly string[] = [];
	private _hallPeers: readonly string[] = [];
	private _senderAddresses: ReadonlyMap<string, string> = new Map();
	private _demand: RegionDemand = {};
	private _hasHeardAll = false;
	private _contradicted: ReadonlySet<string> = new Set();
	private _witness?: ITargetWitness;

	/** @param _regionOf the region of a hall; undefined for a hall that is not known */
	constructor(private readonly _regionOf: (hall: string) => string | undefined) {}

	/** The revision held; 0 before the first answer. */
	get revision(): FleetRevision {
		return this._revision;
	}

	/** The routes in force; undefined before the first table is known. */
	get routes(): RouteIndex | undefined {
		return this._routes;
	}

	/** Entry instances in the system, at least one; infinite until somebody told who hears of all of them. */
	get entryCount(): number {
		return this._hasHeardAll ? this._entryCount : Number.POSITIVE_INFINITY;
	}

	/**
	 * The most entry instances that this view ever knew of, for parts of what all of them may have: after a cut both sides hear of fewer,
	 * and their parts must not grow. Who answers right after its own start may know of fewer; to wait for all would refuse callers.
	 */
	get mostEntries(): number {
		return this._mostEntries;
	}

	/** Names of the entry instances of this region. */
	get regionEntries(): readonly string[] {
		return this._regionEntries;
	}

	/** Addresses for calls between processes of the other entry instances of this data hall. */
	get hallPeers(): readonly string[] {
		return this._hallPeers;
	}

	/** Address for calls between processes of a sender of targets with limits; undefined where it is not heard. */
	senderAddress(name: string): string | undefined {
		return this._senderAddresses.get(name);
	}

	/** Regions in which control's latest word on silent targets is not believed, since they answer here. */
	get contradictedRegions(): ReadonlySet<string> {
		return this._contradicted;
	}

	/** Slots of a service that a region's callers need; undefined where control did not say. */
	demandOf(service: string, region: string): number | undefined {
		return this._demand[service]?.[region];
	}

	/** Targets of a service that may get work. */
	targetsOf(service: string): readonly KnownTarget[] {
		return this._byService.get(service) ?? [];
	}

	/** Whether a hall's targets are to get nothing. */
	isDrained(hall: string): boolean {
		return this._drainedHalls.has(hall);
	}

	/** A target by its id. */
	target(id: string): KnownTarget | undefined {
		return this._targets.get(id);
	}

	/**
	 * Takes in an answer. One with an older revision changes nothing; one with the same revision, which may come twice where an
	 * answer was late, brings only what was heard of late.
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
		if (response.hasHeardAll || !this._hasHeardAll) {
			this._hasHeardAll = response.hasHeardAll;
			this._applyHearsay(response, now);
		}
		for (const cold of response.coldTargets) {
			const target = this._targets.get(cold.id);
			if (target) {
				target.coldUntil = Math.max(target.coldUntil, now + cold.leftMs);
			}
		}
	}

	/** Names who knows of targets by requests of its own. */
	setWitness(witness: ITargetWitness): void {
		this._witness = witness;
	}

	/** Takes in what the answerer heard from others. */
	private _applyHearsay(response: SyncResponse, now: Millis): void {
		this._entryCount = Math.max(1, response.entryCount);
		this._mostEntries = Math.max(this._mostEntries, this._entryCount);
		this._regionEntries = response.regionEntries;
		this._hallPeers = response.hallPeers;
		this._senderAddresses = new Map(response.limitSenders?.map(({ name, address }) => [name, address]));
		this._demand = response.demand;
		const silent = response.hasHeardAll ? new Set(response.silentTargets) : new Set<string>();
		this._contradicted = this._findContradicted(silent, now);
		const kept = new Map(response.crowdedTargets.map(({ id, keptPart }) => [id, keptPart]));
		for (const [id, target] of this._targets) {
			target.isSilent = silent.has(id) && !this._contradicted.has(target.region);
			target.keptPart = kept.get(id) ?? 1;
		}
	}

	/**
	 * Regions whose targets are called silent while they answer here. More answers than failed connections of late, among the
	 * targets that are called silent, say that the word is wrong about all of them: it comes from somebody who does not hear
	 * the region.
	 */
	private _findContradicted(silent: ReadonlySet<string>, now: Millis): ReadonlySet<string> {
		const balance = new Map<string, number>();
		for (const id of silent) {
			const target = this._targets.get(id);
			if (target) {
				const said = isRecent(this._witness?.answeredAt(id), now) ? 1 : 0;
				const denied = isRecent(this._witness?.unreachableAt(id), now) ? 1 : 0;
				balance.set(target.region, (balance.get(target.region) ?? 0) + said - denied);
			}
		}
		return new Set([...balance].filter(([, count]) => count > 0).map(([region]) => region));
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
		this._groupByService();
	}

	/**
	 * @param known the target as it was known before
	 * @param heardAt when a target that was not known was heard of; 0 where it may have run for long
	 */
	private _applyTarget(record: TargetRecord, known: KnownTarget | undefined, heardAt: Millis): void {
		if (record.phase === TargetPhase.Gone) {
			this._targets.delete(record.id);
			return;
		}
		const region = this._regionOf(record.hall) ?? '';
		const coldMs = this._routes?.service(record.service)?.coldStartMs ?? 0;
		// A later life holds and knows nothing of what the earlier one did.
		const before = known?.record.bornAt === record.bornAt ? known : undefined;
		if (known && !before) {
			this._onDidOutlive.fire(known.record);
		}
		const coldUntil = before?.coldUntil ?? (heardAt > 0 ? heardAt + coldMs : 0);
		const knownSince = before?.knownSince ?? heardAt;
		const keptPart = before?.keptPart ?? 1;
		this._targets.set(record.id, { record, region, isSilent: false, coldUntil, keptPart, knownSince });
	}

	/** A hall that is taken back may have turned cold while it was drained. */
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

	private _groupByService(): void {
		this._byService.clear();
		for (const target of this._targets.values()) {
			if (target.record.phase !== TargetPhase.Serving) {
				continue;
			}
			const group = this._byService.get(target.record.service);
			if (group) {
				group.push(target);
			} else {
				this._byService.set(target.record.service, [target]);
			}
		}
	}
}

function isRecent(at: Millis | undefined, now: Millis): boolean {
	return at !== undefined && now - at <= WITNESS_AGE_MS;
}
