/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The limits of teams on an entry instance: holds credits, renews them, and has requests wait for a credit shortly. */

import { randomUUID } from 'node:crypto';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { type Millis, systemClock } from '../../../base/clock.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IFleetSession } from '../../fleet/common/fleetSession.js';
import type { Team } from '../../routes/common/routeTable.js';
import { renewMethod, type CreditAsk, type RenewRequest } from '../common/limitWire.js';
import { TeamCredits } from '../common/teamCredits.js';
import { type ITeamLimits, type LimitAnswer, LimitVerdict } from '../common/teamLimits.js';

/** Time between renewals; credits live for three of them. */
const RENEW_MS = 1000;
/** Longest that a request waits for a credit: a call to the leader in another region and back, twice. */
const WAIT_MS = 300;
/** An answer to a renewal that is late counts all the same: on a crowded link every one may be late. */
const ANSWER_MS = 1500;
/** A team that was told to be over its limit does not ask again before this. */
const EMPTY_PAUSE_MS = 200;
const LEAST_RETRY_MS = 100;
const MOST_RETRY_MS = 2000;
const UNKNOWN_RETRY_MS = 300;

const ADMITTED: LimitAnswer = { verdict: LimitVerdict.Admitted, retryAfterMs: 0 };

/** Credits by team. */
export class TeamLimitsTask extends Disposable implements ITeamLimits {
	private readonly _holder: string;
	private readonly _credits = new Map<string, TeamCredits>();
	private readonly _ratesSeen = new Map<string, number>();
	private _sequence = 0;
	private _renewal: Promise<boolean> | undefined;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IFleetSession private readonly _session: IFleetSession,
		@IPeerCalls private readonly _calls: IPeerCalls,
		@ILogService private readonly _log: ILogService
	) {
		super();
		this._holder = `${settings.section<InstanceSettings>('instance').name} ${randomUUID()}`;
		const timer = setInterval(() => void this._renewIdle(), RENEW_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	admit(team: Team): LimitAnswer | Promise<LimitAnswer> {
		if (!team.limit) {
			return ADMITTED;
		}
		const now = systemClock.now();
		const credits = this._creditsOf(team);
		credits.noteRequest(now);
		if (credits.take(now)) {
			return ADMITTED;
		}
		if (now < credits.emptyUntil) {
			return overLimit(credits.emptyUntil - now);
		}
		return this._askFor(credits);
	}

	admitAgain(team: Team): boolean {
		return !team.limit || this._creditsOf(team).take(systemClock.now());
	}

	giveBack(team: Team): void {
		if (team.limit) {
			this._creditsOf(team).giveBack();
		}
	}

	private async _askFor(credits: TeamCredits): Promise<LimitAnswer> {
		credits.waiting++;
		const isAnswered = await Promise.race([this._renewAfresh(), pause(WAIT_MS)]);
		credits.waiting--;
		const now = systemClock.now();
		if (credits.take(now)) {
			return ADMITTED;
		}
		return isAnswered
			? overLimit(credits.emptyUntil - now)
			: { verdict: LimitVerdict.Unknown, retryAfterMs: UNKNOWN_RETRY_MS };
	}

	/** A renewal that is under way was written before the request came that needs one. */
	private async _renewAfresh(): Promise<boolean> {
		await this._renewal;
		return this._renew();
	}

	/** The renewal under way, or a new one; resolves with whether the leader answered. */
	private _renew(): Promise<boolean> {
		this._renewal ??= this._callLeader().finally(() => (this._renewal = undefined));
		return this._renewal;
	}

	private async _renewIdle(): Promise<void> {
		const now = systemClock.now();
		for (const [name, credits] of this._credits) {
			if (credits.isIdle(now)) {
				this._credits.delete(name);
			}
		}
		if (this._credits.size > 0) {
			await this._renew();
		}
	}

	private async _callLeader(): Promise<boolean> {
		const control = this._session.controlAddress;
		if (control === undefined) {
			return false;
		}
		const sentAt = systemClock.now();
		const asks = [...this._credits].map(([team, credits]) => credits.ask(team, sentAt));
		const request: RenewRequest = { holder: this._holder, sequence: ++this._sequence, asks };
		try {
			const { grants } = await this._calls.call(control, renewMethod, request, ANSWER_MS);
			grants?.forEach((grant, i) => this._take(asks[i]!, grant, sentAt));
			return grants !== undefined;
		} catch (error) {
			this._log.warn('credits not renewed', { task: 'limits', control, reason: (error as Error).message });
			return false;
		}
	}

	private _take(ask: CreditAsk, grant: Parameters<TeamCredits['takeGrant']>[1], sentAt: Millis): void {
		const credits = this._credits.get(ask.team);
		credits?.takeGrant(ask, grant, sentAt);
		if (credits && grant.roomInMs > 0) {
			const waitMs = Math.min(MOST_RETRY_MS, Math.max(EMPTY_PAUSE_MS, grant.roomInMs));
			credits.emptyUntil = systemClock.now() + waitMs;
			this._log.info('over limit', { task: 'limits', team: ask.team, ask, grant });
		}
	}

	/** The credits of a team; a limit that a table lowered shrinks what is held of it. */
	private _creditsOf({ name, limit }: Team): TeamCredits {
		let credits = this._credits.get(name);
		if (!credits) {
			credits = new TeamCredits();
			this._credits.set(name, credits);
		}
		const before = this._ratesSeen.get(name);
		if (before !== limit!.perSecond) {
			this._ratesSeen.set(name, limit!.perSecond);
			if (before !== undefined && limit!.perSecond < before) {
				credits.shrink(limit!.perSecond / before);
			}
		}
		return credits;
	}
}

function overLimit(waitMs: Millis): LimitAnswer {
	const retryAfterMs = Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, Math.ceil(waitMs)));
	return { verdict: LimitVerdict.OverLimit, retryAfterMs };
}

function pause(ms: Millis): Promise<false> {
	return new Promise(resolve => setTimeout(() => resolve(false), ms));
}
