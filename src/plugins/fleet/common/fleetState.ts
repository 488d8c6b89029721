/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The fleet's part of the replicated state: published table, drained data halls and targets. Must stay deterministic. */

import { Emitter } from '../../../base/event.js';
import type { IReplicatedPart } from '../../agreement/common/replicatedState.js';
import {
	type ChangeTargetsCommand,
	FLEET_PART,
	type FleetChanges,
	type FleetCommand,
	FleetRefusalCode,
	type FleetResult,
	type FleetRevision,
	type HallRecord,
	type PaceChange,
	type PaceTargetsCommand,
	type PublishedTable,
	type PublishTableCommand,
	type SetHallCommand,
	type TargetChange,
	TargetPhase,
	type TargetRecord
} from './fleetTypes.js';

/** Digests of published documents that are kept to recognize retries. */
const MAX_DIGESTS = 4096;
/** Number of records above which the oldest gone targets are evicted; a late heartbeat cannot register a gone target before. */
const MAX_TARGETS = 4096;

const PHASE_ORDER: Readonly<Record<TargetPhase, number>> = {
	[TargetPhase.Serving]: 0,
	[TargetPhase.Leaving]: 1,
	[TargetPhase.Gone]: 2
};

interface SavedFleetState {
	readonly revision: FleetRevision;
	readonly forgotten: FleetRevision;
	readonly published?: PublishedTable;
	readonly digests: readonly (readonly [number, string])[];
	readonly halls: readonly HallRecord[];
	readonly targets: readonly TargetRecord[];
}

/** Replicated state machine of the fleet. */
export class FleetState implements IReplicatedPart {
	readonly id = FLEET_PART;
	private readonly _onDidChange = new Emitter<FleetRevision>();
	/** Fires with the new revision after each change. */
	readonly onDidChange = this._onDidChange.event;
	private _revision: FleetRevision = 0;
	/** Highest revision of an evicted record; a receiver with an earlier revision needs the whole state. */
	private _compactedRevision: FleetRevision = 0;
	private _published?: PublishedTable;
	private _digests = new Map<number, string>();
	private _halls = new Map<string, HallRecord>();
	/** In registration order. */
	private _targets = new Map<string, TargetRecord>();
	/** Id of the last target to register at each address. */
	private readonly _targetIdsByAddress = new Map<string, string>();

	/** Revision of the last change; 0 before the first. */
	get revision(): FleetRevision {
		return this._revision;
	}

	/** The table in force; undefined before the first publication. */
	get published(): PublishedTable | undefined {
		return this._published;
	}

	/** A target by its id; includes gone targets that are not evicted yet. */
	target(id: string): TargetRecord | undefined {
		return this._targets.get(id);
	}

	/** All targets, including gone ones that are not evicted yet. */
	get targets(): IterableIterator<TargetRecord> {
		return this._targets.values();
	}

	/** Id of the last target to register at an address; undefined if there is none or it is gone. */
	targetIdAt(address: string): string | undefined {
		const target = this._targets.get(this._targetIdsByAddress.get(address) ?? '');
		const isRegistered = target?.address === address && target.phase !== TargetPhase.Gone;
		return isRegistered ? target.id : undefined;
	}

	/** Whether a data hall is drained. */
	isDrained(hall: string): boolean {
		return this._halls.get(hall)?.isDrained ?? false;
	}

	/** Revision of the last order for a data hall; 0 for none. */
	hallRevision(hall: string): FleetRevision {
		return this._halls.get(hall)?.changedAt ?? 0;
	}

	/** Records changed after a revision; the whole state if the changes since then are no longer known. */
	changesAfter(revision: FleetRevision): FleetChanges {
		const isWhole = revision < this._compactedRevision || revision > this._revision;
		const isNewer = (record: { changedAt: FleetRevision }): boolean => isWhole || record.changedAt > revision;
		const published = this._published && isNewer(this._published) ? this._published : undefined;
		return {
			revision: this._revision,
			isWhole,
			published: published && { table: published.table, changedAt: published.changedAt },
			halls: [...this._halls.values()].filter(isNewer),
			targets: [...this._targets.values()].filter(isNewer)
		};
	}

	apply(body: unknown): FleetResult {
		const command = body as FleetCommand;
		switch (command.type) {
			case 'publishTable':
				return this._publish(command);
			case 'setHall':
				return this._setHall(command);
			case 'changeTargets':
				return this._changeTargets(command);
			case 'paceTargets':
				return this._paceTargets(command);
		}
	}

	save(): SavedFleetState {
		return {
			revision: this._revision,
			forgotten: this._compactedRevision,
			published: this._published,
			digests: [...this._digests],
			halls: [...this._halls.values()],
			targets: [...this._targets.values()]
		};
	}

	restore(saved: unknown): void {
		const state = saved as SavedFleetState;
		this._revision = state.revision;
		this._compactedRevision = state.forgotten;
		this._published = state.published;
		this._digests = new Map(state.digests);
		this._halls = new Map(state.halls.map(hall => [hall.hall, hall]));
		this._targets = new Map(state.targets.map(target => [target.id, withDefaults(target)]));
		this._targetIdsByAddress.clear();
		state.targets.forEach(({ address, id }) => this._targetIdsByAddress.set(address, id));
		this._onDidChange.fire(this._revision);
	}

	private _publish(command: PublishTableCommand): FleetResult {
		const { version } = command.table;
		if (this._digests.get(version) === command.digest) {
			return this._success();
		}
		const current = this._published?.table.version ?? 0;
		if (command.base !== current) {
			const message = `table version ${current} is in force, not the base version ${command.base}`;
			return { ok: false, code: FleetRefusalCode.BaseMoved, message };
		}
		if (version <= current) {
			const message = `table version ${version} is not greater than version ${current} in force`;
			return { ok: false, code: FleetRefusalCode.VersionNotRising, message };
		}
		this._revision++;
		this._published = { table: command.table, document: command.document, changedAt: this._revision };
		this._digests.set(version, command.digest);
		dropOldest(this._digests, MAX_DIGESTS);
		return this._notifyChanged();
	}

	private _setHall({ hall, isDrained, base }: SetHallCommand): FleetResult {
		const changedAt = this.hallRevision(hall);
		if (base !== undefined && base !== changedAt) {
			return recordChanged(`data hall '${hall}'`, base, changedAt);
		}
		const inForce = this._success();
		const isInForce = this.isDrained(hall) === isDrained;
		if (base === undefined && isInForce) {
			return inForce;
		}
		// An order that repeats the last one counts too: earlier ones that are still under way must not follow it.
		this._revision++;
		this._halls.set(hall, { hall, isDrained, changedAt: this._revision });
		const ordered = this._notifyChanged();
		return isInForce ? inForce : ordered;
	}

	private _changeTargets(command: ChangeTargetsCommand): FleetResult {
		const effective = command.changes.filter(change => this._isEffective(change));
		if (effective.length === 0) {
			return this._success();
		}
		const outdated = effective.find(change => this._isOutdated(change));
		if (outdated) {
			const changedAt = this._targets.get(outdated.id)?.changedAt ?? 0;
			return recordChanged(`target '${outdated.id}' or the owner of its address`, outdated.base ?? 0, changedAt);
		}
		this._revision++;
		effective.forEach(change => this._changeTarget(change));
		this._evictGoneTargets();
		return this._notifyChanged();
	}

	/** Whether the record or the address of a target has changed since the change was submitted. */
	private _isOutdated({ id, base, addressOwner, description }: TargetChange): boolean {
		const isRecordChanged = base !== undefined && base !== (this._targets.get(id)?.changedAt ?? 0);
		const isAddressTaken =
			addressOwner !== undefined && (this.targetIdAt(description!.address) ?? null) !== addressOwner;
		return isRecordChanged || isAddressTaken;
	}

	private _isEffective(change: TargetChange): boolean {
		const known = this._targets.get(change.id);
		if (!known) {
			return true;
		}
		const bornAt = change.bornAt ?? known.bornAt;
		if (bornAt !== known.bornAt) {
			return bornAt > known.bornAt && change.description !== undefined;
		}
		return PHASE_ORDER[change.phase] > PHASE_ORDER[known.phase];
	}

	private _changeTarget(change: TargetChange): void {
		const { id, phase } = change;
		const bornAt = change.bornAt ?? this._targets.get(id)?.bornAt ?? 0;
		const known = this._findIncarnation(id, bornAt);
		const unknown = { id, service: '', address: '', hall: '', version: '', slots: 0 };
		const description = known ?? change.description ?? unknown;
		if (!known) {
			// Moves the record to the end: the map is in registration order, which decides the owner of an address after restore().
			this._targets.delete(id);
			this._targetIdsByAddress.set(description.address, id);
		}
		const pacedSenders = known?.pacedSenders ?? change.pacedSenders ?? [];
		const coldUntil = known?.coldUntil ?? change.coldUntil;
		this._targets.set(id, {
			...description,
			bornAt,
			pacedSenders,
			...(coldUntil === undefined ? {} : { coldUntil }),
			phase,
			changedAt: this._revision
		});
	}

	private _paceTargets({ changes }: PaceTargetsCommand): FleetResult {
		const effective = changes.filter(change => this._isPaceChange(change));
		if (effective.length === 0) {
			return this._success();
		}
		this._revision++;
		effective.forEach(change => this._paceTarget(change));
		return this._notifyChanged();
	}

	private _isPaceChange({ id, bornAt, limitPerSecond, pacedSenders, coldUntil, base }: PaceChange): boolean {
		const known = this._findIncarnation(id, bornAt);
		if (!known || known.phase === TargetPhase.Gone || (base ?? known.changedAt) !== known.changedAt) {
			return false;
		}
		const isLimitChanged = limitPerSecond !== undefined && limitPerSecond !== (known.limitPerSecond ?? null);
		const isColdForLonger = coldUntil !== undefined && coldUntil > (known.coldUntil ?? 0);
		const areSendersChanged = pacedSenders !== undefined && pacedSenders.join() !== known.pacedSenders.join();
		return isLimitChanged || isColdForLonger || areSendersChanged;
	}

	private _paceTarget({ id, limitPerSecond, pacedSenders, coldUntil }: PaceChange): void {
		const { limitPerSecond: previousLimit, ...known } = this._targets.get(id)!;
		const nextLimit = limitPerSecond === undefined ? previousLimit : (limitPerSecond ?? undefined);
		this._targets.set(id, {
			...known,
			...(nextLimit === undefined ? {} : { limitPerSecond: nextLimit }),
			...(coldUntil === undefined ? {} : { coldUntil: Math.max(coldUntil, known.coldUntil ?? 0) }),
			pacedSenders: pacedSenders ?? known.pacedSenders,
			changedAt: this._revision
		});
	}

	private _findIncarnation(id: string, bornAt: number): TargetRecord | undefined {
		const known = this._targets.get(id);
		return known?.bornAt === bornAt ? known : undefined;
	}

	private _evictGoneTargets(): void {
		let excess = this._targets.size - MAX_TARGETS;
		for (const target of this._targets.values()) {
			if (excess <= 0) {
				return;
			}
			if (target.phase === TargetPhase.Gone) {
				this._targets.delete(target.id);
				if (this._targetIdsByAddress.get(target.address) === target.id) {
					this._targetIdsByAddress.delete(target.address);
				}
				this._compactedRevision = Math.max(this._compactedRevision, target.changedAt);
				excess--;
			}
		}
	}

	private _notifyChanged(): FleetResult {
		this._onDidChange.fire(this._revision);
		return this._success();
	}

	private _success(): FleetResult {
		return { ok: true, revision: this._revision };
	}
}

function recordChanged(record: string, base: FleetRevision, changedAt: FleetRevision): FleetResult {
	const message = `${record} was last changed at revision ${changedAt}, not at the base revision ${base}`;
	return { ok: false, code: FleetRefusalCode.RecordChanged, message, changedAt };
}

/** Fills in fields that are missing from records saved by earlier versions. */
function withDefaults(saved: TargetRecord): TargetRecord {
	return { ...saved, bornAt: saved.bornAt ?? 0, pacedSenders: saved.pacedSenders ?? [] };
}

function dropOldest(map: Map<unknown, unknown>, limit: number): void {
	for (const key of map.keys()) {
		if (map.size <= limit) {
			return;
		}
		map.delete(key);
	}
}
