/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Operator API: response bodies, and the call that forwards a request to the leader. */

import { defineUnary } from '../../../kernel/common/peerMethods.js';
import type { Intent, Plan, PlanStatus } from '../../configuration/common/intents.js';

/** An operator's request, as one control instance forwards it to another. */
export interface OperatorRequest {
	readonly method: 'GET' | 'POST';
	/** Path without the query string. */
	readonly path: string;
	readonly query: Readonly<Record<string, string>>;
	readonly body?: unknown;
	/** When the members that the receiving instance knows were admitted, by id; their removal names that. */
	readonly admissions?: Readonly<Record<string, number>>;
}

/** Response to an `OperatorRequest`. */
export interface OperatorResponse {
	readonly status: number;
	readonly body: unknown;
	readonly retryAfterMs?: number;
}

/** Body of an error response. */
export interface OperatorErrorBody {
	readonly code: string;
	readonly message: string;
	readonly field?: string;
	readonly allowed?: string;
	readonly verdict: 'not-run' | 'may-have-run' | 'ran';
	/** For `base-moved`: the parts of the configuration that changed. */
	readonly changed?: readonly string[];
	/** For `base-moved`: a new plan, based on the current revision; absent if none could be made. */
	readonly plan?: Plan;
}

/** Number of entry instances at which a revision is in force. */
export interface InForceStatus {
	readonly count: number;
	/** Number of all known entry instances. */
	readonly of: number;
	/** Instances at which it is not in force, including all instances without recent reports. */
	readonly missing: readonly string[];
}

/** Response to `POST /v1/plans/PLAN/confirm`. */
export interface ConfirmResponse {
	readonly planId: string;
	readonly revision: number;
	readonly inForce: InForceStatus;
}

/** An entry instance in a `StatusResponse`. */
export interface EntryStatus {
	readonly instance: string;
	/** URL for callers. */
	readonly url: string;
	readonly hall: string;
	readonly region: string;
	readonly revisionInForce: number;
	readonly provisional: boolean;
	readonly leaving: boolean;
	/** Whether its reports are overdue. */
	readonly silent: boolean;
}

/** A plan in a `StatusResponse`. */
export interface PlanSummary {
	readonly planId: string;
	readonly intent: Intent;
	readonly status: PlanStatus;
	readonly stagesBegun: number;
	readonly stages: number;
	readonly holdReason?: string;
}

/** Response to `GET /v1/status`. */
export interface StatusResponse {
	readonly instance: string;
	readonly leader: string;
	readonly term: number;
	readonly revision: number;
	readonly members: readonly { readonly id: string; readonly role: string }[];
	readonly entries: readonly EntryStatus[];
	readonly groups: readonly { name: string; share: number; capPermille: number; capWindowMs: number }[];
	readonly leaving: readonly { scope: string; name: string }[];
	readonly plans: readonly PlanSummary[];
}

/** Forwards an operator's request to the leader. */
export const forwardMethod = defineUnary<OperatorRequest, OperatorResponse>('operators', 'Forward');
