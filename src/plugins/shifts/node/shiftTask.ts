/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Advances confirmed plans on the leader: begins their stages, and holds them while a destination region is not fit. */

import { systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import type { ConfigurationDelta } from '../../configuration/common/configuration.js';
import { CONTROL_PART, type ControlCommand, type ControlResult } from '../../configuration/common/controlCommands.js';
import { IControlStateService } from '../../configuration/common/controlStateService.js';
import { type PlanRecord, PlanStatus } from '../../configuration/common/intents.js';
import { IEntryMembership } from '../../membership/common/entryMembership.js';
import type { RegisteredEntry } from '../../membership/common/entryRegistry.js';
import { type ControlSteeringSettings } from '../common/shiftSettings.js';
import { findHoldReason } from '../common/destinationHealth.js';
import { ShiftPacing } from '../common/shiftPacing.js';
import type { IShifts, ShiftDecision } from '../common/shifts.js';

const ADVANCE_INTERVAL_MS = 100;
const MAX_STORED_DECISIONS = 500;

/** Carries out the plans of the control state while this instance is the leader. */
export class ShiftTask extends Disposable implements IShifts {
	private readonly _pacing = new ShiftPacing();
	private readonly _decisions: ShiftDecision[] = [];
	private readonly _lookupTtlMs: number;
	private _advancing: Promise<void> | undefined;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IAgreement private readonly _agreement: IAgreement,
		@IControlStateService private readonly _control: IControlStateService,
		@IEntryMembership private readonly _membership: IEntryMembership,
		@ILogService private readonly _log: ILogService
	) {
		super();
		this._lookupTtlMs = settings.section<ControlSteeringSettings>('steering').lookupTtlMs;
		this._register(this._control.state.onDidChange(delta => this._recordMoves(delta)));
		const timer = setInterval(() => this._onInterval(), ADVANCE_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	get decisions(): readonly ShiftDecision[] {
		return this._decisions;
	}

	async advance(): Promise<void> {
		await this._advancing;
		this._advancing ??= this._advanceAll()
			.catch((error: Error) => this._log.warn('cannot advance plans', { task: 'shifts', error: error.message }))
			.finally(() => (this._advancing = undefined));
		await this._advancing;
	}

	private _onInterval(): void {
		if (!this._advancing) {
			void this.advance();
		}
	}

	private async _advanceAll(): Promise<void> {
		if (!this._agreement.hasLease()) {
			return;
		}
		this._pacing.recordRevisionInForce(minRevisionInForce(this._membership.live()), systemClock.now());
		const openPlans = this._control.state.plans.filter(
			record => record.status === PlanStatus.Running || record.status === PlanStatus.Holding
		);
		for (const record of openPlans) {
			await this._advancePlan(record);
		}
	}

	private async _advancePlan(record: PlanRecord): Promise<void> {
		const { planId, stages } = record.plan;
		const stage = stages[record.stagesBegun];
		const isLastStageInForce =
			record.stagesBegun === 0 || minRevisionInForce(this._membership.live()) >= record.stageRevision;
		if (!isLastStageInForce) {
			return;
		}
		if (!stage) {
			await this._propose({ type: 'markPlan', planId, status: PlanStatus.Done });
			this._recordDecision(planId, 'done: all live entry instances have applied the last stage');
			return;
		}
		const getGroup = (name: string) => this._control.state.configuration.group(name);
		if (!this._pacing.canBeginStage(stage, getGroup, this._lookupTtlMs, systemClock.now())) {
			return;
		}
		const entries = [...this._membership.live(), ...this._membership.silent()];
		const reason = findHoldReason(stage, entries, systemClock.now());
		if (reason) {
			await this._hold(record, reason);
			return;
		}
		await this._propose({ type: 'beginStage', planId, stage: record.stagesBegun });
		this._recordDecision(planId, `stage ${record.stagesBegun + 1} of ${stages.length} begun: ${stage.move}`);
	}

	private async _hold(record: PlanRecord, reason: string): Promise<void> {
		if (record.status === PlanStatus.Holding && record.holdReason === reason) {
			return;
		}
		const { planId } = record.plan;
		await this._propose({ type: 'markPlan', planId, status: PlanStatus.Holding, holdReason: reason });
		this._recordDecision(planId, `held: ${reason}`);
	}

	private _propose(body: ControlCommand): Promise<ControlResult> {
		return this._agreement.propose<ControlResult>({ part: CONTROL_PART, body });
	}

	private _recordDecision(planId: string, decision: string): void {
		this._decisions.push({ at: new Date().toISOString(), planId, decision });
		this._decisions.splice(0, this._decisions.length - MAX_STORED_DECISIONS);
		this._log.info(decision, { task: 'shifts', planId, revision: this._control.state.configuration.revision });
	}

	private _recordMoves(delta: ConfigurationDelta | undefined): void {
		const { configuration } = this._control.state;
		if (!delta) {
			configuration.groups.forEach(group => this._pacing.recordMove(group.name, configuration.revision));
			return;
		}
		for (const change of delta.changes) {
			if (change.type === 'placement') {
				this._pacing.recordMove(change.placement.group, delta.revision);
			}
		}
	}
}

/** Returns the highest revision that all given instances have applied; 0 if there are no instances. */
function minRevisionInForce(entries: readonly RegisteredEntry[]): number {
	return entries.length === 0 ? 0 : Math.min(...entries.map(entry => entry.report.revisionInForce));
}
