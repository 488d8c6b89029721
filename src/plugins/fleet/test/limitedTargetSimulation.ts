/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Simulates entry instances, control and one target with a limit, in virtual time: calls are lost, instances are disconnected from
 * control or restarted, and senders are replaced. Records the requests that all instances admit.
 */

import type { Millis } from '../../../base/clock.js';
import type { FleetCommand, TargetRecord } from '../common/fleetTypes.js';
import { TargetPhase } from '../common/fleetTypes.js';
import { FleetState } from '../common/fleetState.js';
import { FleetView } from '../common/fleetView.js';
import type { SyncResponse } from '../common/fleetWire.js';
import { PaceShare } from '../common/paceShare.js';
import { LivenessTracker } from '../common/livenessTracker.js';
import { describeEntry } from '../../../../test/fakes/describeEntry.js';
import { TargetLimitTable } from '../../limits/common/targetLimitTable.js';

/** Id of the simulated target. */
export const TARGET_ID = 't';

interface SimulatedInstance {
	readonly name: string;
	view: FleetView;
	limits: TargetLimitTable;
	/** When it last synced with control. */
	currentAt: Millis;
	isDisconnected: boolean;
}

/** The simulated fleet. Time advances only by {@link LimitedTargetSimulation.advance}. */
export class LimitedTargetSimulation {
	now: Millis = 100000;
	/** Times of the requests admitted by any instance. */
	readonly sentAt: Millis[] = [];
	readonly state = new FleetState();
	readonly liveness = new LivenessTracker({ entryTimeoutMs: 2500, heartbeatTimeoutMs: 4500 }, 0);
	private readonly _instances: SimulatedInstance[];
	private _sequence = 0;

	constructor(instances: number, senders: readonly string[], perSecond: number) {
		this._instances = Array.from({ length: instances }, (_, i) => this._startInstance(`e-${i}`));
		const description = { id: TARGET_ID, bornAt: 7, service: 's', address: 'a:1', hall: 'h', version: 'v', slots: 9 };
		const registration = { id: TARGET_ID, bornAt: 7, phase: TargetPhase.Serving, description, pacedSenders: senders };
		this.apply({ type: 'changeTargets', changes: [registration] });
		this.apply({ type: 'paceTargets', changes: [{ id: TARGET_ID, bornAt: 7, limitPerSecond: perSecond }] });
		this._syncAll();
	}

	get record(): TargetRecord {
		return this.state.target(TARGET_ID)!;
	}

	apply(command: FleetCommand): void {
		this.state.apply(command);
	}

	/** Advances the time, and syncs the instances that are not disconnected. */
	advance(spanMs: Millis): void {
		this.now += spanMs;
		this._syncAll();
	}

	setDisconnected(index: number, isDisconnected: boolean): void {
		this._instances[index % this._instances.length]!.isDisconnected = isDisconnected;
	}

	restart(index: number): void {
		const position = index % this._instances.length;
		const { name, isDisconnected } = this._instances[position]!;
		this._instances[position] = { ...this._startInstance(name), isDisconnected };
	}

	/**
	 * Simulates a request at an instance.
	 * @param isLost whether the response to the permit call, if one is made, is lost
	 * @returns whether the request was admitted
	 */
	request(index: number, isLost: boolean): boolean {
		const { limits, view } = this._instances[index % this._instances.length]!;
		const record = view.target(TARGET_ID)?.record;
		// An instance without the record does not know the target.
		if (!record || !limits.hasCapacity(record, true, this.now)) {
			return false;
		}
		const isAdmitted = limits.tryTakeOwnPermit(record, this.now) || this._requestRemotePermit(limits, record, isLost);
		if (isAdmitted) {
			this.sentAt.push(this.now);
		}
		return isAdmitted;
	}

	/** The maximum number of requests admitted within any window. */
	maxInWindow(windowMs: Millis): number {
		return Math.max(0, ...this.sentAt.map((at, i) => this.sentAt.filter(other => other < at + windowMs).length - i));
	}

	private _requestRemotePermit(limits: TargetLimitTable, record: TargetRecord, isLost: boolean): boolean {
		const provider = limits.findPermitProvider(record, this.now);
		const other = this._instances.find(({ name }) => name === provider?.name);
		const response = other?.limits.grantPermit({ targetId: TARGET_ID, bornAt: record.bornAt }, this.now);
		if (!response || isLost) {
			limits.recordUnresponsive(provider?.name ?? '', this.now);
			return false;
		}
		if (!response.isGranted) {
			limits.recordDenied(record, provider!.name, response.waitMs, this.now);
		}
		return response.isGranted;
	}

	private _startInstance(name: string): SimulatedInstance {
		const view = new FleetView(() => 'r');
		const instance = { name, view, currentAt: Number.NEGATIVE_INFINITY, isDisconnected: false } as SimulatedInstance;
		instance.limits = new TargetLimitTable(view, new PaceShare(name, () => this.now - instance.currentAt));
		return instance;
	}

	private _syncAll(): void {
		for (const instance of this._instances.filter(({ isDisconnected }) => !isDisconnected)) {
			const entry = describeEntry({ name: instance.name, sequence: ++this._sequence, peerAddress: instance.name });
			this.liveness.recordEntry(entry, this.now);
			instance.view.apply(this._responseTo(instance.view), this.now);
			instance.currentAt = this.now;
		}
	}

	private _responseTo(view: FleetView): SyncResponse {
		return {
			changes: this.state.changesAfter(view.revision),
			controls: [],
			contactAgeMs: 0,
			hasHeardAll: true,
			entryCount: this._instances.length,
			regionEntries: this._instances.map(({ name }) => name),
			hallPeers: [],
			limitSenders: this._instances.map(({ name }) => ({ name, address: name })),
			silentTargets: [],
			coldTargets: [],
			crowdedTargets: [],
			demand: {}
		};
	}
}
