/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** At-most-once dispatch of requests with an order key, and the peer methods that it calls at control instances. */

import { defineUnary } from '../../../kernel/common/peerMethods.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { LeaderRequest } from '../../agreement/common/leaderForwarder.js';
import type { DispatchRequest, DispatchResult, ResponseSink } from '../../dispatch/common/dispatch.js';
import type { ClaimResult, OrderOutcome } from './orderLedger.js';

/** Claims an order key for a request. */
export interface ClaimRequest extends LeaderRequest {
	readonly key: string;
	/** SHA-256 over service, group, method, path and body of the request, in hexadecimal. */
	readonly digest: string;
	readonly requestId: string;
}

/** Reports the outcome of a claimed request. */
export interface OutcomeRequest extends LeaderRequest {
	readonly key: string;
	readonly requestId: string;
	readonly outcome: OrderOutcome;
}

/** The response to an outcome report. */
export interface OutcomeResponse {
	/** Whether the outcome is committed to the replicated log. */
	readonly isRecorded: boolean;
}

/** Claims an order key; answered by the leader. */
export const claimMethod = defineUnary<ClaimRequest, ClaimResult>('once', 'Claim');
/** Records the outcome of a claim; answered by the leader. */
export const outcomeMethod = defineUnary<OutcomeRequest, OutcomeResponse>('once', 'Outcome');

/** Dispatches requests with an order key, each at most once. */
export interface IAtMostOnceDispatch {
	/**
	 * Claims the order key of the request, dispatches it and records its outcome. If it ran before, the stored response
	 * is replayed instead.
	 * @throws RequestError when the claim is refused or the dispatch fails, before the sink was started
	 */
	dispatch(request: DispatchRequest, sink: ResponseSink): Promise<DispatchResult>;
}

/** Service identifier of at-most-once dispatch. */
export const IAtMostOnceDispatch = createServiceIdentifier<IAtMostOnceDispatch>('atMostOnceDispatch');
