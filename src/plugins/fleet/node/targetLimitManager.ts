/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Replicates the rate limits that targets announce to entry instances, and assigns senders (the entry instances that may send to
 * the target) to targets with a limit. Both are kept in the replicated log and survive leader changes and power failures.
 */

import type { Millis } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IAgreement } from '../../agreement/common/agreement.js';
import type { FleetState } from '../common/fleetState.js';
import { type PaceChange, TargetPhase, type TargetRecord } from '../common/fleetTypes.js';
import type { ReportedLimit } from '../common/fleetWire.js';
import { PACE_LEASE_MS } from '../common/paceShare.js';
import { selectPacedSenders, selectPacedSendersFromAnyRegion } from '../common/pacedSenders.js';
import type { LivenessTracker } from '../common/livenessTracker.js';
import type { FleetCommandClient } from './fleetCommandClient.js';

/** Reports within this time share a log entry; several instances usually report the same target at about the same time. */
const BATCH_WINDOW_MS = 50;
/** Maximum number of changes listed in a log line. */
const MAX_LOGGED_CHANGES = 8;
/** Time without contact after which a sender may be replaced. Exceeds the lease, so that the old sender has stopped before. */
const SENDER_REPLACEMENT_DELAY_MS: Millis = PACE_LEASE_MS + 5000;

/** Manages the limits and senders of targets at a control instance. */
export class TargetLimitManager {
	private readonly _reported = new Map<string, ReportedLimit>();
	private _batchTimer?: NodeJS.Timeout;
	private _isSubmitting = false;

	constructor(
		private readonly _state: FleetState,
		private readonly _liveness: LivenessTracker,
		private readonly _commands: FleetCommandClient,
		private readonly _agreement: IAgreement,
		private readonly _regionByHall: ReadonlyMap<string, string>,
		private readonly _log: ILogService
	) {}

	/** Handles limits reported by an entry instance, which repeats them until the replicated records contain them. */
	handleReportedLimits(limits: readonly ReportedLimit[]): void {
		for (const limit of limits) {
			if (this._differsFromRecord(limit)) {
				this._reported.set(limit.id, limit);
			}
		}
		if (this._reported.size > 0) {
			this._batchTimer ??= setTimeout(() => void this._submitReported(), BATCH_WINDOW_MS);
		}
	}

	/**
	 * Assigns senders to limited or cold targets that have none, and replaces senders without recent contact; called several times a
	 * second.
	 * @param completeSince since when this instance has received the liveness of all entry instances; undefined if it does not
	 */
	updateSenders(completeSince: Millis | undefined, now: Millis): void {
		if (completeSince === undefined || this._isSubmitting || !this._agreement.hasLease()) {
			return;
		}
		const changes: PaceChange[] = [];
		for (const target of this._state.targets) {
			if (target.phase === TargetPhase.Serving && isRateLimited(target)) {
				const pacedSenders = this._selectSenders(target, completeSince, now);
				if (pacedSenders.join() !== target.pacedSenders.join()) {
					changes.push({ id: target.id, bornAt: target.bornAt, pacedSenders, base: target.changedAt });
				}
			}
		}
		if (changes.length > 0) {
			void this._submit(changes);
		}
	}

	/** Cancels a pending batch. */
	stop(): void {
		clearTimeout(this._batchTimer);
	}

	private _differsFromRecord({ id, bornAt, perSecond }: ReportedLimit): boolean {
		const known = this._state.target(id);
		return known?.bornAt === bornAt && (known.limitPerSecond ?? null) !== perSecond;
	}

	private async _submitReported(): Promise<void> {
		this._batchTimer = undefined;
		const changedLimits = [...this._reported.values()].filter(limit => this._differsFromRecord(limit));
		this._reported.clear();
		if (changedLimits.length > 0) {
			await this._submit(
				changedLimits.map(({ id, bornAt, perSecond, base }) => ({ id, bornAt, limitPerSecond: perSecond, base }))
			);
		}
	}

	private async _submit(changes: readonly PaceChange[]): Promise<void> {
		this._isSubmitting = true;
		try {
			await this._commands.submitToLeader({ type: 'paceTargets', changes });
			this._log.info('limits or senders of targets changed', {
				task: 'fleet',
				targets: changes.length,
				first: changes.slice(0, MAX_LOGGED_CHANGES)
			});
		} catch (error) {
			const reason = (error as Error).message;
			this._log.warn('cannot change limits or senders of targets', { task: 'fleet', targets: changes.length, reason });
		} finally {
			this._isSubmitting = false;
		}
	}

	/** Keeps the senders whose lease may still be valid, so that no two instances hold the same share of the limit. */
	private _selectSenders(target: TargetRecord, completeSince: Millis, now: Millis): readonly string[] {
		const { id, hall, pacedSenders } = target;
		const retained = pacedSenders.filter(name => !this._hasLapsed(name, completeSince, now));
		if (retained.length === pacedSenders.length && retained.length > 0) {
			return pacedSenders;
		}
		const vacancies = pacedSenders.length === 0 ? Number.POSITIVE_INFINITY : pacedSenders.length - retained.length;
		const entries = this._liveness.liveEntries(now).filter(({ name }) => !pacedSenders.includes(name));
		const sameRegionSenders = selectPacedSenders(id, this._regionByHall.get(hall) ?? '', entries);
		const candidates =
			sameRegionSenders.length + retained.length > 0 ? sameRegionSenders : selectPacedSendersFromAnyRegion(id, entries);
		return [...retained, ...candidates.slice(0, vacancies)];
	}

	/** Whether a sender had no contact for the replacement delay, counting only time with complete liveness data. */
	private _hasLapsed(name: string, completeSince: Millis, now: Millis): boolean {
		const lastSeenAt = this._liveness.entryLastSeenAt(name) ?? Number.NEGATIVE_INFINITY;
		return now - Math.max(lastSeenAt, completeSince) > SENDER_REPLACEMENT_DELAY_MS;
	}
}

function isRateLimited({ limitPerSecond, coldUntil }: TargetRecord): boolean {
	return limitPerSecond !== undefined || (coldUntil !== undefined && coldUntil > Date.now());
}
