/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Keeps a session with one control instance: applies its updates and sends it reports. */

import { type Millis, systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { Emitter } from '../../../base/event.js';
import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { addressSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import { type ControlPeerSettings, type InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { type ClientStream, IPeerTransport } from '../../../kernel/node/peerTransport.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import {
	applyDirectoryDelta,
	type RegionLoads,
	type Directory,
	type EntryIdentity,
	type EntryReport,
	isNewerDirectory
} from '../../membership/common/entryReport.js';
import { ConfigurationTable, type ConfigurationSnapshot, type Revision } from '../common/configuration.js';
import {
	hallSnapshotMethod,
	revisionMethod,
	sessionMethod,
	type SessionReport,
	type SessionUpdate
} from '../common/configurationSession.js';
import type { IEntryConfiguration, ReportPart } from '../common/entryConfiguration.js';

const REPORT_INTERVAL_MS = 400;
const SESSION_CHECK_INTERVAL_MS = 100;
/** The session is closed after this time without an update. */
const UPDATE_TIMEOUT_MS = 1200;
/** The session is moved to another control instance if this one had no contact with a leader for this time. */
const LEADER_CONTACT_TIMEOUT_MS = 2000;
const CALL_TIMEOUT_MS = 1000;
const MIN_REVISION_RETRY_MS = 300;
/** Time after the start during which a provisional configuration is not used. */
const PROVISIONAL_USE_DELAY_MS = 3000;

/** Section `[sibling.NAME]`. */
export interface SiblingSettings {
	readonly address: string;
}

settingsRegistry.register({
	name: 'sibling',
	named: true,
	kinds: [ProcessKind.Entry],
	description: 'One section for each other entry instance of the same data hall.',
	keys: { address: { schema: addressSchema, description: 'IPv4 address and port of its peer listener.' } }
});

/** Receives the configuration of this entry instance from a control instance. */
export class EntryConfigurationTask extends Disposable implements IEntryConfiguration {
	private readonly _onDidChange = this._register(new Emitter<ConfigurationTable>());
	readonly onDidChange = this._onDidChange.event;

	private readonly _controls: readonly ControlPeerSettings[];
	private readonly _siblings: ReadonlyMap<string, SiblingSettings>;
	private readonly _reportParts: (() => ReportPart)[] = [];
	private _identity!: EntryIdentity;
	private _table: ConfigurationTable | undefined;
	private _directory: Directory | undefined;
	private _sessionDirectory: Directory | undefined;
	private _loads: RegionLoads | undefined;
	private _minRevision: Revision | undefined;
	private _stream: ClientStream<SessionReport, SessionUpdate> | undefined;
	private _nextControlIndex = 0;
	private _lastUpdateAt: Millis = 0;
	private _sessionOpenedAt: Millis = 0;
	private _startedAt: Millis = 0;
	private _lastLeaderContactAt = Number.NEGATIVE_INFINITY;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IPeerTransport private readonly _transport: IPeerTransport,
		@ILogService private readonly _log: ILogService
	) {
		super();
		const { hall } = settings.section<InstanceSettings>('instance');
		const controls = [...settings.namedSections<ControlPeerSettings>('control').values()];
		const sameHall = controls.filter(control => control.hall === hall);
		const otherHalls = controls.filter(control => control.hall !== hall);
		this._controls = [...sameHall, ...shuffle(otherHalls)];
		this._siblings = settings.namedSections<SiblingSettings>('sibling');
		this._transport.handleUnary(hallSnapshotMethod, async () => this._hallSnapshot());
	}

	get table(): ConfigurationTable | undefined {
		return this._table;
	}

	get directory(): Directory | undefined {
		return this._directory;
	}

	get loads(): RegionLoads | undefined {
		return this._loads;
	}

	get isProvisional(): boolean {
		return this._minRevision === undefined || (this._table?.revision ?? 0) < this._minRevision;
	}

	get isUsable(): boolean {
		if (!this._table) {
			return false;
		}
		return !this.isProvisional || systemClock.now() - this._startedAt > PROVISIONAL_USE_DELAY_MS;
	}

	get identity(): EntryIdentity {
		return this._identity;
	}

	controlContactAgeMs(): number {
		return systemClock.now() - this._lastLeaderContactAt;
	}

	addReportPart(part: () => ReportPart): void {
		this._reportParts.push(part);
	}

	reportNow(): void {
		if (this._stream && !this._stream.writableNeedDrain) {
			this._stream.write({ revision: this._table?.revision ?? 0, report: this._buildReport() });
		}
	}

	async start(identity: EntryIdentity): Promise<void> {
		this._identity = identity;
		this._startedAt = systemClock.now();
		this._openSession();
		const reports = setInterval(() => this.reportNow(), REPORT_INTERVAL_MS);
		const checks = setInterval(() => this._checkSession(), SESSION_CHECK_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(reports)));
		this._register(toDisposable(() => clearInterval(checks)));
		this._register(toDisposable(() => this._closeSession()));
		void this._fetchMinRevision();
	}

	private _buildReport(): EntryReport {
		const parts = this._reportParts.map(part => part());
		const base: EntryReport = {
			identity: this._identity,
			revisionInForce: this._table?.revision ?? 0,
			provisional: this.isProvisional,
			leaving: false,
			capacity: [],
			demand: [],
			failures: 0,
			answers: 0
		};
		return Object.assign(base, ...parts) as EntryReport;
	}

	private _openSession(): void {
		const control = this._controls[this._nextControlIndex % this._controls.length]!;
		this._nextControlIndex++;
		this._sessionDirectory = undefined;
		const stream = this._transport.openStream(control.address, sessionMethod);
		this._stream = stream;
		this._sessionOpenedAt = systemClock.now();
		this._lastUpdateAt = this._sessionOpenedAt;
		stream.on('data', (update: SessionUpdate) => stream === this._stream && this._onUpdate(update));
		stream.on('error', () => this._onStreamEnd(stream));
		stream.on('end', () => this._onStreamEnd(stream));
		this.reportNow();
	}

	private _closeSession(): void {
		const stream = this._stream;
		this._stream = undefined;
		stream?.cancel();
	}

	private _onStreamEnd(stream: ClientStream<SessionReport, SessionUpdate>): void {
		if (stream === this._stream) {
			this._stream = undefined;
		}
	}

	private _checkSession(): void {
		const now = systemClock.now();
		const isUpdateOverdue = now - this._lastUpdateAt > UPDATE_TIMEOUT_MS;
		const isStale = now - Math.max(this._lastLeaderContactAt, this._sessionOpenedAt) > LEADER_CONTACT_TIMEOUT_MS;
		if (this._stream && !isUpdateOverdue && !isStale) {
			return;
		}
		this._closeSession();
		this._openSession();
	}

	private _onUpdate(update: SessionUpdate): void {
		this._lastUpdateAt = systemClock.now();
		if (update.leaderContactAgeMs < LEADER_CONTACT_TIMEOUT_MS) {
			this._lastLeaderContactAt = Math.max(this._lastLeaderContactAt, this._lastUpdateAt - update.leaderContactAgeMs);
		}
		this._loads = update.loads ?? this._loads;
		this._applyDirectory(update);
		if (update.snapshot) {
			this._applySnapshot(update.snapshot);
		}
		if (update.deltas) {
			this._applyDeltas(update);
		}
	}

	/** Applies deltas to the directory of this session, which may be older than the one received in an earlier session. */
	private _applyDirectory(update: SessionUpdate): void {
		if (update.directory) {
			this._sessionDirectory = update.directory;
		} else if (update.directoryDelta && this._sessionDirectory) {
			this._sessionDirectory = applyDirectoryDelta(this._sessionDirectory, update.directoryDelta);
		}
		if (this._sessionDirectory && isNewerDirectory(this._sessionDirectory, this._directory)) {
			this._directory = this._sessionDirectory;
		}
	}

	private _applySnapshot(snapshot: ConfigurationSnapshot): void {
		if (snapshot.revision <= (this._table?.revision ?? 0)) {
			return;
		}
		this._table = new ConfigurationTable(snapshot);
		this._publishChange();
	}

	private _applyDeltas(update: SessionUpdate): void {
		const table = this._table;
		const newDeltas = (update.deltas ?? []).filter(delta => delta.revision > (table?.revision ?? 0));
		if (newDeltas.length === 0) {
			return;
		}
		if (!table || newDeltas[0]!.revision !== table.revision + 1) {
			this._closeSession();
			return;
		}
		newDeltas.forEach(delta => table.apply(delta));
		this._publishChange();
	}

	private _publishChange(): void {
		this._log.debug('configuration updated', { task: 'configuration', revision: this._table!.revision });
		this._onDidChange.fire(this._table!);
		this.reportNow();
	}

	private async _hallSnapshot(): Promise<ConfigurationSnapshot> {
		if (!this._table) {
			throw new Error('no configuration yet');
		}
		return this._table.snapshot();
	}

	/**
	 * Gets the minimum revision from a leader with a lease, so that a restarted instance does not use an older
	 * configuration. While no leader answers, snapshots of other instances of the data hall are applied.
	 */
	private async _fetchMinRevision(): Promise<void> {
		while (this._minRevision === undefined) {
			const request = { instance: this._identity.instance };
			const calls = this._controls.map(control =>
				this._transport.call(control.address, revisionMethod, request, CALL_TIMEOUT_MS)
			);
			const results = await Promise.allSettled(calls);
			for (const result of results) {
				if (result.status === 'fulfilled' && result.value.isAuthoritative) {
					this._minRevision = Math.max(this._minRevision ?? 0, result.value.revision);
				}
			}
			if (this._minRevision === undefined) {
				await this._fetchHallSnapshots();
				await new Promise(resolve => setTimeout(resolve, MIN_REVISION_RETRY_MS));
			}
		}
	}

	private async _fetchHallSnapshots(): Promise<void> {
		const request = { instance: this._identity.instance };
		const calls = [...this._siblings.values()].map(sibling =>
			this._transport.call(sibling.address, hallSnapshotMethod, request, CALL_TIMEOUT_MS)
		);
		for (const result of await Promise.allSettled(calls)) {
			if (result.status === 'fulfilled') {
				this._applySnapshot(result.value);
			}
		}
	}
}

/** Returns the items in random order, to spread entry instances over the control instances. */
function shuffle<T>(items: readonly T[]): T[] {
	return items
		.map(item => ({ item, order: Math.random() }))
		.sort((a, b) => a.order - b.order)
		.map(entry => entry.item);
}
