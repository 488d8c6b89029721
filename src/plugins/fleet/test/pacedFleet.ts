/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Instances, control and one target with a limit, for interleavings: calls are lost, instances are cut off from control, start anew, and
 * senders are replaced. Counts what all of them let through.
 */

import type { Millis } from '../../../base/clock.js';
import type { FleetCommand, TargetRecord } from '../common/fleetTypes.js';
import { TargetPhase } from '../common/fleetTypes.js';
import { FleetState } from '../common/fleetState.js';
import { FleetView } from '../common/fleetView.js';
import type { SyncResponse } from '../common/fleetWire.js';
import { PaceShare } from '../common/paceShare.js';
import { Sightings } from '../common/sightings.js';
import { describeEntry } from '../../../../test/fakes/describeEntry.js';
import { TargetLimitTable } from '../../limits/common/targetLimitTable.js';

/** Id of the target. */
export const TARGET_ID = 't';

interface Instance {
	readonly name: string;
	view: FleetView;
	limits: TargetLimitTable;
	/** When it was last in touch with control. */
	currentAt: Millis;
	isCutOff: boolean;
}

/** The fleet; its time goes on by steps. */
export class PacedFleet {
	now: Millis = 100000;
	/** When requests were let through, by whichever instance. */
	readonly sentAt: Millis[] = [];
	readonly state = new FleetState();
	readonly sightings = new Sightings({ entrySilentMs: 2500, targetSilentMs: 4500 }, 0);
	private readonly _instances: Instance[];
	private _sequence = 0;

	constructor(instances: number, senders: readonly string[], perSecond: number) {
		this._instances = Array.from({ length: instances }, (_, i) => this._start(`e-${i}`));
		const description = { id: TARGET_ID, bornAt: 7, service: 's', address: 'a:1', hall: 'h', version: 'v', slots: 9 };
		const born = { id: TARGET_ID, bornAt: 7, phase: TargetPhase.Serving, description, pacedSenders: senders };
		this.apply({ type: 'changeTargets', changes: [born] });
		this.apply({ type: 'paceTargets', changes: [{ id: TARGET_ID, bornAt: 7, limitPerSecond: perSecond }] });
		this._syncAll();
	}

	get record(): TargetRecord {
		return this.state.target(TARGET_ID)!;
	}

	apply(command: FleetCommand): void {
		this.state.apply(command);
	}

	/** Time goes on; instances that are not cut off hear of control. */
	pass(spanMs: Millis): void {
		this.now += spanMs;
		this._syncAll();
	}

	setCutOff(index: number, isCutOff: boolean): void {
		this._instances[index % this._instances.length]!.isCutOff = isCutOff;
	}

	restart(index: number): void {
		const place = index % this._instances.length;
		const { name, isCutOff } = this._instances[place]!;
		this._instances[place] = { ...this._start(name), isCutOff };
	}

	/**
	 * A request at an instance.
	 * @param isLost whether the call for a permit, if there is one, is lost on its way back
	 * @returns whether it was let through
	 */
	request(index: number, isLost: boolean): boolean {
		const { limits, view } = this._instances[index % this._instances.length]!;
		const record = view.target(TARGET_ID)?.record;
		// Without the target's record an instance knows of no target at all.
		if (!record || !limits.isOpen(record, true, this.now)) {
			return false;
		}
		const isLet = limits.takeOwn(record, this.now) || this._borrow(limits, record, isLost);
		if (isLet) {
			this.sentAt.push(this.now);
		}
		return isLet;
	}

	/** The most requests in any window. */
	mostInWindow(windowMs: Millis): number {
		return Math.max(0, ...this.sentAt.map((at, i) => this.sentAt.filter(other => other < at + windowMs).length - i));
	}

	private _borrow(limits: TargetLimitTable, record: TargetRecord, isLost: boolean): boolean {
		const lender = limits.lender(record, this.now);
		const other = this._instances.find(({ name }) => name === lender?.name);
		const answer = other?.limits.lend({ targetId: TARGET_ID, bornAt: record.bornAt }, this.now);
		if (!answer || isLost) {
			limits.noteSilent(lender?.name ?? '', this.now);
			return false;
		}
		if (!answer.isGranted) {
			limits.noteDenied(record, lender!.name, answer.waitMs, this.now);
		}
		return answer.isGranted;
	}

	private _start(name: string): Instance {
		const view = new FleetView(() => 'r');
		const instance = { name, view, currentAt: Number.NEGATIVE_INFINITY, isCutOff: false } as Instance;
		instance.limits = new TargetLimitTable(view, new PaceShare(name, () => this.now - instance.currentAt));
		return instance;
	}

	private _syncAll(): void {
		for (const instance of this._instances.filter(({ isCutOff }) => !isCutOff)) {
			const entry = describeEntry({ name: instance.name, sequence: ++this._sequence, peerAddress: instance.name });
			this.sightings.seeEntry(entry, this.now);
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
