/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Turns a caller's exchange into a request that can be forwarded: finds its route, checks access and reads the body. */

import { type Millis, systemClock } from '../../../base/clock.js';
import { RefusalReason } from '../../../base/verdict.js';
import type { IBodyAccount } from '../../../kernel/common/bodyAccount.js';
import { BodyEvictedError } from '../../../kernel/node/bodyEvictedError.js';
import { BodyTooLargeError } from '../../../kernel/node/bodyTooLargeError.js';
import { rankOf } from '../../admission/common/requestRank.js';
import { SHORT_RETRY_AFTER_MS } from '../../admission/common/returnTimes.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import { QuarantinePhase } from '../../fleet/common/quarantineTypes.js';
import { chooseService } from '../../placement/common/weightedServiceChoice.js';
import type { Route } from '../../routes/common/routeTable.js';
import { checkAccess, type GrantedAccess } from '../../routes/common/teamAccess.js';
import type { RetryPermit } from '../common/serviceRetryBudget.js';
import { bodyTooLargeResponse } from './callerLimits.js';
import type { CallerExchange, LocalResponse } from './callerExchange.js';
import type { RelayOrigin } from './forwarding.js';
import { accessDeniedResponse, type RequestContext, unavailableResponse } from './requestContext.js';
import { BodyLateError, BodyTruncatedError, RequestBody } from './requestBody.js';

const STATUS_REQUEST_TIMEOUT = 408;
const NO_CONFIGURATION_RETRY_AFTER_MS = 500;

/** Admits exchanges of callers by the current route table. */
export class RequestIntake {
	constructor(
		private readonly _view: FleetView,
		private readonly _bodyAccount: IBodyAccount
	) {}

	/**
	 * Returns the request, or the response that refuses it; undefined where the caller disconnected before the end of the body.
	 * @param origin for a request that another entry instance relayed
	 */
	async accept(exchange: CallerExchange, origin?: RelayOrigin): Promise<RequestContext | LocalResponse | undefined> {
		const { routes } = this._view;
		if (!routes) {
			return unavailableResponse(RefusalReason.NoConfiguration, NO_CONFIGURATION_RETRY_AFTER_MS);
		}
		const route = routes.find(exchange.host, exchange.path);
		if (!route) {
			return { status: 404, verdict: 'not-run', reason: 'no-route' };
		}
		const access = checkAccess(routes, route, exchange.keyDigest);
		if (!access.isGranted) {
			return accessDeniedResponse(access);
		}
		const deadline = exchange.arrivedAt + Math.min(exchange.remainingMs, route.timeoutMs);
		let body: RequestBody;
		try {
			body = await RequestBody.read(exchange.request, this._bodyAccount, {
				timeoutMs: deadline - systemClock.now(),
				maxBytes: routes.table.limits.maxBodyBytes,
				onTooLarge: () => exchange.abandon()
			});
		} catch (error) {
			return bodyRefusal(error);
		}
		return createContext(exchange, origin, route, access, body, deadline);
	}

	/** Checks access again before each attempt, since a key can be revoked between attempts; undefined where access is still granted. */
	recheckAccess({ route, exchange }: RequestContext): LocalResponse | undefined {
		const { routes } = this._view;
		const access = routes && checkAccess(routes, route, exchange.keyDigest);
		return access && !access.isGranted ? accessDeniedResponse(access) : undefined;
	}
}

/**
 * The response to a request whose body was not received, of which nothing was sent to a target; undefined where the caller disconnected.
 */
function bodyRefusal(error: unknown): LocalResponse | undefined {
	if (error instanceof BodyTruncatedError) {
		return undefined;
	}
	if (error instanceof BodyEvictedError) {
		return { ...unavailableResponse(RefusalReason.NoCapacity, SHORT_RETRY_AFTER_MS), closesConnection: true };
	}
	if (error instanceof BodyTooLargeError) {
		return bodyTooLargeResponse();
	}
	if (error instanceof BodyLateError) {
		return {
			status: STATUS_REQUEST_TIMEOUT,
			verdict: 'not-run',
			reason: RefusalReason.DeadlinePassed,
			closesConnection: true
		};
	}
	throw error;
}

function createContext(
	exchange: CallerExchange,
	origin: RelayOrigin | undefined,
	route: Route,
	{ homeRegions, team }: GrantedAccess,
	body: RequestBody,
	deadline: Millis
): RequestContext {
	return {
		exchange,
		route,
		homeRegions,
		team,
		teamName: team?.name,
		rank: rankOf(team, route),
		service: chooseService(route, exchange.requestId),
		body,
		deadline,
		isRelayed: origin !== undefined,
		isCounted: origin?.isCounted ?? false,
		tried: new Set(),
		hasTeamPermit: team?.limit === undefined,
		utilizationFactor: 1,
		possibleRuns: 0,
		refusals: 0,
		connectFailures: 0,
		writtenAttempts: origin?.writtenAttempts ?? 0,
		retryPermit: origin?.hasRetry ? relayedPermit(exchange.arrivedAt) : undefined,
		permitsDenied: 0,
		attempts: [],
		attemptedAddresses: [],
		phase: QuarantinePhase.Clear
	};
}

/** A retry of the instance that relayed the request, which accounts for it. */
function relayedPermit(takenAt: Millis): RetryPermit {
	return { takenAt, giveBack: () => undefined };
}
