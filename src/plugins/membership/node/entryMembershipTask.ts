/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Collects the reports of entry instances at the leader, and distributes the directory and loads built from them. */

import { systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { Emitter } from '../../../base/event.js';
import { type ControlPeerSettings, type InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { defineUnary } from '../../../kernel/common/peerMethods.js';
import { IPeerTransport } from '../../../kernel/node/peerTransport.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import type { IEntryMembership } from '../common/entryMembership.js';
import { EntryRegistry, hasSameEntries, type RegisteredEntry } from '../common/entryRegistry.js';
import {
	type Directory,
	type DirectoryEntry,
	type EntryReport,
	isNewerDirectory,
	type RegionLoads
} from '../common/entryReport.js';
import { mergeRegionLoads } from '../common/regionLoadMerge.js';

const EXCHANGE_INTERVAL_MS = 50;
const IDLE_EXCHANGE_TICKS = 4;
const EXCHANGE_TIMEOUT_MS = 1000;
const ENTRY_TIMEOUT_MS = 1500;
/** Minimum interval between rebuilds of directory and loads at the leader. */
const REFRESH_INTERVAL_MS = 200;
/** How long a new leader keeps the entries of the previous leader, until the instances have opened sessions and reported. */
const TAKEOVER_PERIOD_MS = 4000;
const ENTRY_RETENTION_MS = 60 * 60 * 1000;

/** Reports that a follower received since its last exchange. */
interface ExchangeRequest {
	readonly reports: readonly EntryReport[];
	/** Term of the follower's directory; 0 for none. */
	readonly term: number;
	/** Version of the follower's directory; 0 for none. */
	readonly version: number;
}

/** Response to an exchange. */
interface ExchangeResponse {
	/** Whether the responding instance is the leader and holds a lease. */
	readonly isLeader: boolean;
	/** Omitted when the follower has it already. */
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

	private readonly _registry = new EntryRegistry(ENTRY_TIMEOUT_MS, ENTRY_RETENTION_MS);
	private readonly _controls: ReadonlyMap<string, ControlPeerSettings>;
	private readonly _self: string;
	private _pendingReports = new Map<string, EntryReport>();
	private _directory: Directory | undefined;
	private _loads: readonly RegionLoads[] = [];
	/** Loads published by the previous leader, used during the takeover period. */
	private _previousLeaderLoads: readonly RegionLoads[] = [];
	private _lastRefreshAt = 0;
	private _lastLeaderContactAt = Number.NEGATIVE_INFINITY;
	private _leaderSince: number | undefined;
	private _isExchanging = false;
	private _tickCount = 0;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IPeerTransport private readonly _transport: IPeerTransport,
		@IAgreement private readonly _agreement: IAgreement
	) {
		super();
		this._self = settings.section<InstanceSettings>('instance').name;
		this._controls = settings.namedSections<ControlPeerSettings>('control');
		this._transport.handleUnary(exchangeMethod, async request => this._handleExchange(request));
		const timer = setInterval(() => this._tick(), EXCHANGE_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	get directory(): Directory | undefined {
		return this._directory;
	}

	get loads(): readonly RegionLoads[] {
		return this._loads;
	}

	addReport(report: EntryReport): void {
		this._record(report);
		this._pendingReports.set(report.identity.instance, report);
	}

	live(): RegisteredEntry[] {
		return this._registry.live(systemClock.now());
	}

	silent(): RegisteredEntry[] {
		return this._registry.silent(systemClock.now());
	}

	leaderContactAge(): number {
		return this._agreement.hasLease() ? 0 : systemClock.now() - this._lastLeaderContactAt;
	}

	private _record(report: EntryReport): void {
		this._registry.record(report, systemClock.now());
		this._onDidReport.fire(report);
	}

	private _tick(): void {
		this._tickCount++;
		if (this._agreement.hasLease()) {
			this._lastLeaderContactAt = systemClock.now();
			if (this._leaderSince === undefined) {
				this._leaderSince = this._lastLeaderContactAt;
				this._previousLeaderLoads = this._loads;
			}
			this._pendingReports.clear();
			this._refreshDirectory();
			return;
		}
		this._leaderSince = undefined;
		const isDue = this._pendingReports.size > 0 || this._tickCount % IDLE_EXCHANGE_TICKS === 0;
		if (isDue && !this._isExchanging) {
			void this._exchange();
		}
	}

	private _refreshDirectory(): void {
		const now = systemClock.now();
		if (now - this._lastRefreshAt < REFRESH_INTERVAL_MS) {
			return;
		}
		this._lastRefreshAt = now;
		this._registry.evictExpired(now);
		this._loads = this._currentLoads(now);
		const entries = this._currentEntries(now);
		const term = this._agreement.status().term;
		const current = this._directory;
		if (current && current.term === term && hasSameEntries(current, entries)) {
			return;
		}
		this._setDirectory({ term, version: current?.term === term ? current.version + 1 : 1, entries });
	}

	/** Keeps the previous leader's loads during takeover; otherwise an instance without free slots would find no instance to forward to. */
	private _currentLoads(now: number): readonly RegionLoads[] {
		const reported = this._registry.loads(now);
		return this._isTakingOver(now) ? mergeRegionLoads(reported, this._previousLeaderLoads) : reported;
	}

	private _isTakingOver(now: number): boolean {
		return now - this._leaderSince! <= TAKEOVER_PERIOD_MS;
	}

	private _currentEntries(now: number): DirectoryEntry[] {
		const entries = this._registry.directoryEntries(now);
		if (!this._isTakingOver(now)) {
			return entries;
		}
		const reported = new Set(entries.map(entry => entry.identity.instance));
		const unreported = this._directory?.entries.filter(entry => !reported.has(entry.identity.instance)) ?? [];
		return [...entries, ...unreported].sort((a, b) => (a.identity.instance < b.identity.instance ? -1 : 1));
	}

	private async _exchange(): Promise<void> {
		const leader = this._agreement.status().leader;
		const peer = leader === undefined ? undefined : this._controls.get(leader);
		if (!peer || leader === this._self) {
			return;
		}
		const reports = [...this._pendingReports.values()];
		this._pendingReports.clear();
		this._isExchanging = true;
		const sentAt = systemClock.now();
		const request = { reports, term: this._directory?.term ?? 0, version: this._directory?.version ?? 0 };
		try {
			const response = await this._transport.call(peer.address, exchangeMethod, request, EXCHANGE_TIMEOUT_MS);
			this._applyExchangeResponse(response, sentAt);
		} catch {
			reports.forEach(report => this._restorePending(report));
		} finally {
			this._isExchanging = false;
		}
	}

	private _applyExchangeResponse(response: ExchangeResponse, sentAt: number): void {
		if (!response.isLeader) {
			return;
		}
		this._lastLeaderContactAt = Math.max(this._lastLeaderContactAt, sentAt);
		this._loads = response.loads ?? this._loads;
		if (response.directory) {
			this._setDirectory(reuseUnchangedEntries(response.directory, this._directory));
		}
	}

	/** Queues a report again after a failed exchange, unless a newer one of the same instance is queued. */
	private _restorePending(report: EntryReport): void {
		if (!this._pendingReports.has(report.identity.instance)) {
			this._pendingReports.set(report.identity.instance, report);
		}
	}

	private _handleExchange(request: ExchangeRequest): ExchangeResponse {
		request.reports.forEach(report => this._record(report));
		if (!this._agreement.hasLease()) {
			return { isLeader: false };
		}
		const directory = this._directory;
		const isUpToDate = directory && directory.term === request.term && directory.version === request.version;
		return { isLeader: true, directory: isUpToDate ? undefined : directory, loads: this._loads };
	}

	private _setDirectory(directory: Directory): void {
		if (isNewerDirectory(directory, this._directory)) {
			this._directory = directory;
			this._onDidChangeDirectory.fire(directory);
		}
	}
}

/** Replaces entries with the equal objects of the previous directory, so that `diffDirectories` can compare by reference. */
function reuseUnchangedEntries(directory: Directory, previous: Directory | undefined): Directory {
	const byName = new Map(previous?.entries.map(entry => [entry.identity.instance, entry]));
	const entries = directory.entries.map(entry => {
		const previousEntry = byName.get(entry.identity.instance);
		const isSame =
			previousEntry?.identity.incarnation === entry.identity.incarnation && previousEntry.leaving === entry.leaving;
		return isSame ? previousEntry : entry;
	});
	return { ...directory, entries };
}
