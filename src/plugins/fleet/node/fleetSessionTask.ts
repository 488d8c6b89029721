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
import { ControlOrder } from '../common/controlOrder.js';
import { FleetView } from '../common/fleetView.js';
import {
	type ControlAddress,
	syncMethod,
	type SyncRequest,
	type SyncResponse,
	type ToldLimit
} from '../common/fleetWire.js';
import type { SeenRun } from '../common/quarantineTypes.js';
import type { WorkByTarget } from '../common/targetNeeds.js';
import { ViewAge } from '../common/viewAge.js';
import { RunReporter } from './runReporter.js';
import type { PlaceSettings } from '../common/placeSettings.js';

/** How long control may hold an answer back while nothing changes. */
const WAIT_MS = 500;
/** Without an answer this long after it was due, another control instance is asked too. */
const ANSWER_MARGIN_MS = 600;
/** An answer that is late counts all the same: on a crowded link every one may be late. */
const LATE_ANSWER_MS = 4000;
const RETRY_PAUSE_MS = 60;
/** Limits that change within this time go in one call. */
const GATHER_MS = 50;
/** Most limits that one call tells of; the others follow with the next ones. */
const MOST_LIMITS = 64;
/** An answer from a control instance that was out of touch with its leader for this long does not count. */
const STALE_MS = 1200;

/** The session of this entry instance with control. */
export class FleetSessionTask extends Disposable implements IFleetSession {
	readonly view: FleetView;
	private readonly _instance: InstanceSettings;
	private readonly _incarnation = randomUUID();
	private readonly _callerAddress: string;
	private readonly _order: ControlOrder;
	private readonly _reporter: RunReporter;
	/** The control instances, as one of them named them last. */
	private _controls: readonly ControlAddress[] = [];
	private _sequence = 0;
	private _isReady = false;
	private _demand: Readonly<Record<string, number>> = {};
	private _needs = new Map<string, number>();
	private _limits: readonly ToldLimit[] = [];
	private _isHurrying = false;
	private readonly _age = new ViewAge();
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
		this._order = new ControlOrder(this._instance, hall => halls.get(hall));
		this._reporter = new RunReporter(this._calls, () => this.controlAddresses(), this._log);
		this._register(toDisposable(() => this._reporter.stop()));
		this._register(toDisposable(() => (this._isStopped = true)));
	}

	/** Begins to ask. */
	start(): void {
		void this._run();
	}

	controlAddresses(): readonly string[] {
		return this._order.inOrder(systemClock.now());
	}

	ageMs(): Millis {
		return this._age.ageMs();
	}

	setReady(isReady: boolean): void {
		if (this._isReady === isReady) {
			return;
		}
		this._isReady = isReady;
		if (this._order.settledOn !== undefined) {
			this._ask(this._order.settledOn, 0).catch(() => undefined);
		}
	}

	reportRun(run: SeenRun): void {
		this._reporter.noteRun(run);
	}

	reportAnswer(digest: string): void {
		this._reporter.noteAnswer(digest);
	}

	tellLimits(limits: readonly ToldLimit[], hasNews: boolean): void {
		this._limits = limits.slice(0, MOST_LIMITS);
		if (hasNews && !this._isHurrying && this._order.settledOn !== undefined) {
			this._isHurrying = true;
			const address = this._order.settledOn;
			setTimeout(() => {
				this._isHurrying = false;
				this._ask(address, 0).catch(() => undefined);
			}, GATHER_MS);
		}
	}

	setDemand(demand: Readonly<Record<string, number>>): void {
		this._demand = demand;
	}

	addNeeds(needs: WorkByTarget): void {
		for (const [id, work] of Object.entries(needs)) {
			this._needs.set(id, (this._needs.get(id) ?? 0) + work);
		}
	}

	/** Needs that were sent are forgotten, also where the call is lost: they are averages of what is asked for right now. */
	private _takeNeeds(): WorkByTarget {
		const needs = Object.fromEntries([...this._needs].map(([id, work]) => [id, Math.round(work * 100) / 100]));
		this._needs = new Map();
		return needs;
	}

	private async _run(): Promise<void> {
		while (!this._isStopped) {
			const now = systemClock.now();
			if (this._order.settledOn === undefined) {
				this._learnControls();
			}
			const address = this._order.next(now);
			const nearer = this._order.takeNearer(now);
			if (nearer !== undefined) {
				void this._askAndFollow(nearer, 0);
			}
			if (address !== undefined) {
				await this._askInTime(address);
			}
			if (this._order.settledOn === undefined) {
				await pause(RETRY_PAUSE_MS);
			}
		}
	}

	private async _askInTime(address: string): Promise<void> {
		// An instance that does not know how old its view is does not wait for news, but asks for what is current.
		const isWaiting = this._order.settledOn !== undefined && Number.isFinite(this.ageMs());
		const waitMs = isWaiting ? WAIT_MS : 0;
		const answered = this._askAndFollow(address, waitMs);
		const isInTime = await Promise.race([answered, pause(waitMs + ANSWER_MARGIN_MS)]);
		if (!isInTime) {
			this._noticeFailure(address);
		}
	}

	/** Asks a control instance and goes on with it if its answer is current; true where an answer came, late or not. */
	private async _askAndFollow(address: string, waitMs: Millis): Promise<boolean> {
		try {
			const isCurrent = await this._ask(address, waitMs);
			if (isCurrent) {
				this._order.noteCurrent(address);
			} else {
				this._order.noteFailure(address, systemClock.now());
			}
			return true;
		} catch {
			this._order.noteFailure(address, systemClock.now());
			return false;
		}
	}

	/** The seeds, as the settings have them now, stay in the order: they may be all that is left of the control instances. */
	private _learnControls(): void {
		const discovery = this._settings.section<DiscoverySettings>('discovery');
		this._order.learn(this._controls, seedPeerAddresses(discovery, this._instance.peerAddress));
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
				peerAddress: this._instance.peerAddress,
				isReady: this._isReady,
				revision: this.view.revision,
				demand: this._demand
			},
			needs: this._takeNeeds(),
			limits: this._limits,
			quarantineRevision: this.view.quarantine.revision,
			waitMs
		};
		const asked = this._age.ask();
		const response = await this._calls.call(address, syncMethod, request, waitMs + LATE_ANSWER_MS);
		this._take(address, response);
		const isCurrent = response.contactAgeMs < STALE_MS;
		if (isCurrent) {
			this._age.noteCurrent(asked, waitMs, response.contactAgeMs);
			this._noticeTouch(address);
		}
		return isCurrent;
	}

	private _take(address: string, response: SyncResponse): void {
		const now = systemClock.now();
		const before = this.view.revision;
		const contradicted = [...this.view.contradictedRegions].join(',');
		this.view.apply(response, now);
		this._noteContradiction(address, response, contradicted);
		if (response.controls.length > 0) {
			this._controls = response.controls;
			this._learnControls();
		}
		if (this.view.revision !== before) {
			this._log.info('fleet changed', {
				task: 'fleet',
				revision: this.view.revision,
				tableVersion: this.view.routes?.table.version
			});
		}
	}

	private _noticeTouch(address: string): void {
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
		this._order.noteFailure(address, systemClock.now());
		if (this._isInTouch) {
			this._isInTouch = false;
			this._log.warn('control lost', { task: 'fleet', control: address, viewAgeMs: Math.round(this.ageMs()) });
		}
	}
}

function pause(ms: Millis): Promise<undefined> {
	return new Promise(resolve => setTimeout(() => resolve(undefined), ms));
}
