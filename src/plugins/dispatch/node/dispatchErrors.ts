/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Errors of requests that a dispatcher refused, or whose attempt failed. */

import type { Millis } from '../../../base/clock.js';
import { RefusalReason, RequestError } from '../../../base/verdict.js';
import type { AdmissionDecision } from '../../admission/common/admissionControl.js';
import type { AttemptOutcome } from './targetConnectionPool.js';

/** Retry delay for a request whose target became unavailable right before the first byte was sent. */
const WITHHELD_RETRY_AFTER_MS = 100;

/** Why a request was refused. */
export type RefusalCause = Extract<AdmissionDecision, { kind: 'refuse' }>['cause'];

const REFUSALS: Readonly<Record<RefusalCause, { readonly reason: RefusalReason; readonly message: string }>> = {
	'no-slots': { reason: RefusalReason.NoCapacity, message: 'no target of the service is available at this instance' },
	'queue-full': { reason: RefusalReason.QueueFull, message: 'the queue of the service is full' },
	deadline: {
		reason: RefusalReason.DeadlineUnreachable,
		message: 'the request is not expected to complete before its deadline'
	}
};

/** Error of a request that was refused before it was sent. */
export function refusalError(cause: RefusalCause, retryAfterMs: Millis): RequestError {
	const { reason, message } = REFUSALS[cause];
	return new RequestError('not-run', reason, 503, message, retryAfterMs);
}

/** Error of a request whose last attempt, at `target`, gave no response. */
export function attemptError(outcome: AttemptOutcome, target: string): RequestError {
	switch (outcome.kind) {
		case 'failed':
			return new RequestError(outcome.verdict, RefusalReason.TargetFailed, 502, `${target}: ${outcome.message}`);
		case 'withheld':
			return new RequestError(
				'not-run',
				RefusalReason.NoCapacity,
				503,
				`target ${target} is no longer available at this instance`,
				WITHHELD_RETRY_AFTER_MS
			);
		case 'aborted':
			return new RequestError(outcome.verdict, RefusalReason.Cancelled, 499, 'request cancelled');
		default:
			return new RequestError('may-have-run', RefusalReason.TargetFailed, 502, `${target}: response interrupted`);
	}
}

/** Replaces the verdict `not-run` if an earlier attempt may have run. */
export function withUncertainty(error: RequestError, mayHaveRun: boolean): RequestError {
	if (!mayHaveRun || error.verdict !== 'not-run') {
		return error;
	}
	return new RequestError('may-have-run', error.reason, error.status, error.message, error.retryAfterMs);
}
