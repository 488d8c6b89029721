/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Gathers the reports of entry instances at the leader and spreads the directory that it makes of them. */

import { systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { Emitter } from '../../../base/event.js';
import { type ControlPeerSettings, type InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { defineUnary } from '../../../kernel/common/peerMethods.js';
import { IPeerWire } from '../../../kernel/node/peerWire.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import type { IEntryMembership } from '../common/entryMembership.js';
import { EntryRegistry, hasSameEntries, type KnownEntry } from '../common/entryRegistry.js';
import {
	type Directory,
	type DirectoryEntry,
	type EntryReport,
	isNewerDirectory,
	type RegionLoads
} from '../common/entryReport.js';
import { withUnheardLoads } from '../common/regionLoads.js';

const EXCHANGE_INTERVAL_MS = 50;
const IDLE_EXCHANGE_EVERY = 4;
const EXCHANGE_TIMEOUT_MS = 1000;
const SILENT_AFTER_MS = 1500;
/** The leader looks for a new directory, and sums up the loads, no more often than this. */
const REFRESH_INTERVAL_MS = 200;
/** A new leader keeps what the leader before it spread for this long: the instances still look for a session. */
const TAKE_OVER_MS = 4000;
const FORGET_AFTER_MS = 60 * 60 * 1000;

/** A follower's reports since its last call. */
interface ExchangeRequest {
	readonly reports: readonly EntryReport[];
	/** The directory that the follower has. */
	readonly term: number;
	readonly version: number;
}

/** The leader's answer. */
interface ExchangeResponse {
	/** Whether the answer came from a leader with a lease. */
	readonly isLeader: boolean;
	/** Present when it is newer than the follower's. */
	readonly directory?: Directory;
	readonly loads?: readonly RegionLoads[];
}

const exchangeMethod = defineUnary<ExchangeRequest, ExchangeResponse>('membership', 'Exchange');

/** Entry membership of one control instance. */
export class EntryMembershipTask extends Disposable implements IEntryMembership {
	private readonly _onDidReport = this._register(new Emitter<EntryReport>());
	readonly onDidReport = this._onDidReport.event;
	private readonly _onDidChangeDirectory = this._register(new Emitter<Directory>());
	readonly onDidChangeDirectory = this._onDidChangeDirectory.event;

	private readonly _registry = new EntryRegistry(SILENT_AFTER_MS, FORGET_AFTER_MS);
	private readonly _controls: ReadonlyMap<string, ControlPeerSettings>;
	private readonly _self: string;
	private _pending = new Map<string, EntryReport>();
	private _directory: Directory | undefined;
	private _loads: readonly RegionLoads[] = [];
	/** The loads spread by the leader before this one; kept while instances may not have reported here yet. */
	private _loadsBefore: readonly RegionLoads[] = [];
	private _refreshedAt = 0;
	private _leaderContactAt = Number.NEGATIVE_INFINITY;
	private _leaderSince: number | undefined;
	private _exchanging = false;
	private _round = 0;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IPeerWire private readonly _wire: IPeerWire,
		@IAgreement private readonly _agreement: IAgreement
	) {
		super();
		this._self = settings.section<InstanceSettings>('instance').name;
		this._controls = settings.namedSections<ControlPeerSettings>('control');
		this._wire.handleUnary(exchangeMethod, async request => this._onExchange(request));
		const timer = setInterval(() => this._tick(), EXCHANGE_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	get directory(): Directory | undefined {
		return this._directory;
	}

	get loads(): readonly RegionLoads[] {
		return this._loads;
	}

	accept(report: EntryReport): void {
		this._record(report);
		this._pending.set(report.identity.instance, report);
	}

	live(): KnownEntry[] {
		return this._registry.live(systemClock.now());
	}

	silent(): KnownEntry[] {
		return this._registry.silent(systemClock.now());
	}

	leaderContactAge(): number {
		return this._agreement.hasLease() ? 0 : systemClock.now() - this._leaderContactAt;
	}

	private _record(report: EntryReport): void {
		this._registry.record(report, systemClock.now());
		this._onDidReport.fire(report);
	}

	private _tick(): void {
		this._round++;
		if (this._agreement.hasLease()) {
			this._leaderContactAt = systemClock.now();
			if (this._leaderSince === undefined) {
				this._leaderSince = this._leaderContactAt;
				this._loadsBefore = this._loads;
			}
			this._pending.clear();
			this._refreshDirectory();
			return;
		}
		this._leaderSince = undefined;
		const isDue = this._pending.size > 0 || this._round % IDLE_EXCHANGE_EVERY === 0;
		if (isDue && !this._exchanging) {
			void this._exchange();
		}
	}

	private _refreshDirectory(): void {
		const now = systemClock.now();
		if (now - this._refreshedAt < REFRESH_INTERVAL_MS) {
			return;
		}
		this._refreshedAt = now;
		this._registry.forget(now);
		this._loads = this._loadsNow(now);
		const entries = this._entriesNow(now);
		const term = this._agreement.status().term;
		const present = this._directory;
		if (present && present.term === term && hasSameEntries(present, entries)) {
			return;
		}
		this._setDirectory({ term, version: present?.term === term ? present.version + 1 : 1, entries });
	}

	/** Without the loads before, an instance with no slots of its own would see nobody to hand its requests to. */
	private _loadsNow(now: number): readonly RegionLoads[] {
		const heard = this._registry.loads(now);
		return this._isTakingOver(now) ? withUnheardLoads(heard, this._loadsBefore) : heard;
	}

	private _isTakingOver(now: number): boolean {
		return now - this._leaderSince! <= TAKE_OVER_MS;
	}

	private _entriesNow(now: number): DirectoryEntry[] {
		const entries = this._registry.directoryEntries(now);
		if (!this._isTakingOver(now)) {
			return entries;
		}
		const heard = new Set(entries.map(entry => entry.identity.instance));
		const unheard = this._directory?.entries.filter(entry => !heard.has(entry.identity.instance)) ?? [];
		return [...entries, ...unheard].sort((a, b) => (a.identity.instance < b.identity.instance ? -1 : 1));
	}

	private async _exchange(): Promise<void> {
		const leader = this._agreement.status().leader;
		const peer = leader === undefined ? undefined : this._controls.get(leader);
		if (!peer || leader === this._self) {
			return;
		}
		const reports = [...this._pending.values()];
		this._pending.clear();
		this._exchanging = true;
		const sentAt = systemClock.now();
		const request = { reports, term: this._directory?.term ?? 0, version: this._directory?.version ?? 0 };
		try {
			const response = await this._wire.call(peer.address, exchangeMethod, request, EXCHANGE_TIMEOUT_MS);
			this._onExchanged(response, sentAt);
		} catch {
			reports.forEach(report => this._restorePending(report));
		} finally {
			this._exchanging = false;
		}
	}

	private _onExchanged(response: ExchangeResponse, sentAt: number): void {
		if (!response.isLeader) {
			return;
		}
		this._leaderContactAt = Math.max(this._leaderContactAt, sentAt);
		this._loads = response.loads ?? this._loads;
		if (response.directory) {
			this._setDirectory(withKnownEntries(response.directory, this._directory));
		}
	}

	/** A report whose exchange failed goes with the next one, unless a newer one came meanwhile. */
	private _restorePending(report: EntryReport): void {
		if (!this._pending.has(report.identity.instance)) {
			this._pending.set(report.identity.instance, report);
		}
	}

	private _onExchange(request: ExchangeRequest): ExchangeResponse {
		request.reports.forEach(report => this._record(report));
		if (!this._agreement.hasLease()) {
			return { isLeader: false };
		}
		const directory = this._directory;
		const has = directory && directory.term === request.term && directory.version === request.version;
		return { isLeader: true, directory: has ? undefined : directory, loads: this._loads };
	}

	private _setDirectory(directory: Directory): void {
		if (isNewerDirectory(directory, this._directory)) {
			this._directory = directory;
			this._onDidChangeDirectory.fire(directory);
		}
	}
}

/** Puts the objects of the former directory in place of equal ones, so that the difference is found quickly. */
function withKnownEntries(directory: Directory, known: Directory | undefined): Directory {
	const byName = new Map(known?.entries.map(entry => [entry.identity.instance, entry]));
	const entries = directory.entries.map(entry => {
		const before = byName.get(entry.identity.instance);
		const isSame = before?.identity.incarnation === entry.identity.incarnation && before.leaving === entry.leaving;
		return isSame ? before : entry;
	});
	return { ...directory, entries };
}
