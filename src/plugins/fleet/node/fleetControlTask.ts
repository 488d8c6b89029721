/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The fleet service of a control instance: tracks the liveness of entry instances and targets, exchanges it with the other control
 * instances, and answers sync calls of entry instances and look-ups of callers.
 */

import { Disposable, toDisposable } from '../../../base/disposable.js';
import { type Millis, systemClock } from '../../../base/clock.js';
import { StallDetector } from '../../../base/stallDetector.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { Team } from '../../routes/common/routeTable.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import { listPeers } from '../common/entryPeers.js';
import { selectEntries, canAnswerLookUps, sumDemandByRegion, mergeRemembered } from '../common/entryLookUp.js';
import { FleetUnavailableError, type IFleetControl, type TargetHeartbeat } from '../common/fleetControl.js';
import { FleetState } from '../common/fleetState.js';
import {
	type EntryDescription,
	FLEET_PART,
	type FleetCommand,
	type FleetResult,
	type PublishedTable,
	type PublishTableCommand,
	TargetPhase,
	type TargetRecord
} from '../common/fleetTypes.js';
import {
	type ColdTarget,
	exchangeMethod,
	type SenderAddress,
	syncMethod,
	type SyncRequest,
	type SyncResponse
} from '../common/fleetWire.js';
import { ObservationCompleteness } from '../common/observationCompleteness.js';
import type { PlaceSettings } from '../common/placeSettings.js';
import { recordedColdTargets } from '../common/recordedColdTargets.js';
import { QuarantineState } from '../common/quarantineState.js';
import type { QuarantineRecord } from '../common/quarantineTypes.js';
import { LivenessTracker } from '../common/livenessTracker.js';
import { type CrowdedTarget, RequestedWork } from '../common/requestedWork.js';
import { ChangeNotifier } from './changeNotifier.js';
import { EntryListFile } from './entryListFile.js';
import { FleetCommandClient, type HasCallerLeft } from './fleetCommandClient.js';
import { LookUpLog } from './lookUpLog.js';
import { QuarantineManager } from './quarantineManager.js';
import { TargetLimitManager } from './targetLimitManager.js';
import { TargetRegistrar } from './targetRegistrar.js';

const EXCHANGE_INTERVAL_MS = 250;
const EXCHANGE_TIMEOUT_MS = 1000;
/** Without contact to its leader for longer than this, a control instance refuses heartbeats and quarantine queries. */
const MAX_CONTACT_AGE_MS = 1500;
/** Maximum time since the last leader contact for which the liveness data received from the other instances counts as complete. */
const MAX_FRESH_CONTACT_AGE_MS = 600;
const MAX_SYNC_WAIT_MS = 2000;
const ENTRY_TIMEOUT_MS = 2500;
const HEARTBEAT_TIMEOUT_MS = 4500;
/** Interval between log lines while there are crowded targets. */
const CROWDED_LOG_INTERVAL_MS = 10000;

/** The fleet service of a control instance. */
export class FleetControlTask extends Disposable implements IFleetControl {
	private readonly _state = new FleetState();
	private readonly _quarantine = new QuarantineState();
	private readonly _startedAt = systemClock.now();
	private readonly _liveness = new LivenessTracker(
		{ entryTimeoutMs: ENTRY_TIMEOUT_MS, heartbeatTimeoutMs: HEARTBEAT_TIMEOUT_MS },
		this._startedAt
	);
	private readonly _requestedWork = new RequestedWork();
	/** Targets that are assigned only part of their objects, as computed at the last exchange. */
	private _crowdedTargets: readonly CrowdedTarget[] = [];
	private _crowdedLoggedAt: Millis = Number.NEGATIVE_INFINITY;
	private readonly _changeNotifier = new ChangeNotifier();
	private readonly _stallDetector = this._register(new StallDetector());
	private readonly _completeness = new ObservationCompleteness();
	private readonly _commands: FleetCommandClient;
	private readonly _registrar: TargetRegistrar;
	private readonly _quarantineManager: QuarantineManager;
	private readonly _limitManager: TargetLimitManager;
	private readonly _regionByHall: ReadonlyMap<string, string>;
	private readonly _entryListFile: EntryListFile;
	/** Entry instances saved before the last restart. */
	private _rememberedEntries: readonly EntryDescription[] = [];
	/** When each other control instance last sent an exchange, by its id. */
	private readonly _lastExchangeAt = new Map<string, Millis>();
	private readonly _lookUpLog: LookUpLog;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IPeerCalls private readonly _calls: IPeerCalls,
		@IAgreement private readonly _agreement: IAgreement,
		@ILogService private readonly _log: ILogService
	) {
		super();
		this._entryListFile = new EntryListFile(
			settings.section<{ dataFolder: string }>('agreement').dataFolder,
			this._log
		);
		this._lookUpLog = new LookUpLog(this._log, () => this._agreement.contactAgeMs());
		this._commands = new FleetCommandClient(this._calls, this._agreement, this._state, this._liveness);
		this._regionByHall = settings.section<PlaceSettings>('places').halls;
		this._registrar = new TargetRegistrar(this._state, this._liveness, this._commands, this._regionByHall, this._log);
		this._limitManager = new TargetLimitManager(
			this._state,
			this._liveness,
			this._commands,
			this._agreement,
			this._regionByHall,
			this._log
		);
		this._register(toDisposable(() => this._limitManager.stop()));
		this._agreement.addPart(this._state);
		this._agreement.addPart(this._quarantine);
		this._quarantineManager = new QuarantineManager(this._calls, this._agreement, this._quarantine, this._log);
		this._register(this._quarantine.onDidChange(() => this._changeNotifier.scheduleNotification()));
		this._register(this._state.onDidChange(() => this._changeNotifier.scheduleNotification()));
		this._calls.handleUnary(syncMethod, request => this._sync(request));
		this._calls.handleUnary(exchangeMethod, async request => {
			const now = systemClock.now();
			this._lastExchangeAt.set(request.from, now);
			this._liveness.merge(request, now);
			this._requestedWork.merge(request.needs, now);
			return { received: true as const };
		});
	}

	/** Loads the saved entry instances and starts the periodic exchange with the other control instances. */
	async start(): Promise<void> {
		this._rememberedEntries = await this._entryListFile.read();
		const timer = setInterval(() => this._exchange(), EXCHANGE_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	publishTable(command: PublishTableCommand): Promise<FleetResult> {
		return this._commands.submit(command);
	}

	async setHall(hall: string, isDrained: boolean, hasCallerLeft: HasCallerLeft): Promise<FleetResult> {
		if (this._stallDetector.hasStalledRecently()) {
			throw new FleetUnavailableError(
				'this control instance has just been stopped, and later orders may have been given'
			);
		}
		return this._commands.submitForCaller(
			base => ({ type: 'setHall', hall, isDrained, base }),
			this._state.hallRevision(hall),
			hasCallerLeft
		);
	}

	readTable(): Promise<PublishedTable | undefined> {
		return this._commands.readTable();
	}

	async heartbeat(heartbeat: TargetHeartbeat): Promise<void> {
		this._assertConnected();
		await this._registrar.heartbeat(heartbeat);
	}

	removeTarget(id: string, hasCallerLeft: HasCallerLeft): Promise<void> {
		return this._registrar.remove(id, hasCallerLeft);
	}

	team(name: string): Team | undefined {
		return this._state.published?.table.teams?.find(team => team.name === name);
	}

	quarantine(): readonly QuarantineRecord[] {
		this._assertConnected();
		return this._quarantine.snapshot.records;
	}

	release(digest: string): Promise<boolean> {
		return this._quarantineManager.release(digest);
	}

	private _assertConnected(): void {
		if (this._agreement.contactAgeMs() > MAX_CONTACT_AGE_MS) {
			throw new FleetUnavailableError('this control instance has no contact with its leader, or has just started');
		}
	}

	lookUp(region: string, _hall: string): EntryDescription[] {
		const now = systemClock.now();
		this._updateCompleteness(now);
		const lastCompleteAt = this._completeness.lastCompleteAt(now);
		if (lastCompleteAt === undefined && !canAnswerLookUps(this._rememberedEntries, now - this._startedAt)) {
			return [];
		}
		const entries =
			lastCompleteAt === undefined
				? mergeRemembered(this._liveness.liveEntries(now), this._rememberedEntries)
				: this._liveness.liveEntries(lastCompleteAt);
		const selected = selectEntries(entries, region);
		this._lookUpLog.record(region, selected, entries);
		return selected;
	}

	private _updateCompleteness(now: Millis): void {
		this._completeness.setConnected(
			this._agreement.contactAgeMs() <= MAX_FRESH_CONTACT_AGE_MS && this._hasContactWithMajority(now),
			now
		);
	}

	/** Whether at least half of the other control instances, so a majority including this one, recently sent an exchange. */
	private _hasContactWithMajority(now: Millis): boolean {
		const { members, id } = this._agreement.status();
		const others = members.filter(member => member.id !== id);
		const hasRecentExchange = (member: { id: string }): boolean =>
			now - (this._lastExchangeAt.get(member.id) ?? Number.NEGATIVE_INFINITY) <= EXCHANGE_TIMEOUT_MS;
		return 2 * others.filter(hasRecentExchange).length >= others.length;
	}

	private async _sync(request: SyncRequest): Promise<SyncResponse> {
		const arrivedAt = systemClock.now();
		this._liveness.recordEntry(request.entry, arrivedAt);
		this._requestedWork.addReported(request.needs, arrivedAt);
		this._limitManager.handleReportedLimits(request.limits ?? []);
		const isBehind =
			request.entry.revision !== this._state.revision ||
			request.quarantineRevision < this._quarantine.snapshot.revision;
		const hasUnsentChange = isBehind && !this._changeNotifier.isNotificationPending;
		if (!hasUnsentChange && request.waitMs > 0) {
			await this._changeNotifier.waitForChange(Math.min(request.waitMs, MAX_SYNC_WAIT_MS));
		}
		const now = systemClock.now();
		this._updateCompleteness(now);
		const hasHeardAll = this._completeness.completeSince !== undefined;
		const entries = this._liveness.liveEntries(now).filter(entry => entry.isReady);
		const { snapshot } = this._quarantine;
		const peers = listPeers(entries, request.entry);
		const regionalEntries = entries.filter(entry => entry.region === request.entry.region);
		return {
			changes: this._state.changesAfter(request.entry.revision),
			quarantine: request.quarantineRevision < snapshot.revision ? snapshot : undefined,
			controls: this._agreement.status().members.map(({ address, hall }) => ({ address, hall })),
			contactAgeMs: this._agreement.contactAgeMs(),
			hasHeardAll,
			entryCount: Math.max(this._rememberedEntries.length, this._liveness.peakReadyEntries(now)),
			regionEntries: regionalEntries.map(entry => entry.name),
			hallPeers: regionalEntries.filter(entry => isHallPeer(entry, request.entry)).map(entry => entry.peerAddress),
			peers: peers.digest === request.peersDigest ? undefined : peers,
			limitSenders: this._limitSenders(entries),
			silentTargets: this._silentTargets(now),
			coldTargets: this._coldTargets(now),
			crowdedTargets: this._crowdedTargets,
			demand: sumDemandByRegion(entries)
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
		const { completeSince } = this._completeness;
		if (completeSince === undefined) {
			return silent;
		}
		for (const target of this._state.targets) {
			if (target.phase !== TargetPhase.Gone && this._liveness.isSilent(target.id, now, completeSince)) {
				silent.push(target.id);
			}
		}
		return silent;
	}

	/** Cold targets by their heartbeats; by the replicated log where this instance has received none since its start. */
	private _coldTargets(now: Millis): ColdTarget[] {
		const isUnheard = ({ id }: TargetRecord): boolean => this._liveness.lastHeartbeatAt(id) === undefined;
		const unheard = [...this._state.targets].filter(isUnheard);
		const uncommitted = this._agreement.uncommittedCommands(FLEET_PART) as readonly FleetCommand[];
		return [...this._liveness.coldTargets(now), ...recordedColdTargets(unheard, uncommitted, Date.now())];
	}

	private _updateCrowdedTargets(crowded: readonly CrowdedTarget[], now: Millis): void {
		const isTransition = crowded.length > 0 !== this._crowdedTargets.length > 0;
		this._crowdedTargets = crowded;
		if (isTransition || (crowded.length > 0 && now - this._crowdedLoggedAt >= CROWDED_LOG_INTERVAL_MS)) {
			this._crowdedLoggedAt = now;
			const leastKept = Math.min(1, ...crowded.map(({ keptPart }) => keptPart));
			this._log.info('crowded targets are assigned fewer objects', { task: 'fleet', count: crowded.length, leastKept });
		}
	}

	private _exchange(): void {
		const now = systemClock.now();
		this._updateCompleteness(now);
		if (this._completeness.lastCompleteAt(now) === now) {
			const ready = this._liveness.liveEntries(now).filter(entry => entry.isReady);
			void this._entryListFile.write(ready);
		}
		this._limitManager.updateSenders(this._completeness.completeSince, now);
		const { members, id } = this._agreement.status();
		const update = { from: id, ...this._liveness.takeUnsent(now), needs: this._requestedWork.takeUnsent() };
		this._updateCrowdedTargets(
			this._requestedWork.findCrowded(this._state.targets, hall => this._regionByHall.get(hall) ?? '', now),
			now
		);
		for (const member of members) {
			if (member.id !== id) {
				this._calls.call(member.address, exchangeMethod, update, EXCHANGE_TIMEOUT_MS).catch(() => undefined);
			}
		}
	}
}

function isHallPeer(other: EntryDescription, { name, hall }: EntryDescription): boolean {
	return other.hall === hall && other.name !== name;
}
