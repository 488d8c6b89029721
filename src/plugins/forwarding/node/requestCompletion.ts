/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Ends requests: sends the final response to the caller and records how the request ended. */

import type { IFleetSession } from '../../fleet/common/fleetSession.js';
import type { TargetResponse } from '../common/attempt.js';
import type { LocalResponse } from './callerExchange.js';
import { type RequestContext, requestEndOf } from './requestContext.js';
import { RequestEnd, type RequestRecorder } from './requestRecorder.js';

/** Replaces status and verdict of a `not-run` response when an earlier attempt may have run. */
const MAY_HAVE_RUN = { status: 502, verdict: 'may-have-run' } as const;

/** Sends final responses. */
export class RequestCompletion {
	constructor(
		private readonly _session: IFleetSession,
		private readonly _recorder: RequestRecorder
	) {}

	/** Ends the request with a target's response. */
	finishWithTargetResponse(context: RequestContext, response: TargetResponse): void {
		context.exchange.forwardResponse(response, context.deadline);
		this._record(context, RequestEnd.Answered, response.status);
	}

	/** Ends the request with the response of the entry instance that it was relayed to. */
	finishWithRelayedResponse(context: RequestContext, response: TargetResponse): void {
		context.exchange.forwardRelayedResponse(response, context.deadline);
		this._record(context, RequestEnd.Relayed, response.status);
	}

	/** Ends the request without a further attempt; a server error that a target returned earlier goes before the local response. */
	finishWithLocalResponse(context: RequestContext, response: LocalResponse): void {
		const { exchange, errorResponse } = context;
		if (errorResponse && !exchange.isDisconnected) {
			this.finishWithTargetResponse(context, errorResponse);
			return;
		}
		const finalResponse =
			context.possibleRuns > 0 && response.verdict === 'not-run' ? { ...response, ...MAY_HAVE_RUN } : response;
		exchange.sendLocalResponse(finalResponse);
		this._record(
			context,
			exchange.isDisconnected ? RequestEnd.CallerDisconnected : requestEndOf(finalResponse),
			finalResponse.status,
			finalResponse.reason
		);
	}

	private _record(context: RequestContext, end: RequestEnd, status?: number, reason?: string): void {
		const { exchange, route, service, team, attempts } = context;
		this._recorder.record({
			exchange,
			route,
			service,
			team: team?.name,
			end,
			status,
			reason,
			attempts,
			relayedTo: context.relayedTo,
			viewAgeMs: this._session.ageMs(),
			tableVersion: this._session.view.routes?.table.version
		});
	}
}
