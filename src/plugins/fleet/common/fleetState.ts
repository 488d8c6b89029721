/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The fleet's part of the replicated state: published tables, drained halls and targets. Deterministic. */

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

/** Digests of published documents kept to recognize an order that is sent again. */
const KEPT_DIGESTS = 4096;
/** Targets that are gone and kept, so that a late heartbeat cannot bring them back. */
const KEPT_GONE_TARGETS = 4096;

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

/** Applies fleet commands. */
export class FleetState implements IReplicatedPart {
	readonly id = FLEET_PART;
	private readonly _onDidChange = new Emitter<FleetRevision>();
	/** Fires after each change with the new revision. */
	readonly onDidChange = this._onDidChange.event;
	private _revision: FleetRevision = 0;
	/** Revision of the latest change that is no longer held; who stands before it needs everything. */
	private _forgotten: FleetRevision = 0;
	private _published?: PublishedTable;
	private _digests = new Map<number, string>();
	private _halls = new Map<string, HallRecord>();
	/** In the order in which they registered. */
	private _targets = new Map<string, TargetRecord>();
	/** Ids of the targets that registered last, by address. */
	private readonly _holders = new Map<string, string>();

	/** Revision of the last change. */
	get revision(): FleetRevision {
		return this._revision;
	}

	/** The table in force. */
	get published(): PublishedTable | undefined {
		return this._published;
	}

	/** One target, also when it is gone. */
	target(id: string): TargetRecord | undefined {
		return this._targets.get(id);
	}

	/** All targets held. */
	get targets(): IterableIterator<TargetRecord> {
		return this._targets.values();
	}

	/** The target that registered last at an address; undefined for nobody, or for one that is gone. */
	holderOf(address: string): string | undefined {
		const holder = this._targets.get(this._holders.get(address) ?? '');
		const isThere = holder?.address === address && holder.phase !== TargetPhase.Gone;
		return isThere ? holder.id : undefined;
	}

	/** Whether a hall is drained. */
	isDrained(hall: string): boolean {
		return this._halls.get(hall)?.isDrained ?? false;
	}

	/** What changed after a revision. */
	changesAfter(revision: FleetRevision): FleetChanges {
		const isWhole = revision < this._forgotten || revision > this._revision;
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
			forgotten: this._forgotten,
			published: this._published,
			digests: [...this._digests],
			halls: [...this._halls.values()],
			targets: [...this._targets.values()]
		};
	}

	restore(saved: unknown): void {
		const state = saved as SavedFleetState;
		this._revision = state.revision;
		this._forgotten = state.forgotten;
		this._published = state.published;
		this._digests = new Map(state.digests);
		this._halls = new Map(state.halls.map(hall => [hall.hall, hall]));
		this._targets = new Map(state.targets.map(target => [target.id, completed(target)]));
		this._holders.clear();
		state.targets.forEach(({ address, id }) => this._holders.set(address, id));
		this._onDidChange.fire(this._revision);
	}

	private _publish(command: PublishTableCommand): FleetResult {
		const { version } = command.table;
		if (this._digests.get(version) === command.digest) {
			return this._done();
		}
		const current = this._published?.table.version ?? 0;
		if (command.base !== current) {
			const message = `version ${current} is in force, not ${command.base}`;
			return { ok: false, code: FleetRefusalCode.BaseMoved, message };
		}
		if (version <= current) {
			const message = `version ${version} does not rise above ${current}`;
			return { ok: false, code: FleetRefusalCode.VersionNotRising, message };
		}
		this._revision++;
		this._published = { table: command.table, document: command.document, changedAt: this._revision };
		this._digests.set(version, command.digest);
		dropOldest(this._digests, KEPT_DIGESTS);
		return this._changed();
	}

	private _setHall(command: SetHallCommand): FleetResult {
		if (this.isDrained(command.hall) === command.isDrained) {
			return this._done();
		}
		this._revision++;
		const { hall, isDrained } = command;
		this._halls.set(hall, { hall, isDrained, changedAt: this._revision });
		return this._changed();
	}

	private _changeTargets(command: ChangeTargetsCommand): FleetResult {
		const effective = command.changes.filter(change => this._isForward(change));
		if (effective.length === 0) {
			return this._done();
		}
		this._revision++;
		effective.forEach(change => this._changeTarget(change));
		this._dropGoneTargets();
		return this._changed();
	}

	private _isForward(change: TargetChange): boolean {
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
		const known = this._knownLife(id, bornAt);
		const unknown = { id, service: '', address: '', hall: '', version: '', slots: 0 };
		const description = known ?? change.description ?? unknown;
		if (!known) {
			// A later life stands where it registered, behind those that registered at its address before.
			this._targets.delete(id);
			this._holders.set(description.address, id);
		}
		const pacedSenders = known?.pacedSenders ?? change.pacedSenders ?? [];
		this._targets.set(id, { ...description, bornAt, pacedSenders, phase, changedAt: this._revision });
	}

	private _paceTargets({ changes }: PaceTargetsCommand): FleetResult {
		const effective = changes.filter(change => this._changesPace(change));
		if (effective.length === 0) {
			return this._done();
		}
		this._revision++;
		effective.forEach(change => this._paceTarget(change));
		return this._changed();
	}

	private _changesPace({ id, bornAt, limitPerSecond, pacedSenders }: PaceChange): boolean {
		const known = this._knownLife(id, bornAt);
		if (!known || known.phase === TargetPhase.Gone) {
			return false;
		}
		const isOtherLimit = limitPerSecond !== undefined && limitPerSecond !== (known.limitPerSecond ?? null);
		return isOtherLimit || (pacedSenders !== undefined && pacedSenders.join() !== known.pacedSenders.join());
	}

	private _paceTarget({ id, limitPerSecond, pacedSenders }: PaceChange): void {
		const { limitPerSecond: before, ...known } = this._targets.get(id)!;
		const after = limitPerSecond === undefined ? before : (limitPerSecond ?? undefined);
		this._targets.set(id, {
			...known,
			...(after === undefined ? {} : { limitPerSecond: after }),
			pacedSenders: pacedSenders ?? known.pacedSenders,
			changedAt: this._revision
		});
	}

	private _knownLife(id: string, bornAt: number): TargetRecord | undefined {
		const known = this._targets.get(id);
		return known?.bornAt === bornAt ? known : undefined;
	}

	private _dropGoneTargets(): void {
		let excess = this._targets.size - KEPT_GONE_TARGETS;
		for (const target of this._targets.values()) {
			if (excess <= 0) {
				return;
			}
			if (target.phase === TargetPhase.Gone) {
				this._targets.delete(target.id);
				if (this._holders.get(target.address) === target.id) {
					this._holders.delete(target.address);
				}
				this._forgotten = Math.max(this._forgotten, target.changedAt);
				excess--;
			}
		}
	}

	private _changed(): FleetResult {
		this._onDidChange.fire(this._revision);
		return this._done();
	}

	private _done(): FleetResult {
		return { ok: true, revision: this._revision };
	}
}

/** A record that was saved before it had all of its fields. */
function completed(saved: TargetRecord): TargetRecord {
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
