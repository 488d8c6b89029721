/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Commands of operators and of the leader in the replicated log. */

import type { GroupConfiguration, Revision } from './configuration.js';
import type { Plan, PlanRecord } from './intents.js';

/** Id of the part of the replicated state that applies these commands. */
export const CONTROL_PART = 'control';

/** Sets the groups configured in the settings; has no effect if the configuration was changed before. */
export interface InitializeCommand {
	readonly type: 'initialize';
	readonly groups: readonly GroupConfiguration[];
}

/** Idempotency key of an operator's request. */
export interface OperatorRequestKey {
	readonly operator: string;
	/** Request number chosen by the operator. */
	readonly number: number;
	/** SHA-256 of the content; a request that reuses a number with other content is refused. */
	readonly contentDigest: string;
}

/** Stores the plan that was made for an intent. */
export interface StorePlanCommand {
	readonly type: 'storePlan';
	readonly request: OperatorRequestKey;
	readonly plan: Plan;
}

/** Starts a proposed plan. */
export interface ConfirmPlanCommand {
	readonly type: 'confirmPlan';
	readonly request: OperatorRequestKey;
	readonly planId: string;
	readonly digest: string;
}

/** Stops a plan; its stages that were begun stay in effect. */
export interface StopPlanCommand {
	readonly type: 'stopPlan';
	readonly planId: string;
}

/** Begins the next stage of a running plan. */
export interface BeginStageCommand {
	readonly type: 'beginStage';
	readonly planId: string;
	/** Index of the stage; ensures that a stage is begun only once if the leader changes. */
	readonly stage: number;
}

/** Changes the status of a plan. */
export interface MarkPlanCommand {
	readonly type: 'markPlan';
	readonly planId: string;
	readonly status: PlanRecord['status'];
	readonly holdReason?: string;
}

/** Commands of the control part of the replicated state. */
export type ControlCommand =
	InitializeCommand | StorePlanCommand | ConfirmPlanCommand | StopPlanCommand | BeginStageCommand | MarkPlanCommand;

/** Reasons for refusing an operator's request. */
export enum RefusalCode {
	NumberReused = 'number-reused',
	UnknownPlan = 'unknown-plan',
	DigestMismatch = 'digest-mismatch',
	BaseMoved = 'base-moved',
	WrongState = 'wrong-state'
}

/** Result of a command that was refused. */
export interface Refusal {
	readonly ok: false;
	readonly code: RefusalCode;
	readonly message: string;
	/** For `BaseMoved`: parts of the configuration that changed. */
	readonly changed?: readonly string[];
}

/** Result of storing a plan; a repeated request gets the same result. */
export interface PlanStored {
	readonly ok: true;
	readonly plan: Plan;
}

/** Result of confirming a plan; a repeated request gets the same result. */
export interface PlanConfirmed {
	readonly ok: true;
	readonly planId: string;
	readonly revision: Revision;
}

/** Result of a command that has no other result. */
export interface LeaderCommandApplied {
	readonly ok: true;
	readonly revision: Revision;
}

/** Result of applying a control command. */
export type ControlResult = Refusal | PlanStored | PlanConfirmed | LeaderCommandApplied;
