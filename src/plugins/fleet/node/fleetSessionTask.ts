/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Keeps the fleet view of an entry instance up to date by long-polling one control instance at a time. Switches to another one
 * when it does not respond, fails, or has lost contact with its own leader.
 */

import { randomUUID } from 'node:crypto';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { type Millis, systemClock } from '../../../base/clock.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import {
	type DiscoverySettings,
	type InstanceSettings,
	seedPeerAddresses
} from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { IFleetSession } from '../common/fleetSession.js';
import { ControlSelector } from '../common/controlSelector.js';
import { FleetView } from '../common/fleetView.js';
import {
	type ControlAddress,
	syncMethod,
	type SyncRequest,
	type SyncResponse,
	type ReportedLimit
} from '../common/fleetWire.js';
import type { ObservedLostRun } from '../common/quarantineTypes.js';
import type { WorkByTarget } from '../common/requestedWork.js';
import { ViewAge } from '../common/viewAge.js';
import { RunReporter } from './runReporter.js';
import type { PlaceSettings } from '../common/placeSettings.js';

/** How long a control instance may hold the response while nothing changes. */
const LONG_POLL_MS = 500;
/** If the response is overdue by this much, another control instance is called as well. */
const RESPONSE_MARGIN_MS = 600;
/** Late responses are still accepted up to this long after they are due: on a congested link every one may be late. */
const LATE_RESPONSE_MARGIN_MS = 4000;
const RETRY_PAUSE_MS = 60;
/** Limit changes within this time are sent in one call. */
const BATCH_WINDOW_MS = 50;
/** Maximum number of limits in one call; the others follow in later calls. */
const MAX_LIMITS_PER_CALL = 64;
/** Maximum number of targets listed in a log line. */
const MAX_LOGGED_TARGETS = 4;
/** Responses from a control instance without leader contact for this long are not considered current. */
const MAX_CONTACT_AGE_MS = 1200;

/** The session of this entry instance with the control instances. */
export class FleetSessionTask extends Disposable implements IFleetSession {
	readonly view: FleetView;
	private readonly _instance: InstanceSettings;
	private readonly _incarnation = randomUUID();
	private readonly _callerAddress: string;
	private readonly _controlSelector: ControlSelector;
	private readonly _runReporter: RunReporter;
	/** The control instances, according to the latest response. */
	private _controls: readonly ControlAddress[] = [];
	private _sequence = 0;
	private _isReady = false;
	private _isPartitioned = false;
	private _demand: Readonly<Record<string, number>> = {};
	private _requestedWork = new Map<string, number>();
	private _limits: readonly ReportedLimit[] = [];
	private _isLimitSyncScheduled = false;
	private readonly _viewAge = new ViewAge();
	private _isConnected = false;
	private _isStopped = false;

	constructor(
		@ISettingsService private readonly _settings: ISettingsService,
		@IPeerCalls private readonly _calls: IPeerCalls,
		@ILogService private readonly _log: ILogService
	) {
		super();
		this._instance = _settings.section<InstanceSettings>('instance');
		this._callerAddress = _settings.section<{ callerAddress: string }>('front').callerAddress;
		const { halls } = _settings.section<PlaceSettings>('places');
		this.view = new FleetView(hall => halls.get(hall));
		this._controlSelector = new ControlSelector(this._instance, hall => halls.get(hall));
		this._runReporter = new RunReporter(this._calls, () => this.controlAddresses(), this._log);
		this._register(toDisposable(() => this._runReporter.stop()));
		this._register(toDisposable(() => (this._isStopped = true)));
	}

	/** Starts the sync loop. */
	start(): void {
		void this._syncLoop();
	}

	controlAddresses(): readonly string[] {
		return this._controlSelector.addressesByPreference(systemClock.now());
	}

	ageMs(): Millis {
		return this._viewAge.ageMs();
	}

	setReady(isReady: boolean): void {
		if (this._isReady === isReady) {
			return;
		}
		this._isReady = isReady;
		this._syncAtOnce();
	}

	setPartitioned(isPartitioned: boolean): void {
		this._isPartitioned = isPartitioned;
		this._syncAtOnce();
	}

	/** Sends the state of this instance, which control has to know before the next regular call. */
	private _syncAtOnce(): void {
		if (this._controlSelector.activeAddress !== undefined) {
			this._sync(this._controlSelector.activeAddress, 0).catch(() => undefined);
		}
	}

	reportRun(run: ObservedLostRun): void {
		this._runReporter.reportRun(run);
	}

	reportAnswer(digest: string): void {
		this._runReporter.reportAnswer(digest);
	}

	reportEarlierAnswer(digest: string, answeredAt: Millis): void {
		this._runReporter.reportEarlierAnswer(digest, answeredAt);
	}

	reportLimits(limits: readonly ReportedLimit[], hasNews: boolean): void {
		this._limits = limits.slice(0, MAX_LIMITS_PER_CALL);
		if (hasNews && !this._isLimitSyncScheduled && this._controlSelector.activeAddress !== undefined) {
			this._isLimitSyncScheduled = true;
			const address = this._controlSelector.activeAddress;
			setTimeout(() => {
				this._isLimitSyncScheduled = false;
				this._sync(address, 0).catch(() => undefined);
			}, BATCH_WINDOW_MS);
		}
	}

	setDemand(demand: Readonly<Record<string, number>>): void {
		this._demand = demand;
	}

	addRequestedWork(workByTarget: WorkByTarget): void {
		for (const [id, work] of Object.entries(workByTarget)) {
			this._requestedWork.set(id, (this._requestedWork.get(id) ?? 0) + work);
		}
	}

	/** Returns and resets the accumulated work. Work of a failed call is not sent again, since control only averages recent work. */
	private _takeRequestedWork(): WorkByTarget {
		const workByTarget = Object.fromEntries(
			[...this._requestedWork].map(([id, work]) => [id, Math.round(work * 100) / 100])
		);
		this._requestedWork = new Map();
		return workByTarget;
	}

	private async _syncLoop(): Promise<void> {
		while (!this._isStopped) {
			const now = systemClock.now();
			if (this._controlSelector.activeAddress === undefined) {
				this._updateControls();
			}
			const address = this._controlSelector.next(now);
			const nearer = this._controlSelector.takeNearerCandidate(now);
			if (nearer !== undefined) {
				void this._syncAndSelect(nearer, 0);
			}
			if (address !== undefined) {
				await this._syncWithTimeout(address);
			}
			if (this._controlSelector.activeAddress === undefined) {
				await pause(RETRY_PAUSE_MS);
			}
		}
	}

	private async _syncWithTimeout(address: string): Promise<void> {
		// Without a known age of the view, requests the current state at once instead of waiting for a change.
		const isWaiting = this._controlSelector.activeAddress !== undefined && Number.isFinite(this.ageMs());
		const waitMs = isWaiting ? LONG_POLL_MS : 0;
		const responded = this._syncAndSelect(address, waitMs);
		const hasResponded = await Promise.race([responded, pause(waitMs + RESPONSE_MARGIN_MS)]);
		if (!hasResponded) {
			this._recordConnectionLoss(address);
		}
	}

	/**
	 * Syncs with a control instance and records whether its response is current.
	 * @returns whether it responded, late or not
	 */
	private async _syncAndSelect(address: string, waitMs: Millis): Promise<boolean> {
		try {
			const isCurrent = await this._sync(address, waitMs);
			if (isCurrent) {
				this._controlSelector.recordCurrentAnswer(address);
			} else {
				this._controlSelector.recordFailedRequest(address, systemClock.now());
			}
			return true;
		} catch {
			this._controlSelector.recordFailedRequest(address, systemClock.now());
			return false;
		}
	}

	/** Always includes the configured seeds, since the control instances learned before may all be gone. */
	private _updateControls(): void {
		const discovery = this._settings.section<DiscoverySettings>('discovery');
		this._controlSelector.setControls(this._controls, seedPeerAddresses(discovery, this._instance.peerAddress));
	}

	/** @returns whether the response is current */
	private async _sync(address: string, waitMs: Millis): Promise<boolean> {
		const request: SyncRequest = {
			entry: {
				name: this._instance.name,
				incarnation: this._incarnation,
				sequence: ++this._sequence,
				hall: this._instance.hall,
				region: this._instance.region,
				callerAddress: this._callerAddress,
				peerAddress: this._instance.peerAddress,
				isReady: this._isReady,
				revision: this.view.revision,
				demand: this._demand,
				isPartitioned: this._isPartitioned || undefined
			},
			needs: this._takeRequestedWork(),
			limits: this._limits,
			quarantineRevision: this.view.quarantine.revision,
			peersDigest: this.view.peers?.digest,
			waitMs
		};
		const requestTimestamp = this._viewAge.timestampRequest();
		const response = await this._calls.call(address, syncMethod, request, waitMs + LATE_RESPONSE_MARGIN_MS);
		this._applyResponse(address, response);
		const isCurrent = response.contactAgeMs < MAX_CONTACT_AGE_MS;
		if (isCurrent) {
			this._viewAge.recordCurrentAnswer(requestTimestamp, waitMs, response.contactAgeMs);
			this._recordConnection(address);
		}
		return isCurrent;
	}

	private _applyResponse(address: string, response: SyncResponse): void {
		const now = systemClock.now();
		const revisionBefore = this.view.revision;
		const contradictedBefore = [...this.view.contradictions.keys()].join(',');
		this.view.apply(response, now);
		this._logContradiction(address, response, contradictedBefore);
		if (response.controls.length > 0) {
			this._controls = response.controls;
			this._updateControls();
		}
		if (this.view.revision !== revisionBefore) {
			this._log.info('fleet state updated', {
				task: 'fleet',
				revision: this.view.revision,
				tableVersion: this.view.routes?.table.version
			});
		}
	}

	private _recordConnection(address: string): void {
		if (!this._isConnected) {
			this._isConnected = true;
			this._log.info('connected to control', { task: 'fleet', control: address });
		}
	}

	/** Logs when the regions change in which targets reported as silent still respond to this instance. */
	private _logContradiction(control: string, response: SyncResponse, before: string): void {
		const regions = [...this.view.contradictions.keys()];
		if (regions.join(',') !== before) {
			this._log.warn('regions with wrongly reported silent targets changed', {
				task: 'fleet',
				control,
				regions,
				silent: response.silentTargets.length,
				contradictions: [...this.view.contradictions].map(([region, { silent, answered, unreachable }]) => ({
					region,
					silent,
					unreachable,
					answered: answered.length,
					first: answered.slice(0, MAX_LOGGED_TARGETS)
				})),
				contactAgeMs: Math.round(response.contactAgeMs)
			});
		}
	}

	private _recordConnectionLoss(address: string): void {
		this._controlSelector.recordFailedRequest(address, systemClock.now());
		if (this._isConnected) {
			this._isConnected = false;
			this._log.warn('connection to control lost', {
				task: 'fleet',
				control: address,
				viewAgeMs: Math.round(this.ageMs())
			});
		}
	}
}

function pause(ms: Millis): Promise<undefined> {
	return new Promise(resolve => setTimeout(() => resolve(undefined), ms));
}
