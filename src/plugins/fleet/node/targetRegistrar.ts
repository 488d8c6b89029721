/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Makes the words of targets into orders: they register, say that they leave, and go. */

import { type Millis, systemClock } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import { drawColdSenders } from '../common/coldSenders.js';
import { EarlierLives } from '../common/earlierLives.js';
import type { TargetHeartbeat } from '../common/fleetControl.js';
import type { FleetState } from '../common/fleetState.js';
import { type TargetChange, type TargetDescription, TargetPhase } from '../common/fleetTypes.js';
import type { Sightings } from '../common/sightings.js';
import type { FleetOrders } from './fleetOrders.js';

/** The targets that speak with this control instance. */
export class TargetRegistrar {
	private readonly _earlierLives = new EarlierLives();

	/** @param _halls region by hall */
	constructor(
		private readonly _state: FleetState,
		private readonly _sightings: Sightings,
		private readonly _orders: FleetOrders,
		private readonly _halls: ReadonlyMap<string, string>,
		private readonly _log: ILogService
	) {}

	/** Takes a heartbeat in; resolves when what it changed is in the replicated log. */
	async heartbeat(heartbeat: TargetHeartbeat): Promise<void> {
		const { id } = heartbeat.description;
		const known = this._state.target(id);
		if (known?.phase === TargetPhase.Gone) {
			return;
		}
		const now = systemClock.now();
		if (this._isOfEarlierLife(heartbeat.description, known !== undefined, now)) {
			return;
		}
		const isNewest = this._sightings.seeHeartbeat(id, heartbeat.sequence, heartbeat.coldLeftMs, now);
		const phase = heartbeat.isLeaving ? TargetPhase.Leaving : TargetPhase.Serving;
		const isNews = !known || (heartbeat.isLeaving && known.phase === TargetPhase.Serving);
		if (isNews && (isNewest || heartbeat.isLeaving)) {
			await this._change({ id, phase, ...(known ? {} : this._introduce(heartbeat.description)) });
		} else if (known?.phase === TargetPhase.Leaving) {
			await this._orders.untilTargetInForce(known.changedAt);
		}
	}

	/** A target says that it is going; resolves when that is in the replicated log. */
	async remove(id: string): Promise<void> {
		const known = this._state.target(id);
		if (known?.phase === TargetPhase.Gone) {
			await this._orders.untilTargetInForce(known.changedAt);
		} else {
			await this._change({ id, phase: TargetPhase.Gone });
		}
		this._sightings.forgetTarget(id);
	}

	private _isOfEarlierLife({ id, address }: TargetDescription, isKnown: boolean, now: Millis): boolean {
		const holderId = this._state.holderOf(address);
		const holder = holderId === undefined ? undefined : { id: holderId, heardAt: this._sightings.heardAt(holderId) };
		if (!this._earlierLives.isStale(id, isKnown, holder, now)) {
			return false;
		}
		this._log.info('heartbeat passed over', { task: 'fleet', target: id, address, holder: holderId, isKnown });
		return true;
	}

	private _introduce(description: TargetDescription): Pick<TargetChange, 'description' | 'coldSenders'> {
		const region = this._halls.get(description.hall) ?? '';
		const entries = this._sightings.liveEntries(systemClock.now());
		return { description, coldSenders: drawColdSenders(description.id, region, entries) };
	}

	private async _change(change: TargetChange): Promise<void> {
		const command = { type: 'changeTargets', changes: [change] } as const;
		// A target that is new need not be known everywhere before it is answered.
		await (change.phase === TargetPhase.Serving ? this._orders.orderAtLeader(command) : this._orders.order(command));
		this._log.info('target changed', { task: 'fleet', target: change.id, phase: change.phase });
	}
}
