/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The limits of teams on an entry instance: asks the nearest control instance for leave to send their requests. One that is cut
 * off from control, though callers and targets reach it, asks the other entry instances of its data hall to take credits for it.
 */

import { Disposable } from '../../../base/disposable.js';
import { type Millis, systemClock } from '../../../base/clock.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IFleetSession } from '../../fleet/common/fleetSession.js';
import type { Team } from '../../routes/common/routeTable.js';
import { takeMethod, type TakeRequest, type TakeResponse } from '../common/limitWire.js';
import { type ITeamLimits, type LimitAnswer, LimitVerdict } from '../common/teamLimits.js';
import { TeamAsker } from './teamAsker.js';

/**
 * A control instance that has not answered by then is given up for one call. It may wait for the leader, and its answer waits behind a
 * large one on the link of this instance: a shorter wait gives up answers that are on their way.
 */
const CONTROL_ANSWER_MS = 500;
/** The same for another entry instance, which asks one control instance. */
const PEER_ANSWER_MS = 400;
/** Who gave no answer is passed over for this long, unless it has just given another one. */
const PASSED_OVER_MS = 3000;
const JUST_ANSWERED_MS = 1000;
/** Control instances that one request asks, and other entry instances after them, before it is given up. */
const MOST_CONTROLS = 2;
const MOST_PEERS = 1;

const ADMITTED: LimitAnswer = { verdict: LimitVerdict.Admitted, retryAfterMs: 0 };
const UNKNOWN: TakeResponse = { granted: 0, retryAfterMs: 0 };

/** Leave for the requests of teams. */
export class TeamLimitsTask extends Disposable implements ITeamLimits {
	private readonly _askers = new Map<string, TeamAsker>();
	private readonly _passedOverUntil = new Map<string, Millis>();
	private readonly _answeredAt = new Map<string, Millis>();

	constructor(
		@IFleetSession private readonly _session: IFleetSession,
		@IPeerCalls private readonly _calls: IPeerCalls,
		@ILogService private readonly _log: ILogService
	) {
		super();
		_calls.handleUnary(takeMethod, async request => (await this._takeAtControl(request)) ?? UNKNOWN);
	}

	/** Opens the listener for the other instances of the hall. */
	async start(): Promise<void> {
		await this._calls.listen();
	}

	admit(team: Team): LimitAnswer | Promise<LimitAnswer> {
		return team.limit ? this._askerOf(team.name).admit() : ADMITTED;
	}

	giveBack(team: Team): void {
		if (team.limit) {
			this._askerOf(team.name).giveBack();
		}
	}

	private _askerOf(team: string): TeamAsker {
		let asker = this._askers.get(team);
		if (!asker) {
			asker = new TeamAsker((needed, returned) => this._take({ team, needed, returned }));
			this._askers.set(team, asker);
		}
		return asker;
	}

	private async _take(request: TakeRequest): Promise<TakeResponse> {
		return (await this._takeAtControl(request)) ?? (await this._takeAtPeer(request)) ?? UNKNOWN;
	}

	/** The nearest control instances one after the other; undefined where none answers. */
	private _takeAtControl(request: TakeRequest): Promise<TakeResponse | undefined> {
		return this._takeAtFirst(this._session.controlAddresses(), MOST_CONTROLS, request, CONTROL_ANSWER_MS);
	}

	private _takeAtPeer(request: TakeRequest): Promise<TakeResponse | undefined> {
		return this._takeAtFirst(this._session.view.hallPeers, MOST_PEERS, request, PEER_ANSWER_MS);
	}

	private async _takeAtFirst(
		addresses: readonly string[],
		most: number,
		request: TakeRequest,
		timeoutMs: Millis
	): Promise<TakeResponse | undefined> {
		const now = systemClock.now();
		const isAsked = (address: string): boolean => now >= (this._passedOverUntil.get(address) ?? 0);
		for (const address of addresses.filter(isAsked).slice(0, most)) {
			try {
				const answer = await this._calls.call(address, takeMethod, request, timeoutMs);
				this._answeredAt.set(address, systemClock.now());
				return answer;
			} catch (error) {
				const reason = (error as Error).message;
				this._log.warn('credits not taken', { task: 'limits', team: request.team, address, reason });
				this._noteFailure(address, systemClock.now());
			}
		}
		return undefined;
	}

	private _noteFailure(address: string, now: Millis): void {
		if (now - (this._answeredAt.get(address) ?? Number.NEGATIVE_INFINITY) > JUST_ANSWERED_MS) {
			this._passedOverUntil.set(address, now + PASSED_OVER_MS);
		}
	}
}
