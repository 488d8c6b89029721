/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Intents of operators, and the plans that are made for them. */

import type { DrainScope, GroupConfiguration, DrainedItem, PlacementRange, Revision } from './configuration.js';

/** Sets the weight of a group relative to the other groups. */
export interface ShareIntent {
	readonly kind: 'share';
	readonly group: string;
	/** 1 to 1000. */
	readonly share: number;
}

/** Limits the part of a group's clients that may move within a window. */
export interface CapIntent {
	readonly kind: 'cap';
	readonly group: string;
	/** Maximum part of the group's clients in thousandths, 1 to 1000. */
	readonly permille: number;
	readonly windowMs: number;
}

/** Moves a group's clients to a region. */
export interface PreferIntent {
	readonly kind: 'prefer';
	readonly group: string;
	readonly region: string;
	/** Part of the clients to move, in thousandths; 1000 by default. */
	readonly permille?: number;
	/** Accept a plan after which the loss of a region would overload the others. */
	readonly allowOverloadOnRegionLoss?: boolean;
}

/** Drains a target, an instance, a data hall or a region: it receives no new requests. */
export interface DrainIntent {
	readonly kind: 'drain';
	readonly scope: DrainScope;
	readonly name: string;
	readonly allowOverloadOnRegionLoss?: boolean;
}

/** Reverts a drain. */
export interface RestoreIntent {
	readonly kind: 'restore';
	readonly scope: DrainScope;
	readonly name: string;
}

/** A change that an operator requests. */
export type Intent = ShareIntent | CapIntent | PreferIntent | DrainIntent | RestoreIntent;

/** Buckets of one group and home region that are moved to another region in one stage. */
export interface PlacementMove {
	readonly group: string;
	readonly home: string;
	readonly ranges: readonly PlacementRange[];
}

/** One step of a plan; the next one begins only after every live entry instance has applied it. */
export interface PlanStage {
	/** Description for operators. */
	readonly move: string;
	/** Source regions, comma-separated; the name of the item for a drain; `-` if there is none. */
	readonly from: string;
	/** Destination regions, comma-separated; `-` if there is none. */
	readonly to: string;
	/** Affected groups, comma-separated; `*` for all. */
	readonly group: string;
	/** Maximum part of a group's clients that the stage moves, in thousandths. */
	readonly share: number;
	/** Description of the cap that applies to the stage. */
	readonly pace: string;
	/** Earliest start after the confirmation in milliseconds. */
	readonly at: number;
	readonly moves: readonly PlacementMove[];
	readonly groupChange?: GroupConfiguration;
	readonly leaving?: { readonly items: readonly DrainedItem[]; readonly present: boolean };
}

/** Capacity and use of a region for one service before and after a plan, in slots. */
export interface HeadroomEntry {
	readonly region: string;
	readonly service: string;
	readonly slots: number;
	readonly usedNow: number;
	readonly usedAfter: number;
	/** Age of the oldest report used, in milliseconds; undefined if there was none. */
	readonly measuredMsAgo?: number;
}

/** A group that would lose slots because a region has insufficient capacity after the plan. */
export interface YieldEntry {
	readonly group: string;
	readonly region: string;
	readonly service: string;
	/** Maximum number of slots that the group would lose. */
	readonly slots: number;
}

/** A proposed sequence of configuration changes, with its expected effects. */
export interface Plan {
	readonly planId: string;
	/** SHA-256 of the intent and the stages; a confirmation must contain it. */
	readonly digest: string;
	readonly baseRevision: Revision;
	readonly operator: string;
	readonly intent: Intent;
	readonly stages: readonly PlanStage[];
	readonly headroomAfter: readonly HeadroomEntry[];
	readonly yields: readonly YieldEntry[];
	/** Warnings to show to the operator before the confirmation. */
	readonly warnings: readonly string[];
	/** Parts of the configuration that the plan depends on; a change of one of them makes the plan outdated. */
	readonly touches: readonly string[];
}

/** Progress of a plan. */
export enum PlanStatus {
	Proposed = 'proposed',
	Running = 'running',
	Holding = 'holding',
	Done = 'done',
	Stopped = 'stopped'
}

/** A plan with its progress. */
export interface PlanRecord {
	readonly plan: Plan;
	readonly status: PlanStatus;
	/** Number of stages begun so far. */
	readonly stagesBegun: number;
	/** Revision created by the latest stage; 0 if none was begun. */
	readonly stageRevision: Revision;
	/** Reason why the next stage may not begin, while the plan is on hold. */
	readonly holdReason?: string;
}
