/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Errors of operators' requests and the responses that report them. */

import { z } from 'zod';
import { NotLeaderError, OutcomeUnknownError } from '../../agreement/common/agreement.js';
import { PlanningError } from '../../planning/common/planner.js';
import type { OperatorErrorBody, OperatorResponse } from '../common/operatorApi.js';

/** Retry delay after which there may be a leader, or a membership change may be complete. */
export const RETRY_AFTER_MS = 500;

/** Aborts the handling of a request with an error response. */
export class OperatorError extends Error {
	constructor(
		readonly status: number,
		readonly body: OperatorErrorBody,
		readonly retryAfterMs?: number
	) {
		super(body.message);
		this.name = 'OperatorError';
	}
}

/** Parses a request body; the error response names the first invalid field and the allowed values. */
export function validateBody<T>(schema: z.ZodType<T>, body: unknown): T {
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

/** The response of an instance that does not lead, or may not have led until the request was handled. */
export function noLeaderResponse(verdict: OperatorErrorBody['verdict']): OperatorResponse {
	const body: OperatorErrorBody = { code: 'no-leader', message: 'there is currently no leader', verdict };
	return { status: 503, body, retryAfterMs: RETRY_AFTER_MS };
}

/**
 * The response for an error that was thrown while a request was handled.
 * @throws the error itself where it is not one of operators' requests
 */
export function toErrorResponse(error: Error): OperatorResponse {
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
