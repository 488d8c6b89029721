/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Drafts plans for operators' intents, and refuses those that would overload a region. */

import { createHash } from 'node:crypto';
import { type Millis, systemClock } from '../../../base/clock.js';
import type { OperatorRequestKey } from '../../configuration/common/controlCommands.js';
import type { IControlStateService } from '../../configuration/common/controlStateService.js';
import type { Intent, Plan } from '../../configuration/common/intents.js';
import type { IEntryMembership } from '../../membership/common/entryMembership.js';
import { forecastHeadroom, type HeadroomForecast } from '../../planning/common/headroom.js';
import { MeasuredLoads } from '../../planning/common/measuredLoads.js';
import { draftPlan, type PlanDraft } from '../../planning/common/planner.js';
import { OperatorError } from './operatorErrors.js';

const PLAN_ID_LENGTH = 16;

/** Creates plans from the current configuration and the measured loads. */
export class PlanDrafter {
	/** @param _lookupTtlMs how long callers keep the answer to a look-up */
	constructor(
		private readonly _control: IControlStateService,
		private readonly _membership: IEntryMembership,
		private readonly _lookupTtlMs: Millis
	) {}

	/**
	 * Creates the plan for an intent.
	 * @param key key of the operator's request, which also determines the id of the plan
	 * @throws OperatorError the plan would overload a region
	 */
	draft(operator: string, key: OperatorRequestKey, intent: Intent): Plan {
		const { configuration } = this._control.state;
		const entries = [...this._membership.live(), ...this._membership.silent()];
		const regions = [...new Set(entries.map(entry => entry.report.identity.region))].sort();
		const measuredLoads = new MeasuredLoads(this._membership.live(), systemClock.now());
		const draft = draftPlan(intent, { configuration, measuredLoads, regions, lookupTtlMs: this._lookupTtlMs });
		const forecast = forecastHeadroom(draft.stages, measuredLoads, configuration);
		assertNoOverload(forecast);
		assertRegionLossAccepted(intent, draft, forecast);
		const planId = sha256([operator, key.number, key.contentDigest]).slice(0, PLAN_ID_LENGTH);
		const baseRevision = configuration.revision;
		return {
			planId,
			digest: sha256([planId, baseRevision, intent, draft.stages]),
			baseRevision,
			operator,
			intent,
			stages: draft.stages,
			headroomAfter: forecast.headroomAfter,
			yields: forecast.yields,
			warnings: forecast.regionLossOverloads,
			touches: draft.touches
		};
	}
}

function assertNoOverload({ overloaded }: HeadroomForecast): void {
	if (overloaded.length > 0) {
		const overloads = overloaded.map(
			entry => `${entry.region} would need ${entry.usedAfter} of ${entry.slots} slots of ${entry.service}`
		);
		throw new OperatorError(409, { code: 'overloads-region', message: overloads.join('; '), verdict: 'not-run' });
	}
}

/** Moves of clients that would overload the other regions if one were lost need the operator's consent. */
function assertRegionLossAccepted(intent: Intent, draft: PlanDraft, { regionLossOverloads }: HeadroomForecast): void {
	const isAccepted = 'allowOverloadOnRegionLoss' in intent && intent.allowOverloadOnRegionLoss === true;
	const movesClients = draft.stages.some(stage => stage.moves.length > 0);
	if (movesClients && regionLossOverloads.length > 0 && !isAccepted) {
		throw new OperatorError(409, {
			code: 'overloads-on-region-loss',
			message: regionLossOverloads.join('; '),
			field: 'intent.allowOverloadOnRegionLoss',
			allowed: 'true, to accept this',
			verdict: 'not-run'
		});
	}
}

/** Identifies an operator's request by its number and a digest of its content. */
export function requestKey(operator: string, number: number, content: unknown): OperatorRequestKey {
	return { operator, number, contentDigest: sha256(content) };
}

function sha256(content: unknown): string {
	return createHash('sha256').update(JSON.stringify(content)).digest('hex');
}
