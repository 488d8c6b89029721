/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The control part of the replicated state: configuration, plans, and results of operators' requests. */

import type { IReplicatedPart } from '../../agreement/common/replicatedState.js';
import { Emitter } from '../../../base/event.js';
import {
	type ConfigurationChange,
	type ConfigurationDelta,
	type ConfigurationSnapshot,
	ConfigurationTable,
	type Revision
} from './configuration.js';
import {
	type ConfirmPlanCommand,
	CONTROL_PART,
	type ControlCommand,
	type ControlResult,
	type InitializeCommand,
	type OperatorRequestKey,
	type Refusal,
	RefusalCode,
	type StorePlanCommand
} from './controlCommands.js';
import { type PlanRecord, type PlanStage, PlanStatus } from './intents.js';
import { compressPlacement, expandPlacement } from './placementBuckets.js';

/** Deltas stored for entry instances whose revision is older; beyond it they are sent a snapshot. */
const MAX_STORED_DELTAS = 2048;
/** Results stored to make operators' requests idempotent; the oldest are evicted first. */
const MAX_STORED_RESULTS = 10000;
/** Plans above this number are evicted, oldest first, unless they are running or holding. */
const MAX_STORED_PLANS = 1000;

interface StoredResult {
	readonly contentDigest: string;
	readonly result: ControlResult;
}

interface SavedControlState {
	readonly configuration: ConfigurationSnapshot;
	readonly deltas: readonly ConfigurationDelta[];
	readonly answers: readonly (readonly [string, StoredResult])[];
	readonly plans: readonly PlanRecord[];
	readonly changedAt: readonly (readonly [string, Revision])[];
}

/** Returns the part of the configuration that a change modifies, as listed in `Plan.touches`. */
export function changedPart(change: ConfigurationChange): string {
	switch (change.type) {
		case 'group':
			return `group:${change.group.name}`;
		case 'placement':
			return `placement:${change.placement.group}`;
		case 'leaving':
			return `${change.item.scope}:${change.item.name}`;
	}
}

/** Applies control commands; must be deterministic so that all replicas have the same state. */
export class ControlState implements IReplicatedPart {
	readonly id = CONTROL_PART;
	private readonly _onDidChange = new Emitter<ConfigurationDelta | undefined>();
	/** Fires after each new revision with its delta, or with undefined after the state was replaced by a snapshot. */
	readonly onDidChange = this._onDidChange.event;
	private _configuration = new ConfigurationTable();
	private _deltas: ConfigurationDelta[] = [];
	private _results = new Map<string, StoredResult>();
	private _plans = new Map<string, PlanRecord>();
	private _lastChangeByPart = new Map<string, Revision>();

	get configuration(): ConfigurationTable {
		return this._configuration;
	}

	/** All stored plans, oldest first. */
	get plans(): PlanRecord[] {
		return [...this._plans.values()];
	}

	plan(planId: string): PlanRecord | undefined {
		return this._plans.get(planId);
	}

	/** Returns the deltas from a revision to the current one; undefined if they are no longer stored. */
	deltasAfter(revision: Revision): ConfigurationDelta[] | undefined {
		const missing = this._configuration.revision - revision;
		if (missing < 0 || missing > this._deltas.length) {
			return undefined;
		}
		return this._deltas.slice(this._deltas.length - missing);
	}

	/** Returns the result of an earlier request with the same key, or a refusal if its number was used with other content. */
	storedResult(request: OperatorRequestKey): ControlResult | undefined {
		const stored = this._results.get(`${request.operator}#${request.number}`);
		if (!stored || stored.contentDigest === request.contentDigest) {
			return stored?.result;
		}
		return refuse(
			RefusalCode.NumberReused,
			`operator '${request.operator}' has used number ${request.number} for another request`
		);
	}

	/** Returns those of the given parts of the configuration that changed after a revision. */
	partsChangedSince(touches: readonly string[], revision: Revision): string[] {
		return touches.filter(part => (this._lastChangeByPart.get(part) ?? 0) > revision);
	}

	apply(body: unknown): ControlResult {
		const command = body as ControlCommand;
		switch (command.type) {
			case 'initialize':
				return this._initialize(command);
			case 'storePlan':
				return this._applyOnce(command.request, () => this._storePlan(command));
			case 'confirmPlan':
				return this._applyOnce(command.request, () => this._confirmPlan(command));
			case 'stopPlan':
				return this._markPlan(command.planId, PlanStatus.Stopped);
			case 'beginStage':
				return this._beginStage(command.planId, command.stage);
			case 'markPlan':
				return this._markPlan(command.planId, command.status, command.holdReason);
		}
	}

	save(): SavedControlState {
		return {
			configuration: this._configuration.snapshot(),
			deltas: this._deltas,
			answers: [...this._results],
			plans: this.plans,
			changedAt: [...this._lastChangeByPart]
		};
	}

	restore(saved: unknown): void {
		const state = saved as SavedControlState;
		this._configuration = new ConfigurationTable(state.configuration);
		this._deltas = [...state.deltas];
		this._results = new Map(state.answers);
		this._plans = new Map(state.plans.map(record => [record.plan.planId, record]));
		this._lastChangeByPart = new Map(state.changedAt);
		this._onDidChange.fire(undefined);
	}

	private _initialize(command: InitializeCommand): ControlResult {
		if (this._configuration.revision === 0) {
			this._applyChanges(command.groups.map(group => ({ type: 'group', group })));
		}
		return this._appliedResult();
	}

	private _applyOnce(request: OperatorRequestKey, run: () => ControlResult): ControlResult {
		const earlier = this.storedResult(request);
		if (earlier) {
			return earlier;
		}
		const result = run();
		this._results.set(`${request.operator}#${request.number}`, { contentDigest: request.contentDigest, result });
		evictOldest(this._results, MAX_STORED_RESULTS);
		return result;
	}

	private _storePlan(command: StorePlanCommand): ControlResult {
		const { plan } = command;
		this._plans.set(plan.planId, { plan, status: PlanStatus.Proposed, stagesBegun: 0, stageRevision: 0 });
		this._evictPlans();
		return { ok: true, plan };
	}

	private _confirmPlan(command: ConfirmPlanCommand): ControlResult {
		const record = this._plans.get(command.planId);
		if (!record) {
			return refuse(RefusalCode.UnknownPlan, `there is no plan '${command.planId}'`);
		}
		if (record.plan.digest !== command.digest) {
			return refuse(RefusalCode.DigestMismatch, `the digest of plan '${command.planId}' is ${record.plan.digest}`);
		}
		if (record.status !== PlanStatus.Proposed) {
			return refuse(RefusalCode.WrongState, `plan '${command.planId}' is ${record.status}`);
		}
		const changed = this.partsChangedSince(record.plan.touches, record.plan.baseRevision);
		if (changed.length > 0) {
			const message = `changed since revision ${record.plan.baseRevision}: ${changed.join(', ')}`;
			return { ...refuse(RefusalCode.BaseMoved, message), changed };
		}
		this._plans.set(command.planId, { ...record, status: PlanStatus.Running });
		return { ok: true, planId: command.planId, revision: this._configuration.revision };
	}

	private _beginStage(planId: string, stageIndex: number): ControlResult {
		const record = this._plans.get(planId);
		const isOpen = record?.status === PlanStatus.Running || record?.status === PlanStatus.Holding;
		const stage = record?.plan.stages[stageIndex];
		if (!record || !isOpen || !stage || record.stagesBegun !== stageIndex) {
			return refuse(RefusalCode.WrongState, `stage ${stageIndex} of plan '${planId}' cannot begin now`);
		}
		this._applyChanges(this._changesForStage(stage));
		this._plans.set(planId, {
			plan: record.plan,
			status: PlanStatus.Running,
			stagesBegun: stageIndex + 1,
			stageRevision: this._configuration.revision
		});
		return this._appliedResult();
	}

	private _changesForStage(stage: PlanStage): ConfigurationChange[] {
		const changes: ConfigurationChange[] = stage.moves.map(move => {
			const regions = expandPlacement(this._configuration.placement(move.group, move.home));
			move.ranges.forEach(range => regions.fill(range.region, range.from, range.to));
			return { type: 'placement', placement: compressPlacement(move.group, move.home, regions) };
		});
		if (stage.groupChange) {
			changes.push({ type: 'group', group: stage.groupChange });
		}
		for (const item of stage.leaving?.items ?? []) {
			changes.push({ type: 'leaving', item, present: stage.leaving!.present });
		}
		return changes;
	}

	private _markPlan(planId: string, status: PlanStatus, holdReason?: string): ControlResult {
		const record = this._plans.get(planId);
		if (!record || record.status === PlanStatus.Done || record.status === PlanStatus.Stopped) {
			return refuse(RefusalCode.WrongState, `plan '${planId}' is ${record?.status ?? 'unknown'}`);
		}
		this._plans.set(planId, { ...record, status, holdReason });
		return this._appliedResult();
	}

	private _applyChanges(changes: readonly ConfigurationChange[]): void {
		const delta: ConfigurationDelta = { revision: this._configuration.revision + 1, changes };
		this._configuration.apply(delta);
		this._deltas.push(delta);
		if (this._deltas.length > MAX_STORED_DELTAS) {
			this._deltas.shift();
		}
		changes.forEach(change => this._lastChangeByPart.set(changedPart(change), delta.revision));
		this._onDidChange.fire(delta);
	}

	private _appliedResult(): ControlResult {
		return { ok: true, revision: this._configuration.revision };
	}

	private _evictPlans(): void {
		for (const [planId, record] of this._plans) {
			if (this._plans.size <= MAX_STORED_PLANS) {
				return;
			}
			if (record.status !== PlanStatus.Running && record.status !== PlanStatus.Holding) {
				this._plans.delete(planId);
			}
		}
	}
}

function refuse(code: RefusalCode, message: string): Refusal {
	return { ok: false, code, message };
}

function evictOldest(map: Map<string, unknown>, limit: number): void {
	for (const key of map.keys()) {
		if (map.size <= limit) {
			return;
		}
		map.delete(key);
	}
}
