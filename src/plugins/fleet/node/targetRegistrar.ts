/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Turns heartbeats of targets into commands on the fleet state: registration, leaving, and removal. */

import { type Millis, systemClock } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import { selectPacedSenders } from '../common/pacedSenders.js';
import { type AddressOwner, StaleHeartbeatFilter } from '../common/staleHeartbeatFilter.js';
import { FleetUnavailableError, type TargetHeartbeat } from '../common/fleetControl.js';
import type { FleetState } from '../common/fleetState.js';
import {
	type FleetResult,
	type TargetChange,
	type TargetDescription,
	TargetPhase,
	type TargetRecord
} from '../common/fleetTypes.js';
import type { LivenessTracker } from '../common/livenessTracker.js';
import type { FleetCommandClient, HasCallerLeft } from './fleetCommandClient.js';

/** Incarnation of a target that a heartbeat comes from, compared with the registered one. */
enum Incarnation {
	/** Replaced by another target or a later incarnation, or not this target at all. */
	Stale,
	Current,
	New
}

/** Smaller differences from the recorded end are not recorded: heartbeats are delayed by different times. */
const COLD_RECORD_TOLERANCE_MS: Millis = 1000;

/** Registers the targets that send heartbeats to this control instance. */
export class TargetRegistrar {
	private readonly _staleHeartbeatFilter = new StaleHeartbeatFilter();

	constructor(
		private readonly _state: FleetState,
		private readonly _liveness: LivenessTracker,
		private readonly _commands: FleetCommandClient,
		private readonly _regionByHall: ReadonlyMap<string, string>,
		private readonly _log: ILogService
	) {}

	/** Handles a heartbeat; resolves when the change it causes, if any, is in the replicated log. */
	async heartbeat(heartbeat: TargetHeartbeat): Promise<void> {
		const { description, isLeaving, sequence, coldLeftMs } = heartbeat;
		const { id, bornAt } = description;
		const now = systemClock.now();
		const known = this._state.target(id);
		const incarnation = this._classify(heartbeat, known, now);
		if (
			incarnation === Incarnation.Stale ||
			(incarnation === Incarnation.Current && known!.phase === TargetPhase.Gone)
		) {
			return;
		}
		const isNewest = this._liveness.recordHeartbeat({ id, bornAt, sequence, coldLeftMs }, now);
		const phase = isLeaving ? TargetPhase.Leaving : TargetPhase.Serving;
		const isChange = incarnation === Incarnation.New || (isLeaving && known!.phase === TargetPhase.Serving);
		if (isChange && (isNewest || isLeaving)) {
			await this._submitChange({
				id,
				bornAt,
				phase,
				...(incarnation === Incarnation.New ? this._registrationOf(description, coldLeftMs) : {})
			});
		} else if (known?.phase === TargetPhase.Leaving) {
			await this._commands.waitUntilTargetChangeApplied(known.changedAt);
		} else if (known && isNewest) {
			await this._recordCold(known, coldLeftMs);
		}
	}

	/** Records that a target has turned cold, so that control instances that restart know of it. */
	private async _recordCold({ id, bornAt, coldUntil }: TargetRecord, coldLeftMs: Millis): Promise<void> {
		const reportedUntil = Date.now() + coldLeftMs;
		if (coldLeftMs === 0 || reportedUntil <= (coldUntil ?? 0) + COLD_RECORD_TOLERANCE_MS) {
			return;
		}
		await this._commands.submitToLeader({ type: 'paceTargets', changes: [{ id, bornAt, coldUntil: reportedUntil }] });
		this._log.info('target is cold', { task: 'fleet', target: id, leftMs: Math.round(coldLeftMs) });
	}

	/**
	 * Removes a target at its own request; resolves when that is in the replicated log. Where targets restart under their id, the
	 * request does not tell which incarnation it is about, so it is the one that is registered while its caller waits.
	 * @throws FleetUnavailableError the caller has left, or the change may not be in the log
	 */
	async remove(id: string, hasCallerLeft: HasCallerLeft): Promise<void> {
		const known = this._state.target(id);
		const mayRestart = known === undefined || known.bornAt > 0;
		const result = await this._commands.submitForCaller(
			base => ({ type: 'changeTargets', changes: [{ id, phase: TargetPhase.Gone, base }] }),
			known?.changedAt ?? 0,
			async () => mayRestart && (await hasCallerLeft())
		);
		this._reportChange(id, TargetPhase.Gone, result);
		this._liveness.dropTarget(id);
	}

	/**
	 * Determines which incarnation sent a heartbeat, and logs stale ones, which are ignored. The shutdown of a registered incarnation
	 * is never stale: a late one is still true.
	 */
	private _classify(
		{ description, isLeaving }: TargetHeartbeat,
		known: TargetRecord | undefined,
		now: Millis
	): Incarnation {
		const { id, bornAt, address, service } = description;
		const isKnown = known?.bornAt === bornAt;
		const holderId = this._state.targetIdAt(address);
		const holder = holderId === undefined ? undefined : this._addressOwner(holderId);
		const isSuperseded = known !== undefined && bornAt < known.bornAt;
		// A target keeps its service across restarts, so a heartbeat for another service comes from a different target.
		const isForeign = known !== undefined && service !== known.service && known.service !== '';
		const isStale = this._staleHeartbeatFilter.isStale(id, isKnown, holder, now) && !(isKnown && isLeaving);
		if (isSuperseded || isForeign || isStale) {
			this._log.info('stale heartbeat ignored', {
				task: 'fleet',
				target: id,
				bornAt,
				address,
				service,
				holder: holderId
			});
			return Incarnation.Stale;
		}
		return isKnown ? Incarnation.Current : Incarnation.New;
	}

	private _addressOwner(id: string): AddressOwner {
		return { id, lastHeartbeatAt: this._liveness.lastHeartbeatAt(id) ?? this._liveness.startedAt };
	}

	private _registrationOf(
		description: TargetDescription,
		coldLeftMs: Millis
	): Omit<TargetChange, 'id' | 'phase' | 'bornAt'> {
		const region = this._regionByHall.get(description.hall) ?? '';
		const entries = this._liveness.liveEntries(systemClock.now());
		return {
			description,
			base: this._state.target(description.id)?.changedAt ?? 0,
			addressOwner: this._state.targetIdAt(description.address) ?? null,
			pacedSenders: selectPacedSenders(description.id, region, entries),
			...(coldLeftMs > 0 ? { coldUntil: Date.now() + coldLeftMs } : {})
		};
	}

	private async _submitChange(change: TargetChange): Promise<void> {
		const command = { type: 'changeTargets', changes: [change] } as const;
		// A registration is acknowledged without waiting until the entry instances apply it.
		const result = await (change.phase === TargetPhase.Serving
			? this._commands.submitToLeader(command)
			: this._commands.submit(command));
		this._reportChange(change.id, change.phase, result);
	}

	/** @throws FleetUnavailableError the change is based on an outdated record; the target asks another instance, or again later */
	private _reportChange(target: string, phase: TargetPhase, result: FleetResult): void {
		if (!result.ok) {
			throw new FleetUnavailableError(result.message);
		}
		this._log.info('target changed', { task: 'fleet', target, phase });
	}
}
