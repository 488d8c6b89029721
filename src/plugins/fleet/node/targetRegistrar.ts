/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Makes the words of targets into orders: they register, say that they leave, and go. */

import { type Millis, systemClock } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import { drawPacedSenders } from '../common/pacedSenders.js';
import { EarlierLives } from '../common/earlierLives.js';
import type { TargetHeartbeat } from '../common/fleetControl.js';
import type { FleetState } from '../common/fleetState.js';
import { type TargetChange, type TargetDescription, TargetPhase, type TargetRecord } from '../common/fleetTypes.js';
import type { Sightings } from '../common/sightings.js';
import type { FleetOrders } from './fleetOrders.js';

/** Which life of a target speaks, by what is known of it. */
enum Life {
	/** One that another target, or a later life, has replaced; or somebody who is not this target. */
	Earlier,
	Known,
	New
}

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
		const { description, isLeaving, sequence, coldLeftMs } = heartbeat;
		const { id, bornAt } = description;
		const now = systemClock.now();
		const known = this._state.target(id);
		const life = this._lifeOf(description, known, now);
		if (life === Life.Earlier || (life === Life.Known && known!.phase === TargetPhase.Gone)) {
			return;
		}
		const isNewest = this._sightings.seeHeartbeat({ id, bornAt, sequence, coldLeftMs }, now);
		const phase = isLeaving ? TargetPhase.Leaving : TargetPhase.Serving;
		const isNews = life === Life.New || (isLeaving && known!.phase === TargetPhase.Serving);
		if (isNews && (isNewest || isLeaving)) {
			await this._change({ id, bornAt, phase, ...(life === Life.New ? this._introduce(description) : {}) });
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

	/** Which life of its target speaks; one that is passed over is logged. */
	private _lifeOf(description: TargetDescription, known: TargetRecord | undefined, now: Millis): Life {
		const { id, bornAt, address, service } = description;
		const isKnown = known?.bornAt === bornAt;
		const holderId = this._state.holderOf(address);
		const holder = holderId === undefined ? undefined : { id: holderId, heardAt: this._sightings.heardAt(holderId) };
		const isOutlived = known !== undefined && bornAt < known.bornAt;
		// A target keeps its service when it starts again: a word that names another one comes from somebody else.
		const isForeign = known !== undefined && service !== known.service && known.service !== '';
		if (isOutlived || isForeign || this._earlierLives.isStale(id, isKnown, holder, now)) {
			this._log.info('heartbeat passed over', {
				task: 'fleet',
				target: id,
				bornAt,
				address,
				service,
				holder: holderId
			});
			return Life.Earlier;
		}
		return isKnown ? Life.Known : Life.New;
	}

	private _introduce(description: TargetDescription): Pick<TargetChange, 'description' | 'pacedSenders'> {
		const region = this._halls.get(description.hall) ?? '';
		const entries = this._sightings.liveEntries(systemClock.now());
		return { description, pacedSenders: drawPacedSenders(description.id, region, entries) };
	}

	private async _change(change: TargetChange): Promise<void> {
		const command = { type: 'changeTargets', changes: [change] } as const;
		// A target that is new need not be known everywhere before it is answered.
		await (change.phase === TargetPhase.Serving ? this._orders.orderAtLeader(command) : this._orders.order(command));
		this._log.info('target changed', { task: 'fleet', target: change.id, phase: change.phase });
	}
}
