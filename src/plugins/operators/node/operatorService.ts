/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Handles operators' requests on the leader. */

import { ownValue } from '../../../base/records.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import type { Revision } from '../../configuration/common/configuration.js';
import {
	CONTROL_PART,
	type ControlCommand,
	type ControlResult,
	type Refusal,
	RefusalCode
} from '../../configuration/common/controlCommands.js';
import { IControlStateService } from '../../configuration/common/controlStateService.js';
import { type Plan, PlanStatus } from '../../configuration/common/intents.js';
import { IEntryMembership } from '../../membership/common/entryMembership.js';
import { confirmRequestSchema, intentRequestSchema } from '../../planning/common/intentSchema.js';
import { IShifts } from '../../shifts/common/shifts.js';
import type { ControlSteeringSettings } from '../../shifts/common/shiftSettings.js';
import type { ConfirmResponse, OperatorErrorBody, OperatorRequest, OperatorResponse } from '../common/operatorApi.js';
import { noLeaderResponse, OperatorError, RETRY_AFTER_MS, toErrorResponse, validateBody } from './operatorErrors.js';
import { OperatorStatus } from './operatorStatus.js';
import { PlanDrafter, requestKey } from './planDrafter.js';

const PLAN_PATH = /^\/v1\/plans\/([0-9a-f]+)(\/confirm|\/stop)?$/;
const MEMBER_PATH = /^\/v1\/members\/([A-Za-z0-9_-]+)\/remove$/;

/** Handles operators' requests. */
export interface IOperatorService {
	/** Resolves with an error response if this instance is not the leader. */
	handleRequest(request: OperatorRequest): Promise<OperatorResponse>;
}

/** Service identifier of the operator service. */
export const IOperatorService = createServiceIdentifier<IOperatorService>('operatorService');

/** Handles operators' requests while this instance is the leader and holds the lease. */
export class OperatorService implements IOperatorService {
	private readonly _planDrafter: PlanDrafter;
	private readonly _status: OperatorStatus;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IAgreement private readonly _agreement: IAgreement,
		@IControlStateService private readonly _control: IControlStateService,
		@IEntryMembership membership: IEntryMembership,
		@IShifts private readonly _shifts: IShifts
	) {
		const { lookupTtlMs } = settings.section<ControlSteeringSettings>('steering');
		this._planDrafter = new PlanDrafter(_control, membership, lookupTtlMs);
		this._status = new OperatorStatus(_agreement, _control, membership);
	}

	/**
	 * Checks the lease before and after handling the request, so that a leader that was suspended meanwhile returns no stale
	 * response.
	 */
	async handleRequest(request: OperatorRequest): Promise<OperatorResponse> {
		if (!this._agreement.hasLease()) {
			return noLeaderResponse('not-run');
		}
		let response: OperatorResponse;
		try {
			response = await this._route(request);
		} catch (error) {
			response = toErrorResponse(error as Error);
		}
		return this._agreement.hasLease() ? response : noLeaderResponse('may-have-run');
	}

	private async _route(request: OperatorRequest): Promise<OperatorResponse> {
		const { method, path } = request;
		if (method === 'POST' && path === '/v1/intents') {
			return { status: 200, body: await this._submitIntent(request.body) };
		}
		if (method === 'GET' && path === '/v1/status') {
			return { status: 200, body: this._status.status() };
		}
		if (method === 'GET' && path === '/v1/explain') {
			return { status: 200, body: this._explain(request.query) };
		}
		const member = MEMBER_PATH.exec(path);
		if (member && method === 'POST') {
			const id = member[1]!;
			return { status: 200, body: await this._removeMember(id, ownValue(request.admissions ?? {}, id)) };
		}
		const plan = PLAN_PATH.exec(path);
		if (plan && method === 'GET' && !plan[2]) {
			return { status: 200, body: this._getPlanRecord(plan[1]!) };
		}
		if (plan && method === 'POST' && plan[2] === '/confirm') {
			return { status: 200, body: await this._confirm(plan[1]!, request.body) };
		}
		if (plan && method === 'POST' && plan[2] === '/stop') {
			return { status: 200, body: await this._stop(plan[1]!) };
		}
		throw new OperatorError(404, {
			code: 'not-found',
			message: `no endpoint for ${method} ${path}`,
			verdict: 'not-run'
		});
	}

	private async _submitIntent(body: unknown): Promise<Plan> {
		const request = validateBody(intentRequestSchema, body);
		const key = requestKey(request.operator, request.number, ['intent', request.intent, request.baseRevision ?? null]);
		const storedResult = this._control.state.storedResult(key);
		if (storedResult) {
			return planFromResult(storedResult);
		}
		const plan = this._planDrafter.draft(request.operator, key, request.intent);
		if (request.baseRevision !== undefined) {
			this._assertBaseUnchanged(plan, request.baseRevision);
		}
		return planFromResult(await this._propose({ type: 'storePlan', request: key, plan }));
	}

	private _assertBaseUnchanged(plan: Plan, baseRevision: Revision): void {
		const changed = this._control.state.partsChangedSince(plan.touches, baseRevision);
		if (changed.length === 0) {
			return;
		}
		const message = `changed since revision ${baseRevision}: ${changed.join(', ')}`;
		throw new OperatorError(409, { code: RefusalCode.BaseMoved, message, changed, plan, verdict: 'not-run' });
	}

	private async _confirm(planId: string, body: unknown): Promise<ConfirmResponse> {
		const request = validateBody(confirmRequestSchema, body);
		const key = requestKey(request.operator, request.number, ['confirm', planId, request.digest]);
		const command: ControlCommand = { type: 'confirmPlan', request: key, planId, digest: request.digest };
		const result = await this._propose(command);
		if (!result.ok) {
			throw await this._createRefusalError(result, planId);
		}
		await this._shifts.advance();
		const revision = this._control.state.plan(planId)?.stageRevision || this._control.state.configuration.revision;
		return { planId, revision, inForce: await this._status.waitUntilInForce(revision) };
	}

	/** If the base of the plan has changed, the error contains a new plan for the same intent, with an id of its own. */
	private async _createRefusalError(refusal: Refusal, planId: string): Promise<OperatorError> {
		const body: OperatorErrorBody = { code: refusal.code, message: refusal.message, verdict: 'not-run' };
		const oldPlan = this._control.state.plan(planId)?.plan;
		if (refusal.code !== RefusalCode.BaseMoved || !oldPlan) {
			return new OperatorError(refusal.code === RefusalCode.UnknownPlan ? 404 : 409, body);
		}
		const { revision } = this._control.state.configuration;
		const key = requestKey(`replan:${planId}`, revision, ['replan', oldPlan.intent]);
		try {
			const plan = this._planDrafter.draft(oldPlan.operator, key, oldPlan.intent);
			const stored = planFromResult(await this._propose({ type: 'storePlan', request: key, plan }));
			return new OperatorError(409, { ...body, changed: refusal.changed, plan: stored });
		} catch (error) {
			const replanMessage = `${body.message}; cannot create a new plan: ${(error as Error).message}`;
			return new OperatorError(409, { ...body, message: replanMessage, changed: refusal.changed });
		}
	}

	private async _stop(planId: string): Promise<{ planId: string; status: PlanStatus; stagesBegun: number }> {
		const status = this._getPlanRecord(planId).status;
		if (status !== PlanStatus.Stopped && status !== PlanStatus.Done) {
			await this._propose({ type: 'stopPlan', planId });
		}
		const record = this._getPlanRecord(planId);
		return { planId, status: record.status, stagesBegun: record.stagesBegun };
	}

	/** @param admittedAt when the member was admitted, as known to the instance that received the request */
	private async _removeMember(id: string, admittedAt: number | undefined): Promise<{ removed: string }> {
		const { members } = this._agreement.status();
		if (!members.some(member => member.id === id)) {
			const allowed = members.map(member => member.id).join(', ');
			const message = `there is no member '${id}'`;
			throw new OperatorError(404, { code: 'unknown-member', message, field: 'member', allowed, verdict: 'not-run' });
		}
		if (admittedAt === undefined || !(await this._agreement.removeMember(id, admittedAt))) {
			const message = `cannot remove '${id}': it is the leader, was admitted anew, or another membership change is in progress`;
			throw new OperatorError(409, { code: 'wrong-state', message, verdict: 'not-run' }, RETRY_AFTER_MS);
		}
		return { removed: id };
	}

	private _getPlanRecord(planId: string) {
		const record = this._control.state.plan(planId);
		if (!record) {
			const message = `there is no plan '${planId}'`;
			throw new OperatorError(404, { code: RefusalCode.UnknownPlan, message, verdict: 'not-run' });
		}
		return { ...record, inForce: this._status.inForce(record.stageRevision) };
	}

	private _explain(query: Readonly<Record<string, string>>): unknown {
		const decisions = this._shifts.decisions.filter(item => !query.plan || item.planId === query.plan);
		const record = query.plan ? this._control.state.plan(query.plan) : undefined;
		return { plan: record, decisions };
	}

	private _propose(body: ControlCommand): Promise<ControlResult> {
		return this._agreement.propose<ControlResult>({ part: CONTROL_PART, body });
	}
}

function planFromResult(result: ControlResult): Plan {
	if (!result.ok) {
		throw new OperatorError(409, { code: result.code, message: result.message, verdict: 'not-run' });
	}
	if (!('plan' in result)) {
		const message = 'this request number has been used to confirm a plan';
		throw new OperatorError(409, { code: RefusalCode.NumberReused, message, verdict: 'not-run' });
	}
	return result.plan;
}
