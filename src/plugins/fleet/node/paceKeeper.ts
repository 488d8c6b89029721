/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Takes in which limits targets named to entry instances, so that all instances know of them, and sees to it that targets with limits
 * have senders. Both stand in the replicated log: they hold through a change of leader and the loss of all power.
 */

import type { Millis } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IAgreement } from '../../agreement/common/agreement.js';
import type { FleetState } from '../common/fleetState.js';
import { type PaceChange, TargetPhase, type TargetRecord } from '../common/fleetTypes.js';
import type { ToldLimit } from '../common/fleetWire.js';
import { PACE_LEASE_MS } from '../common/paceShare.js';
import { drawPacedSenders, drawSendersAnywhere } from '../common/pacedSenders.js';
import type { Sightings } from '../common/sightings.js';
import type { FleetOrders } from './fleetOrders.js';

/** Words of several instances on one target come close together, and share an entry of the log. */
const GATHER_MS = 50;
/** Changes that a line names, so that its length stays bounded. */
const MOST_LOGGED = 8;
/** A sender that was not heard for this long may be replaced: its own leave has lapsed before, by whatever way it was last told. */
const REPLACE_AFTER_MS: Millis = PACE_LEASE_MS + 5000;

/** Limits and senders of targets, at a control instance. */
export class PaceKeeper {
	private readonly _told = new Map<string, ToldLimit>();
	private _gathering?: NodeJS.Timeout;
	private _isOrdering = false;

	/** @param _halls region by hall */
	constructor(
		private readonly _state: FleetState,
		private readonly _sightings: Sightings,
		private readonly _orders: FleetOrders,
		private readonly _agreement: IAgreement,
		private readonly _halls: ReadonlyMap<string, string>,
		private readonly _log: ILogService
	) {}

	/** An entry instance tells what targets named to it; it does so again until the records have it. */
	note(limits: readonly ToldLimit[]): void {
		for (const limit of limits) {
			if (this._isNews(limit)) {
				this._told.set(limit.id, limit);
			}
		}
		if (this._told.size > 0) {
			this._gathering ??= setTimeout(() => void this._orderTold(), GATHER_MS);
		}
	}

	/**
	 * Draws senders for targets with limits that have none, or in place of those that are gone; called several times a second.
	 * @param hearingSince since when all entry instances are heard of here; undefined where they are not
	 */
	renewSenders(hearingSince: Millis | undefined, now: Millis): void {
		if (hearingSince === undefined || this._isOrdering || !this._agreement.hasLease()) {
			return;
		}
		const changes: PaceChange[] = [];
		for (const target of this._state.targets) {
			if (target.phase === TargetPhase.Serving && target.limitPerSecond !== undefined) {
				const pacedSenders = this._sendersInPlaceOf(target, hearingSince, now);
				if (pacedSenders.join() !== target.pacedSenders.join()) {
					changes.push({ id: target.id, bornAt: target.bornAt, pacedSenders });
				}
			}
		}
		if (changes.length > 0) {
			void this._order(changes);
		}
	}

	/** Stops what waits. */
	stop(): void {
		clearTimeout(this._gathering);
	}

	private _isNews({ id, bornAt, perSecond }: ToldLimit): boolean {
		const known = this._state.target(id);
		return known?.bornAt === bornAt && (known.limitPerSecond ?? null) !== perSecond;
	}

	private async _orderTold(): Promise<void> {
		this._gathering = undefined;
		const news = [...this._told.values()].filter(limit => this._isNews(limit));
		this._told.clear();
		if (news.length > 0) {
			await this._order(news.map(({ id, bornAt, perSecond }) => ({ id, bornAt, limitPerSecond: perSecond })));
		}
	}

	private async _order(changes: readonly PaceChange[]): Promise<void> {
		this._isOrdering = true;
		try {
			await this._orders.orderAtLeader({ type: 'paceTargets', changes });
			this._log.info('pace of targets changed', {
				task: 'fleet',
				targets: changes.length,
				first: changes.slice(0, MOST_LOGGED)
			});
		} catch (error) {
			const reason = (error as Error).message;
			this._log.warn('pace of targets not changed', { task: 'fleet', targets: changes.length, reason });
		} finally {
			this._isOrdering = false;
		}
	}

	/** Those that may still send stay, so that no two instances hold the same part at a time. */
	private _sendersInPlaceOf(target: TargetRecord, hearingSince: Millis, now: Millis): readonly string[] {
		const { id, hall, pacedSenders } = target;
		const staying = pacedSenders.filter(name => !this._hasLapsed(name, hearingSince, now));
		if (staying.length === pacedSenders.length && staying.length > 0) {
			return pacedSenders;
		}
		const count = pacedSenders.length === 0 ? Number.POSITIVE_INFINITY : pacedSenders.length - staying.length;
		const entries = this._sightings.liveEntries(now).filter(({ name }) => !pacedSenders.includes(name));
		const near = drawPacedSenders(id, this._halls.get(hall) ?? '', entries);
		const drawn = near.length + staying.length > 0 ? near : drawSendersAnywhere(id, entries);
		return [...staying, ...drawn.slice(0, count)];
	}

	private _hasLapsed(name: string, hearingSince: Millis, now: Millis): boolean {
		const heardAt = this._sightings.entryHeardAt(name) ?? Number.NEGATIVE_INFINITY;
		return now - Math.max(heardAt, hearingSince) > REPLACE_AFTER_MS;
	}
}
