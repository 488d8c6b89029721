/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Keeps an entry instance up to date: asks one control instance at a time for what changed, waits there for news, and
 * goes on to another when it is silent, fails or is cut off from its own leader.
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
import { FleetView } from '../common/fleetView.js';
import { syncMethod, type SyncRequest, type SyncResponse } from '../common/fleetWire.js';
import type { PlaceSettings } from '../common/placeSettings.js';

/** How long control may hold an answer back while nothing changes. */
const WAIT_MS = 500;
/** Without an answer this long after it was due, another control instance is asked too. */
const ANSWER_MARGIN_MS = 600;
/** An answer that is late counts all the same: on a crowded link every one may be late. */
const LATE_ANSWER_MS = 4000;
const RETRY_PAUSE_MS = 60;
/** An answer from a control instance that was out of touch with its leader for this long does not count. */
const STALE_MS = 1200;

/** The session of this entry instance with control. */
export class FleetSessionTask extends Disposable implements IFleetSession {
	readonly view: FleetView;
	private readonly _instance: InstanceSettings;
	private readonly _incarnation = randomUUID();
	private readonly _callerAddress: string;
	private _controls: readonly string[] = [];
	private _preferred?: string;
	private _turn = 0;
	private _sequence = 0;
	private _isReady = false;
	private _demand: Readonly<Record<string, number>> = {};
	private _currentAt = Number.NEGATIVE_INFINITY;
	private _isInTouch = false;
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
		this._register(toDisposable(() => (this._isStopped = true)));
	}

	/** Begins to ask. */
	start(): void {
		void this._run();
	}

	ageMs(): Millis {
		return systemClock.now() - this._currentAt;
	}

	setReady(isReady: boolean): void {
		if (this._isReady === isReady) {
			return;
		}
		this._isReady = isReady;
		if (this._preferred) {
			this._ask(this._preferred, 0).catch(() => undefined);
		}
	}

	setDemand(demand: Readonly<Record<string, number>>): void {
		this._demand = demand;
	}

	private async _run(): Promise<void> {
		while (!this._isStopped) {
			const address = this._nextControl();
			const waitMs = this._preferred ? WAIT_MS : 0;
			const answered = this._askAndFollow(address, waitMs);
			const isInTime = await Promise.race([answered, pause(waitMs + ANSWER_MARGIN_MS)]);
			if (!isInTime) {
				this._noticeFailure(address);
			}
			if (!this._preferred) {
				await pause(RETRY_PAUSE_MS);
			}
		}
	}

	/** The control instance that answered last; else the next of all that are known, those of this hall's seeds included. */
	private _nextControl(): string {
		if (this._preferred) {
			return this._preferred;
		}
		const discovery = this._settings.section<DiscoverySettings>('discovery');
		const seeds = seedPeerAddresses(discovery, this._instance.peerAddress);
		const known = [...new Set([...this._controls, ...seeds])];
		return known[this._turn++ % known.length]!;
	}

	/** Asks a control instance and goes on with it if its answer is current; true where an answer came, late or not. */
	private async _askAndFollow(address: string, waitMs: Millis): Promise<boolean> {
		try {
			const isCurrent = await this._ask(address, waitMs);
			if (isCurrent) {
				this._preferred = address;
			} else if (this._preferred === address) {
				this._preferred = undefined;
			}
			return true;
		} catch {
			return false;
		}
	}

	/** @returns whether the answer is current */
	private async _ask(address: string, waitMs: Millis): Promise<boolean> {
		const request: SyncRequest = {
			entry: {
				name: this._instance.name,
				incarnation: this._incarnation,
				sequence: ++this._sequence,
				hall: this._instance.hall,
				region: this._instance.region,
				callerAddress: this._callerAddress,
				isReady: this._isReady,
				revision: this.view.revision,
				demand: this._demand
			},
			waitMs
		};
		const sentAt = systemClock.now();
		const response = await this._calls.call(address, syncMethod, request, waitMs + LATE_ANSWER_MS);
		this._take(address, response, Math.max(0, systemClock.now() - sentAt - waitMs));
		return response.contactAgeMs < STALE_MS;
	}

	/** @param onWayMs the longest that the answer may have been on its way */
	private _take(address: string, response: SyncResponse, onWayMs: Millis): void {
		const now = systemClock.now();
		const before = this.view.revision;
		const contradicted = [...this.view.contradictedRegions].join(',');
		this.view.apply(response, now);
		this._noteContradiction(address, response, contradicted);
		if (response.controls.length > 0) {
			this._controls = response.controls;
		}
		if (this.view.revision !== before) {
			this._log.info('fleet changed', {
				task: 'fleet',
				revision: this.view.revision,
				tableVersion: this.view.routes?.table.version
			});
		}
		if (response.contactAgeMs >= STALE_MS) {
			return;
		}
		this._currentAt = Math.max(this._currentAt, now - response.contactAgeMs - onWayMs);
		if (!this._isInTouch) {
			this._isInTouch = true;
			this._log.info('in touch with control', { task: 'fleet', control: address });
		}
	}

	/** Logs when control's word on silent targets begins, or ceases, to be contradicted by the requests of this instance. */
	private _noteContradiction(control: string, response: SyncResponse, before: string): void {
		const regions = [...this.view.contradictedRegions];
		if (regions.join(',') !== before) {
			this._log.warn('silence contradicted', {
				task: 'fleet',
				control,
				regions,
				silent: response.silentTargets.length,
				contactAgeMs: Math.round(response.contactAgeMs)
			});
		}
	}

	private _noticeFailure(address: string): void {
		this._preferred = undefined;
		if (this._isInTouch) {
			this._isInTouch = false;
			this._log.warn('control lost', { task: 'fleet', control: address, viewAgeMs: Math.round(this.ageMs()) });
		}
	}
}

function pause(ms: Millis): Promise<undefined> {
	return new Promise(resolve => setTimeout(() => resolve(undefined), ms));
}
