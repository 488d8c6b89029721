/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The fleet's control side: keeps sightings, tells the others of them, answers entry instances and look-ups. */

import { Disposable, toDisposable } from '../../../base/disposable.js';
import { type Millis, systemClock } from '../../../base/clock.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { Team } from '../../routes/common/routeTable.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import { entriesFor, mayNameHeard, sumDemand, withRemembered } from '../common/entryLookUp.js';
import { FleetUnavailableError, type IFleetControl, type TargetHeartbeat } from '../common/fleetControl.js';
import { FleetState } from '../common/fleetState.js';
import {
	type EntryDescription,
	type FleetCommand,
	type FleetResult,
	type PublishedTable,
	TargetPhase
} from '../common/fleetTypes.js';
import {
	exchangeMethod,
	type SenderAddress,
	syncMethod,
	type SyncRequest,
	type SyncResponse
} from '../common/fleetWire.js';
import { HearingClock } from '../common/hearingClock.js';
import type { PlaceSettings } from '../common/placeSettings.js';
import { QuarantineState } from '../common/quarantineState.js';
import type { QuarantineRecord } from '../common/quarantineTypes.js';
import { Sightings } from '../common/sightings.js';
import { type CrowdedTarget, TargetNeeds } from '../common/targetNeeds.js';
import { ChangeWaiters } from './changeWaiters.js';
import { EntryRosterFile } from './entryRosterFile.js';
import { FleetOrders } from './fleetOrders.js';
import { PaceKeeper } from './paceKeeper.js';
import { QuarantineKeeper } from './quarantineKeeper.js';
import { TargetRegistrar } from './targetRegistrar.js';

const EXCHANGE_INTERVAL_MS = 250;
const EXCHANGE_TIMEOUT_MS = 1000;
/** A control instance that was not in touch with its leader for this long takes no heartbeats. */
const CUT_OFF_MS = 1500;
/** Within this time of its leader's word, what an instance hears of the others is taken to be all there is. */
const IN_TOUCH_MS = 600;
const MAX_WAIT_MS = 2000;
const ENTRY_SILENT_MS = 2500;
const TARGET_SILENT_MS = 4500;
/** Time between lines about crowded targets while there are some. */
const CROWDED_LINE_MS = 10000;
/** The fleet on a control instance. */
export class FleetControlTask extends Disposable implements IFleetControl {
	private readonly _state = new FleetState();
	private readonly _quarantine = new QuarantineState();
	private readonly _startedAt = systemClock.now();
	private readonly _sightings = new Sightings(
		{ entrySilentMs: ENTRY_SILENT_MS, targetSilentMs: TARGET_SILENT_MS },
		this._startedAt
	);
	private readonly _needs = new TargetNeeds();
	/** Targets that keep a part of their objects only, worked out at the last exchange. */
	private _crowded: readonly CrowdedTarget[] = [];
	private _crowdedLoggedAt: Millis = Number.NEGATIVE_INFINITY;
	private readonly _waiters = new ChangeWaiters();
	private readonly _hearing = new HearingClock();
	private readonly _orders: FleetOrders;
	private readonly _registrar: TargetRegistrar;
	private readonly _keeper: QuarantineKeeper;
	private readonly _pace: PaceKeeper;
	/** Region by hall. */
	private readonly _halls: ReadonlyMap<string, string>;
	private readonly _roster: EntryRosterFile;
	/** The entry instances that this one knew before its start. */
	private _remembered: readonly EntryDescription[] = [];
	/** When each other control instance last said what it hears. */
	private readonly _heardFrom = new Map<string, Millis>();
	/** Regions whose look-ups name instances of other regions. */
	private readonly _namedElsewhere = new Set<string>();

	constructor(
		@ISettingsService settings: ISettingsService,
		@IPeerCalls private readonly _calls: IPeerCalls,
		@IAgreement private readonly _agreement: IAgreement,
		@ILogService private readonly _log: ILogService
	) {
		super();
		this._roster = new EntryRosterFile(settings.section<{ dataFolder: string }>('agreement').dataFolder, this._log);
		this._orders = new FleetOrders(this._calls, this._agreement, this._state, this._sightings);
		this._halls = settings.section<PlaceSettings>('places').halls;
		this._registrar = new TargetRegistrar(this._state, this._sightings, this._orders, this._halls, this._log);
		this._pace = new PaceKeeper(this._state, this._sightings, this._orders, this._agreement, this._halls, this._log);
		this._register(toDisposable(() => this._pace.stop()));
		this._agreement.addPart(this._state);
		this._agreement.addPart(this._quarantine);
		this._keeper = new QuarantineKeeper(this._calls, this._agreement, this._quarantine, this._log);
		this._register(this._quarantine.onDidChange(() => this._waiters.noteChange()));
		this._register(this._state.onDidChange(() => this._waiters.noteChange()));
		this._calls.handleUnary(syncMethod, request => this._sync(request));
		this._calls.handleUnary(exchangeMethod, async request => {
			const now = systemClock.now();
			this._heardFrom.set(request.from, now);
			this._sightings.merge(request, now);
			this._needs.merge(request.needs, now);
			return { received: true as const };
		});
	}

	/** Starts the exchange with the other control instances. */
	async start(): Promise<void> {
		this._remembered = await this._roster.read();
		const timer = setInterval(() => this._exchange(), EXCHANGE_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	order(command: FleetCommand): Promise<FleetResult> {
		return this._orders.order(command);
	}

	readTable(): Promise<PublishedTable | undefined> {
		return this._orders.readTable();
	}

	async heartbeat(heartbeat: TargetHeartbeat): Promise<void> {
		this._checkCurrent();
		await this._registrar.heartbeat(heartbeat);
	}

	removeTarget(id: string): Promise<void> {
		return this._registrar.remove(id);
	}

	team(name: string): Team | undefined {
		return this._state.published?.table.teams?.find(team => team.name === name);
	}

	quarantine(): readonly QuarantineRecord[] {
		this._checkCurrent();
		return this._quarantine.known.records;
	}

	release(digest: string): Promise<boolean> {
		return this._keeper.release(digest);
	}

	private _checkCurrent(): void {
		if (this._agreement.contactAgeMs() > CUT_OFF_MS) {
			throw new FleetUnavailableError('this control instance is cut off, or has just started');
		}
	}

	lookUp(region: string, _hall: string): EntryDescription[] {
		const now = systemClock.now();
		this._noteContact(now);
		const heardAllAt = this._hearing.heardAllAt(now);
		if (heardAllAt === undefined && !mayNameHeard(this._remembered, now - this._startedAt)) {
			return [];
		}
		const entries =
			heardAllAt === undefined
				? withRemembered(this._sightings.liveEntries(now), this._remembered)
				: this._sightings.liveEntries(heardAllAt);
		const named = entriesFor(entries, region);
		this._noteNamed(region, named, entries);
		return named;
	}

	/** Logs when look-ups of a region begin, or cease, to name the instances of other regions. */
	private _noteNamed(region: string, named: readonly EntryDescription[], heard: readonly EntryDescription[]): void {
		const isElsewhere = named.some(entry => entry.region !== region);
		if (isElsewhere === this._namedElsewhere.has(region)) {
			return;
		}
		if (isElsewhere) {
			this._namedElsewhere.add(region);
		} else {
			this._namedElsewhere.delete(region);
		}
		this._log.warn(isElsewhere ? 'look-ups name other regions' : 'look-ups name their region again', {
			task: 'fleet',
			region,
			heard: heard.length,
			ready: heard.filter(entry => entry.isReady).length,
			readyThere: heard.filter(entry => entry.isReady && entry.region === region).length,
			contactAgeMs: Math.round(this._agreement.contactAgeMs())
		});
	}

	private _noteContact(now: Millis): void {
		this._hearing.note(this._agreement.contactAgeMs() <= IN_TOUCH_MS && this._hearsMostOthers(now), now);
	}

	/** Whether most of the other control instances told what they hear of late. */
	private _hearsMostOthers(now: Millis): boolean {
		const { members, id } = this._agreement.status();
		const others = members.filter(member => member.id !== id);
		const isHeard = (member: { id: string }): boolean =>
			now - (this._heardFrom.get(member.id) ?? Number.NEGATIVE_INFINITY) <= EXCHANGE_TIMEOUT_MS;
		return 2 * others.filter(isHeard).length >= others.length;
	}

	private async _sync(request: SyncRequest): Promise<SyncResponse> {
		const arrivedAt = systemClock.now();
		this._sightings.seeEntry(request.entry, arrivedAt);
		this._needs.note(request.needs, arrivedAt);
		this._pace.note(request.limits ?? []);
		const isBehind =
			request.entry.revision !== this._state.revision || request.quarantineRevision < this._quarantine.known.revision;
		const isNews = isBehind && !this._waiters.isGathering;
		if (!isNews && request.waitMs > 0) {
			await this._waiters.wait(Math.min(request.waitMs, MAX_WAIT_MS));
		}
		const now = systemClock.now();
		this._noteContact(now);
		const hasHeardAll = this._hearing.hearingSince !== undefined;
		const entries = this._sightings.liveEntries(now).filter(entry => entry.isReady);
		const { known } = this._quarantine;
		const near = entries.filter(entry => entry.region === request.entry.region);
		return {
			changes: this._state.changesAfter(request.entry.revision),
			quarantine: request.quarantineRevision < known.revision ? known : undefined,
			controls: this._agreement.status().members.map(({ address, hall }) => ({ address, hall })),
			contactAgeMs: this._agreement.contactAgeMs(),
			hasHeardAll,
			entryCount: entries.length,
			regionEntries: near.map(entry => entry.name),
			hallPeers: near.filter(entry => isPeer(entry, request.entry)).map(entry => entry.peerAddress),
			limitSenders: this._limitSenders(entries),
			silentTargets: this._silentTargets(now),
			coldTargets: this._sightings.coldTargets(now),
			crowdedTargets: this._crowded,
			demand: sumDemand(entries)
		};
	}

	private _limitSenders(entries: readonly EntryDescription[]): SenderAddress[] {
		const names = new Set<string>();
		for (const { limitPerSecond, pacedSenders } of this._state.targets) {
			if (limitPerSecond !== undefined) {
				pacedSenders.forEach(name => names.add(name));
			}
		}
		return entries
			.filter(({ name }) => names.has(name))
			.map(({ name, peerAddress }) => ({ name, address: peerAddress }));
	}

	private _silentTargets(now: number): string[] {
		const silent: string[] = [];
		const { hearingSince } = this._hearing;
		if (hearingSince === undefined) {
			return silent;
		}
		for (const target of this._state.targets) {
			if (target.phase !== TargetPhase.Gone && this._sightings.isSilent(target.id, now, hearingSince)) {
				silent.push(target.id);
			}
		}
		return silent;
	}

	private _setCrowded(crowded: readonly CrowdedTarget[], now: Millis): void {
		const isNews = crowded.length > 0 !== this._crowded.length > 0;
		this._crowded = crowded;
		if (isNews || (crowded.length > 0 && now - this._crowdedLoggedAt >= CROWDED_LINE_MS)) {
			this._crowdedLoggedAt = now;
			const leastKept = Math.min(1, ...crowded.map(({ keptPart }) => keptPart));
			this._log.info('targets give objects away', { task: 'fleet', count: crowded.length, leastKept });
		}
	}

	private _exchange(): void {
		const now = systemClock.now();
		this._noteContact(now);
		if (this._hearing.heardAllAt(now) === now) {
			const ready = this._sightings.liveEntries(now).filter(entry => entry.isReady);
			void this._roster.write(ready);
		}
		this._pace.renewSenders(this._hearing.hearingSince, now);
		const { members, id } = this._agreement.status();
		const fresh = { from: id, ...this._sightings.takeFresh(now), needs: this._needs.takeFresh() };
		this._setCrowded(
			this._needs.crowded(this._state.targets, hall => this._halls.get(hall) ?? '', now),
			now
		);
		for (const member of members) {
			if (member.id !== id) {
				this._calls.call(member.address, exchangeMethod, fresh, EXCHANGE_TIMEOUT_MS).catch(() => undefined);
			}
		}
	}
}

function isPeer(other: EntryDescription, { name, hall }: EntryDescription): boolean {
	return other.hall === hall && other.name !== name;
}
