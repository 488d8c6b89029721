/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Handles operators' requests on the leader. */

import { createHash } from 'node:crypto';
import { z } from 'zod';
import { systemClock } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IAgreement, NotLeaderError, OutcomeUnknownError } from '../../agreement/common/agreement.js';
import { type Revision } from '../../configuration/common/configuration.js';
import {
	CONTROL_PART,
	type ControlCommand,
	type ControlResult,
	type OperatorRequestKey,
	type Refusal,
	RefusalCode
} from '../../configuration/common/controlCommands.js';
import { IControlStateService } from '../../configuration/common/controlStateService.js';
import { type Intent, type Plan, PlanStatus } from '../../configuration/common/intents.js';
import { IEntryMembership } from '../../membership/common/entryMembership.js';
import { forecastHeadroom } from '../../planning/common/headroom.js';
import { confirmRequestSchema, intentRequestSchema } from '../../planning/common/intentSchema.js';
import { MeasuredLoads } from '../../planning/common/measuredLoads.js';
import { draftPlan, PlanningError } from '../../planning/common/planner.js';
import { IShifts } from '../../shifts/common/shifts.js';
import type { ControlSteeringSettings } from '../../shifts/common/shiftSettings.js';
import type {
	ConfirmResponse,
	InForceStatus,
	OperatorErrorBody,
	OperatorRequest,
	OperatorResponse,
	StatusResponse
} from '../common/operatorApi.js';

const IN_FORCE_TIMEOUT_MS = 2000;
const PLAN_ID_LENGTH = 16;
const RETRY_AFTER_MS = 500;
const PLAN_PATH = /^\/v1\/plans\/([0-9a-f]+)(\/confirm|\/stop)?$/;
const MEMBER_PATH = /^\/v1\/members\/([A-Za-z0-9_-]+)\/remove$/;

/** Aborts the handling of a request with an error response. */
class OperatorError extends Error {
	constructor(
		readonly status: number,
		readonly body: OperatorErrorBody,
		readonly retryAfterMs?: number
	) {
		super(body.message);
		this.name = 'OperatorError';
	}
}

/** Handles operators' requests. */
export interface IOperatorService {
	/** Resolves with an error response if this instance is not the leader. */
	handleRequest(request: OperatorRequest): Promise<OperatorResponse>;
}

/** Service identifier of the operator service. */
export const IOperatorService = createServiceIdentifier<IOperatorService>('operatorService');

/** Handles operators' requests while this instance is the leader and holds the lease. */
export class OperatorService implements IOperatorService {
	private readonly _lookupTtlMs: number;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IAgreement private readonly _agreement: IAgreement,
		@IControlStateService private readonly _control: IControlStateService,
		@IEntryMembership private readonly _membership: IEntryMembership,
		@IShifts private readonly _shifts: IShifts
	) {
		this._lookupTtlMs = settings.section<ControlSteeringSettings>('steering').lookupTtlMs;
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
			return { status: 200, body: this._getStatus() };
		}
		if (method === 'GET' && path === '/v1/explain') {
			return { status: 200, body: this._explain(request.query) };
		}
		const member = MEMBER_PATH.exec(path);
		if (member && method === 'POST') {
			return { status: 200, body: await this._removeMember(member[1]!) };
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
		const plan = this._createPlan(request.operator, key, request.intent);
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

	private _createPlan(operator: string, key: OperatorRequestKey, intent: Intent): Plan {
		const { configuration } = this._control.state;
		const entries = [...this._membership.live(), ...this._membership.silent()];
		const regions = [...new Set(entries.map(entry => entry.report.identity.region))].sort();
		const measuredLoads = new MeasuredLoads(this._membership.live(), systemClock.now());
		const draft = draftPlan(intent, {
			configuration,
			measuredLoads,
			regions,
			lookupTtlMs: this._lookupTtlMs
		});
		const forecast = forecastHeadroom(draft.stages, measuredLoads, configuration);
		if (forecast.overloaded.length > 0) {
			const overloads = forecast.overloaded.map(
				entry => `${entry.region} would need ${entry.usedAfter} of ${entry.slots} slots of ${entry.service}`
			);
			throw new OperatorError(409, { code: 'overloads-region', message: overloads.join('; '), verdict: 'not-run' });
		}
		const allowsRegionLossOverload = 'allowOverloadOnRegionLoss' in intent && intent.allowOverloadOnRegionLoss === true;
		const movesClients = draft.stages.some(stage => stage.moves.length > 0);
		if (movesClients && forecast.regionLossOverloads.length > 0 && !allowsRegionLossOverload) {
			throw new OperatorError(409, {
				code: 'overloads-on-region-loss',
				message: forecast.regionLossOverloads.join('; '),
				field: 'intent.allowOverloadOnRegionLoss',
				allowed: 'true, to accept this',
				verdict: 'not-run'
			});
		}
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
		return { planId, revision, inForce: await this._waitUntilInForce(revision) };
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
			const plan = this._createPlan(oldPlan.operator, key, oldPlan.intent);
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

	private async _removeMember(id: string): Promise<{ removed: string }> {
		const { members } = this._agreement.status();
		if (!members.some(member => member.id === id)) {
			const allowed = members.map(member => member.id).join(', ');
			const message = `there is no member '${id}'`;
			throw new OperatorError(404, { code: 'unknown-member', message, field: 'member', allowed, verdict: 'not-run' });
		}
		if (!(await this._agreement.removeMember(id))) {
			const message = `cannot remove '${id}': it is the leader, or another membership change is in progress`;
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
		return { ...record, inForce: this._getInForceStatus(record.stageRevision) };
	}

	private _getStatus(): StatusResponse {
		const replicaStatus = this._agreement.status();
		const { state } = this._control;
		const describe = (silent: boolean) => (entry: ReturnType<IEntryMembership['live']>[number]) => ({
			instance: entry.report.identity.instance,
			url: entry.report.identity.url,
			hall: entry.report.identity.hall,
			region: entry.report.identity.region,
			revisionInForce: entry.report.revisionInForce,
			provisional: entry.report.provisional,
			leaving: entry.report.leaving,
			silent
		});
		const live = this._membership.live().map(describe(false));
		const silent = this._membership.silent().map(describe(true));
		const confirmedPlans = state.plans.filter(record => record.status !== PlanStatus.Proposed);
		return {
			instance: replicaStatus.id,
			leader: replicaStatus.leader ?? '',
			term: replicaStatus.term,
			revision: state.configuration.revision,
			members: replicaStatus.members.map(member => ({ id: member.id, role: member.role })),
			entries: [...live, ...silent],
			groups: state.configuration.groups.map(group => ({ ...group })),
			leaving: state.configuration.leaving.map(item => ({ ...item })),
			plans: confirmedPlans.map(record => ({
				planId: record.plan.planId,
				intent: record.plan.intent,
				status: record.status,
				stagesBegun: record.stagesBegun,
				stages: record.plan.stages.length,
				holdReason: record.holdReason
			}))
		};
	}

	private _explain(query: Readonly<Record<string, string>>): unknown {
		const decisions = this._shifts.decisions.filter(item => !query.plan || item.planId === query.plan);
		const record = query.plan ? this._control.state.plan(query.plan) : undefined;
		return { plan: record, decisions };
	}

	private _getInForceStatus(revision: Revision): InForceStatus {
		const live = this._membership.live();
		const silent = this._membership.silent();
		const behind = live.filter(entry => entry.report.revisionInForce < revision);
		return {
			count: live.length - behind.length,
			of: live.length + silent.length,
			missing: [...behind, ...silent].map(entry => entry.report.identity.instance)
		};
	}

	private async _waitUntilInForce(revision: Revision): Promise<InForceStatus> {
		const isInForce = (): boolean => this._membership.live().every(entry => entry.report.revisionInForce >= revision);
		if (!isInForce()) {
			await new Promise<void>(resolve => {
				const settle = (): void => {
					subscription.dispose();
					clearTimeout(timer);
					resolve();
				};
				const timer = setTimeout(settle, IN_FORCE_TIMEOUT_MS);
				const subscription = this._membership.onDidReport(() => isInForce() && settle());
			});
		}
		return this._getInForceStatus(revision);
	}

	private _propose(body: ControlCommand): Promise<ControlResult> {
		return this._agreement.propose<ControlResult>({ part: CONTROL_PART, body });
	}
}

/** Parses a request body; the error response names the first invalid field and the allowed values. */
function validateBody<T>(schema: z.ZodType<T>, body: unknown): T {
	const result = schema.safeParse(body);
	if (result.success) {
		return result.data;
	}
	const issue = result.error.issues[0]!;
	const isUnknownKey = issue.code === 'unrecognized_keys';
	const path = [...issue.path, ...(isUnknownKey ? issue.keys : [])].join('.');
	const field = path === '' ? 'body' : path;
	const allowed = isUnknownKey ? 'no such field' : issue.message;
	const message = `${field} is not allowed as given; allowed: ${allowed}`;
	throw new OperatorError(400, { code: 'bad-request', message, field, allowed, verdict: 'not-run' });
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

function requestKey(operator: string, number: number, content: unknown): OperatorRequestKey {
	return { operator, number, contentDigest: sha256(content) };
}

function sha256(content: unknown): string {
	return createHash('sha256').update(JSON.stringify(content)).digest('hex');
}

function noLeaderResponse(verdict: OperatorErrorBody['verdict']): OperatorResponse {
	const body: OperatorErrorBody = { code: 'no-leader', message: 'there is currently no leader', verdict };
	return { status: 503, body, retryAfterMs: RETRY_AFTER_MS };
}

function toErrorResponse(error: Error): OperatorResponse {
	if (error instanceof OperatorError) {
		return { status: error.status, body: error.body, retryAfterMs: error.retryAfterMs };
	}
	if (error instanceof PlanningError) {
		const { code, message, field, allowed } = error;
		return { status: 409, body: { code, message, field, allowed, verdict: 'not-run' } };
	}
	if (error instanceof NotLeaderError) {
		return noLeaderResponse('not-run');
	}
	if (error instanceof OutcomeUnknownError) {
		return noLeaderResponse('may-have-run');
	}
	throw error;
}
