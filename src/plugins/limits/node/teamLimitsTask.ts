/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The limits of teams on an entry instance, which takes credits from the nearest control instance. If it can reach none, it takes
 * them through another entry instance of its data hall.
 */

import { Disposable } from '../../../base/disposable.js';
import { type Millis, systemClock } from '../../../base/clock.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IFleetSession } from '../../fleet/common/fleetSession.js';
import type { Team } from '../../routes/common/routeTable.js';
import { takeMethod, type TakeRequest, type TakeResponse } from '../common/limitWire.js';
import { type ITeamLimits, type LimitDecision, LimitVerdict } from '../common/teamLimits.js';
import { TeamAdmissionQueue } from './teamAdmissionQueue.js';

/**
 * Timeout of a call to a control instance. Leaves time for its call to the leader, and for large responses on the link of this
 * instance that delay its response.
 */
const CONTROL_TIMEOUT_MS = 500;
/** Timeout of a call to another entry instance, which calls control instances itself. */
const PEER_TIMEOUT_MS = 400;
/** How long an instance that did not respond is skipped, unless it has responded within `RECENT_RESPONSE_MS`. */
const UNRESPONSIVE_RETRY_MS = 3000;
const RECENT_RESPONSE_MS = 1000;
const MAX_CONTROL_ATTEMPTS = 2;
const MAX_PEER_ATTEMPTS = 1;

const ADMITTED: LimitDecision = { verdict: LimitVerdict.Admitted, retryAfterMs: 0 };
const UNKNOWN: TakeResponse = { granted: 0, retryAfterMs: 0 };

/** Admits requests of teams within their limits. */
export class TeamLimitsTask extends Disposable implements ITeamLimits {
	private readonly _queues = new Map<string, TeamAdmissionQueue>();
	private readonly _skippedUntil = new Map<string, Millis>();
	private readonly _lastResponseAt = new Map<string, Millis>();

	constructor(
		@IFleetSession private readonly _session: IFleetSession,
		@IPeerCalls private readonly _calls: IPeerCalls,
		@ILogService private readonly _log: ILogService
	) {
		super();
		_calls.handleUnary(takeMethod, async request => (await this._takeFromControl(request)) ?? UNKNOWN);
	}

	/** Opens the peer listener for the other entry instances of the data hall. */
	async start(): Promise<void> {
		await this._calls.listen();
	}

	admit(team: Team): LimitDecision | Promise<LimitDecision> {
		return team.limit ? this._getOrCreateQueue(team.name).admit() : ADMITTED;
	}

	giveBack(team: Team, arrivedAt: Millis): void {
		if (team.limit) {
			this._getOrCreateQueue(team.name).giveBack(arrivedAt);
		}
	}

	private _getOrCreateQueue(team: string): TeamAdmissionQueue {
		let queue = this._queues.get(team);
		if (!queue) {
			queue = new TeamAdmissionQueue((needed, returned, returnedFrom) =>
				this._take({ team, needed, returned, returnedFrom })
			);
			this._queues.set(team, queue);
		}
		return queue;
	}

	private async _take(request: TakeRequest): Promise<TakeResponse> {
		const response = await this._takeFromControl(request);
		return response ?? (await this._takeFromPeer(withoutReturns(request))) ?? UNKNOWN;
	}

	/** Tries the nearest control instances one after the other; undefined if none responds. */
	private _takeFromControl(request: TakeRequest): Promise<TakeResponse | undefined> {
		return this._takeFromFirstResponding(
			this._session.controlAddresses(),
			MAX_CONTROL_ATTEMPTS,
			request,
			CONTROL_TIMEOUT_MS
		);
	}

	private _takeFromPeer(request: TakeRequest): Promise<TakeResponse | undefined> {
		return this._takeFromFirstResponding(this._session.view.hallPeers, MAX_PEER_ATTEMPTS, request, PEER_TIMEOUT_MS);
	}

	private async _takeFromFirstResponding(
		addresses: readonly string[],
		maxAttempts: number,
		request: TakeRequest,
		timeoutMs: Millis
	): Promise<TakeResponse | undefined> {
		const now = systemClock.now();
		const isEligible = (address: string): boolean => now >= (this._skippedUntil.get(address) ?? 0);
		let attempt = request;
		for (const address of addresses.filter(isEligible).slice(0, maxAttempts)) {
			try {
				const response = await this._calls.call(address, takeMethod, attempt, timeoutMs);
				this._lastResponseAt.set(address, systemClock.now());
				return response;
			} catch (error) {
				const reason = (error as Error).message;
				this._log.warn('cannot take credits', { task: 'limits', team: request.team, address, reason });
				this._recordFailure(address, systemClock.now());
				attempt = withoutReturns(request);
			}
		}
		return undefined;
	}

	private _recordFailure(address: string, now: Millis): void {
		if (now - (this._lastResponseAt.get(address) ?? Number.NEGATIVE_INFINITY) > RECENT_RESPONSE_MS) {
			this._skippedUntil.set(address, now + UNRESPONSIVE_RETRY_MS);
		}
	}
}

/** The same request for a further instance: the one called before may have accepted the returned credits. */
function withoutReturns({ team, needed }: TakeRequest): TakeRequest {
	return { team, needed, returned: 0 };
}
