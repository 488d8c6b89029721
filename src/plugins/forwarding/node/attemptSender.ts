/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Sends a request to a chosen target and notes what that says of the target, the service and the request. */

import { type Millis, systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import { LimitChange } from '../../limits/common/targetLimit.js';
import type { IPermit, ITargetLimits, TargetLimitEvent } from '../../limits/common/targetLimits.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import { type AttemptOutcome, NotRunCause } from '../common/attempt.js';
import type { IHeaderNames } from '../common/headerNames.js';
import type { LargeAnswerGate } from '../common/largeAnswerGate.js';
import { connectTimeoutMs, heldBytes } from '../common/linkPacer.js';
import type { AttemptTrace } from '../common/requestTrace.js';
import type { ChosenTarget } from '../common/placement/targetChoice.js';
import type { TargetWord } from '../common/targets/targetWord.js';
import { describeOutcome, type Journey, mayHaveRun } from './journey.js';
import type { LostRunWatch } from './lostRunWatch.js';
import type { LimitWatch } from './targets/limitWatch.js';
import type { OutcomeNotes } from './targets/outcomeNotes.js';
import type { RegionWatch } from './placement/regionWatch.js';
import type { RestWatch } from './targets/restWatch.js';
import { TargetAgent } from './targets/targetAgent.js';
import { TargetExchange, type WithdrawCause } from './targetExchange.js';
import { TargetHeaders } from './targetHeaders.js';

/** Time for a connection to come up within a region and to another one, where the link is free. */
const NEAR_CONNECT_MS = 250;
const FAR_CONNECT_MS = 500;

function withheld(cause: NotRunCause): AttemptOutcome {
	return { type: 'not-run', hasArrived: false, cause };
}

/** What attempts need of the instance. */
export interface AttemptContext {
	readonly region: string;
	/** What the link of the instance carries, in Mbit/s. */
	readonly linkMbit: number;
	readonly names: IHeaderNames;
	readonly notes: OutcomeNotes;
	readonly watch: RegionWatch;
	readonly largeAnswers: LargeAnswerGate;
	readonly view: FleetView;
	readonly lostRuns: LostRunWatch;
	readonly rests: RestWatch;
	readonly limits: ITargetLimits;
	readonly limitWatch: LimitWatch;
}

/** The attempts of this instance and their connections. */
export class AttemptSender extends Disposable {
	private readonly _agent = new TargetAgent();
	private readonly _headers: TargetHeaders;
	/** The attempts that have no outcome yet, with the life of the target that they were sent to. */
	private readonly _underWay = new Map<TargetExchange, TargetRecord>();
	private readonly _heldBytes: number;
	private readonly _nearConnectMs: Millis;
	private readonly _farConnectMs: Millis;

	constructor(private readonly _context: AttemptContext) {
		super();
		const { linkMbit, names } = _context;
		this._headers = new TargetHeaders(names);
		this._heldBytes = heldBytes(linkMbit);
		this._nearConnectMs = connectTimeoutMs(linkMbit, NEAR_CONNECT_MS);
		this._farConnectMs = connectTimeoutMs(linkMbit, FAR_CONNECT_MS);
		this._register(toDisposable(() => this._agent.destroy()));
		this._register(_context.view.onDidOutlive(earlier => this._loseAllAt(earlier)));
		this._register(_context.limits.onDidChange(event => this._onLimitChange(event)));
	}

	/**
	 * One attempt at one target; never rejects. Whoever chose it: nothing is sent to a target that wants nothing, and each request that may
	 * be written to one with a limit has a permit within it.
	 */
	async send(journey: Journey, candidate: ChosenTarget, permit: IPermit | undefined): Promise<AttemptOutcome> {
		const { exchange } = journey;
		const { known, state } = candidate;
		const now = systemClock.now();
		journey.tried.add(known.record.id);
		const obstacle = this._obstacleTo(candidate, permit, now);
		if (obstacle !== undefined) {
			permit?.giveBack();
			return withheld(obstacle);
		}
		this._context.rests.noteSend(known.record, state, now);
		const sent = this._exchangeFor(journey, candidate, now);
		state.inFlight++;
		state.isUsed = true;
		const timer = setTimeout(() => sent.abandon(), Math.max(0, journey.deadline - now));
		exchange.whenLeft(() => sent.abandon());
		const trace = traceOf(journey, candidate, now);
		if (journey.attempts.length === 0) {
			this._context.watch.noteFirstTry(candidate.firstRegion, known.region);
		}
		journey.attempts.push(trace);
		this._underWay.set(sent, known.record);
		const outcome = await sent.outcome;
		this._underWay.delete(sent);
		if (sent.writtenAt === undefined) {
			permit?.giveBack();
		}
		const endedAt = systemClock.now();
		trace.outcome = describeOutcome(outcome);
		trace.tookMs = Math.round(endedAt - now);
		exchange.whenLeft(undefined);
		clearTimeout(timer);
		const { notes, lostRuns, rests, limitWatch } = this._context;
		lostRuns.noteAttempt(journey, known.record, outcome, now);
		const request = { chosenAt: now, writtenAt: sent.writtenAt, outcome };
		rests.noteSent(known.record, state, request);
		limitWatch.noteSent(known.record, request, journey.attempts[0] === trace);
		notes.noteOutcome(journey, state, outcome, endedAt - now, endedAt);
		if (outcome.type === 'answer') {
			this._noteSize(journey.route, sent.answerHeaders?.['content-length']);
		}
		state.inFlight--;
		if (journey.team?.limit && mayHaveRun(outcome)) {
			journey.hasLeave = false;
		}
		return outcome;
	}

	/** Why nothing may be sent to a target now; undefined where it may. */
	private _obstacleTo(
		{ known, state }: ChosenTarget,
		permit: IPermit | undefined,
		now: Millis
	): NotRunCause | undefined {
		const { limits } = this._context;
		if (state.rest.isAsked(now)) {
			return NotRunCause.AtRest;
		}
		if (!permit && limits.perSecond(known.record, now) !== undefined) {
			return NotRunCause.AtLimit;
		}
		const [host, port] = splitAddress(known.record.address);
		const hasRoom = this._agent.hasRoom(host, port, this._mostConnections(known.record));
		return hasRoom ? undefined : NotRunCause.ConnectionsInUse;
	}

	/** This instance's part of the connections that a target accepts from all instances; a service in no table has no bound. */
	private _mostConnections({ service }: TargetRecord): number {
		const { view } = this._context;
		const all = view.routes?.service(service)?.maxConnections;
		return all === undefined ? Number.POSITIVE_INFINITY : Math.max(1, Math.floor(all / view.mostEntries));
	}

	/** A target spoke of itself in the head of an answer. */
	private _hear({ known, state }: ChosenTarget, word: TargetWord, askedAt: Millis): void {
		const now = systemClock.now();
		const { notes, rests } = this._context;
		this._hearLimit(known.record, word, askedAt);
		notes.noteLoad(state, word.load, now);
		rests.noteWord(known.record, state, word, state.inFlight, now);
		state.rest.hear(word, now);
		if (state.rest.isAsked(now)) {
			this._withdrawFrom(known.record, NotRunCause.AtRest);
		}
	}

	private _hearLimit(record: TargetRecord, word: TargetWord, askedAt: Millis): void {
		const { limitPerSecond: perSecond, hasEcho } = word;
		if (perSecond !== undefined || hasEcho) {
			this._context.limits.hear(record, { perSecond, askedAt });
		}
	}

	/** What is under way when a limit is named has no permit within it. */
	private _onLimitChange({ record, change }: TargetLimitEvent): void {
		if (change === LimitChange.Named) {
			this._withdrawFrom(record, NotRunCause.AtLimit);
		}
	}

	/** What has not been written to a target yet may still go elsewhere. */
	private _withdrawFrom({ id, bornAt }: TargetRecord, cause: WithdrawCause): void {
		for (const [sent, record] of this._underWay) {
			if (record.id === id && record.bornAt === bornAt) {
				sent.withdraw(cause);
			}
		}
	}

	/** What a target was running when it ended is lost; behind a cut nothing else says so. */
	private _loseAllAt({ id, bornAt, address }: TargetRecord): void {
		this._agent.closeRestingTo(...splitAddress(address));
		for (const [sent, record] of this._underWay) {
			if (record.id === id && record.bornAt <= bornAt) {
				sent.lose();
			}
		}
	}

	private _exchangeFor(journey: Journey, candidate: ChosenTarget, now: Millis): TargetExchange {
		const { exchange, body } = journey;
		const { known } = candidate;
		const [host, port] = splitAddress(known.record.address);
		return new TargetExchange(this._agent, this._context.names, {
			requestId: exchange.requestId,
			targetId: known.record.id,
			host,
			port,
			method: exchange.request.method ?? 'GET',
			path: exchange.path,
			rawHeaders: this._headers.headersFor(journey, known.record.id, now),
			body,
			connectTimeoutMs: known.region === this._context.region ? this._nearConnectMs : this._farConnectMs,
			heldBytes: this._heldBytes,
			onWord: (word, writtenAt) => this._hear(candidate, word, writtenAt)
		});
	}

	private _noteSize(route: Route, length: string | undefined): void {
		if (route.repeatRule === RepeatRule.LargeAnswer && length !== undefined) {
			this._context.largeAnswers.noteSize(route, Number(length));
		}
	}
}

function splitAddress(address: string): [host: string, port: number] {
	const [host, port] = address.split(':') as [string, string];
	return [host, Number(port)];
}

function traceOf({ exchange }: Journey, candidate: ChosenTarget, now: Millis): AttemptTrace {
	const { known, state, firstRegion, passedOver } = candidate;
	return {
		target: known.record.id,
		region: known.region,
		firstRegion,
		atMs: Math.round(now - exchange.arrivedAt),
		load: Math.round(state.load(now) * 10) / 10,
		slots: known.record.slots,
		isCold: known.coldUntil > now,
		passedOver,
		outcome: 'unknown',
		tookMs: 0
	};
}
