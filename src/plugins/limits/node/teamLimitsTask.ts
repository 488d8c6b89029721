/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The limits of teams on an entry instance: holds credits, renews them, and has requests wait for a credit shortly. */

import { randomUUID } from 'node:crypto';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { type Millis, systemClock } from '../../../base/clock.js';
import type { UnaryMethod } from '../../../kernel/common/peerMethods.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IFleetSession } from '../../fleet/common/fleetSession.js';
import type { Team } from '../../routes/common/routeTable.js';
import { type CreditNeed, type NeedGrant, needMethod, renewMethod } from '../common/limitWire.js';
import { TeamCredits } from '../common/teamCredits.js';
import { type ITeamLimits, type LimitAnswer, LimitVerdict } from '../common/teamLimits.js';

/** Time between renewals; credits live for three of them. */
const RENEW_MS = 1000;
/** Longest that a request waits for a credit: a call to the leader in another region and back, twice. */
const WAIT_MS = 300;
/** Requests that begin to wait within this time share a call. */
const GATHER_MS = 3;
/** An answer to a need that comes later than this is not counted; the ledger counts what it gave beside renewals for longer. */
const NEED_ANSWER_MS = 500;
/** A renewal that is answered late counts all the same: on a crowded link every one may be late. */
const RENEW_ANSWER_MS = 1500;
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
	/** The call that gathers what requests need. */
	private _needs: Promise<boolean> | undefined;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IFleetSession private readonly _session: IFleetSession,
		@IPeerCalls private readonly _calls: IPeerCalls,
		@ILogService private readonly _log: ILogService
	) {
		super();
		this._holder = `${settings.section<InstanceSettings>('instance').name} ${randomUUID()}`;
		const timer = setInterval(() => void this._renew(), RENEW_MS);
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
		this._needs ??= this._callForNeeds();
		const isAnswered = await Promise.race([this._needs, pause(WAIT_MS)]);
		const now = systemClock.now();
		if (credits.take(now)) {
			return ADMITTED;
		}
		return isAnswered
			? overLimit(credits.emptyUntil - now)
			: { verdict: LimitVerdict.Unknown, retryAfterMs: UNKNOWN_RETRY_MS };
	}

	/** One call for all requests that begin to wait within a moment; resolves with whether the leader answered. */
	private async _callForNeeds(): Promise<boolean> {
		await pause(GATHER_MS);
		this._needs = undefined;
		const waiting = [...this._credits].filter(([, credits]) => credits.waiting > 0);
		const needs = waiting.map(([team, credits]) => ({ team, needed: credits.waiting }));
		waiting.forEach(([, credits]) => (credits.waiting = 0));
		const sentAt = systemClock.now();
		const grants = await this._call(needMethod, { holder: this._holder, needs }, NEED_ANSWER_MS);
		grants?.forEach((grant, i) => this._takeNeed(needs[i]!, grant, sentAt));
		return grants !== undefined;
	}

	private _takeNeed(need: CreditNeed, grant: NeedGrant, sentAt: Millis): void {
		const credits = this._credits.get(need.team);
		credits?.add(grant.granted, sentAt);
		if (credits && grant.roomInMs > 0) {
			credits.emptyUntil = systemClock.now() + Math.min(MOST_RETRY_MS, Math.max(EMPTY_PAUSE_MS, grant.roomInMs));
			this._log.info('over limit', { task: 'limits', ...need, ...grant });
		}
	}

	private async _renew(): Promise<void> {
		const sentAt = systemClock.now();
		const active = [...this._credits].filter(([, credits]) => !credits.isIdle(sentAt));
		if (active.length === 0) {
			return;
		}
		const asks = active.map(([team, credits]) => credits.ask(team, sentAt));
		const request = { holder: this._holder, sequence: ++this._sequence, asks };
		const grants = await this._call(renewMethod, request, RENEW_ANSWER_MS);
		grants?.forEach((grant, i) => this._credits.get(asks[i]!.team)?.takeGrant(asks[i]!, grant, sentAt));
	}

	/** What the leader grants; undefined where it could not be asked. */
	private async _call<Q, G>(
		method: UnaryMethod<Q, { readonly grants?: G }>,
		request: Q,
		timeoutMs: Millis
	): Promise<G | undefined> {
		const control = this._session.controlAddress;
		if (control === undefined) {
			return undefined;
		}
		try {
			return (await this._calls.call(control, method, request, timeoutMs)).grants;
		} catch (error) {
			this._log.warn('credits not renewed', { task: 'limits', control, reason: (error as Error).message });
			return undefined;
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
