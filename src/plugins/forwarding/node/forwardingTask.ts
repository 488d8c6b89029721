/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Carries the requests of callers to targets: chooses, sends, tries again where that is allowed, and answers. */

import { type Millis, systemClock } from '../../../base/clock.js';
import { rendezvousRank } from '../../../base/hashing.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { RefusalReason } from '../../../base/verdict.js';
import type { InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { PlaceSettings } from '../../fleet/common/placeSettings.js';
import { IFleetSession } from '../../fleet/common/fleetSession.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import { type AttemptOutcome, type NotRun, NotRunCause } from '../common/attempt.js';
import { DemandMeter } from '../common/demandMeter.js';
import type { FrontSettings } from '../common/frontSettings.js';
import { IHeaderNames } from '../common/headerNames.js';
import { passedHeaders } from '../common/hopHeaders.js';
import { LargeAnswerGate } from '../common/largeAnswerGate.js';
import { heldBytes } from '../common/linkPacer.js';
import { findNewcomer } from '../common/newcomers.js';
import { chooseService } from '../common/partChoice.js';
import { PlacementPlans } from '../common/placementPlans.js';
import type { AttemptTrace } from '../common/requestTrace.js';
import { RetryAllowance } from '../common/retryAllowance.js';
import { IServiceBounds } from '../common/serviceBounds.js';
import { type Candidate, chooseTarget } from '../common/targetChoice.js';
import { parseLoadWord } from '../common/targetState.js';
import type { CallerExchange, OwnAnswer } from './callerExchange.js';
import type { IForwarding } from './forwarding.js';
import { RequestBody } from './requestBody.js';
import { RequestEnd, RequestRecorder } from './requestRecorder.js';
import { TargetAgent } from './targetAgent.js';
import { TargetExchange } from './targetExchange.js';
import { TargetStates } from './targetStates.js';

const NEAR_CONNECT_TIMEOUT_MS = 400;
const FAR_CONNECT_TIMEOUT_MS = 600;
/** With less time left nothing is sent any more. */
const LEAST_TIME_MS = 20;
/** Connections that did not come up before a request is given up. */
const MAX_NO_CONNECTION = 4;
/** Targets that turned a request away before it is given up. */
const MAX_REFUSALS = 3;
const RETRY_SOON_MS = 100;
const DEMAND_INTERVAL_MS = 250;
const NO_CONFIGURATION_RETRY_MS = 500;
/** How many instances share the pace of one cold target; few, so that each part is a whole request. */
const COLD_SHARERS = 3;

/** An earlier attempt may have run: then nothing is certain any more. */
const IN_DOUBT = { status: 502, verdict: 'may-have-run' } as const;

/** One request on its way. */
interface Journey {
	readonly exchange: CallerExchange;
	readonly route: Route;
	readonly service: string;
	readonly body: RequestBody;
	readonly deadline: Millis;
	readonly tried: Set<string>;
	/** Targets that may have run the request. */
	arrivals: number;
	/** Targets that turned it away. */
	refusals: number;
	noConnections: number;
	readonly attempts: AttemptTrace[];
}

/** The requests of this instance. */
export class ForwardingTask extends Disposable implements IForwarding {
	private readonly _region: string;
	private readonly _name: string;
	private readonly _states: TargetStates;
	private readonly _agent = new TargetAgent();
	private readonly _allowances = new Map<string, RetryAllowance>();
	private readonly _recorder: RequestRecorder;
	private readonly _demand = new Map<string, DemandMeter>();
	private readonly _plans: PlacementPlans;
	private readonly _heldBytes: number;
	private readonly _largeAnswers: LargeAnswerGate;
	private readonly _droppedHeaders: ReadonlySet<string>;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IFleetSession private readonly _session: IFleetSession,
		@IHeaderNames private readonly _names: IHeaderNames,
		@IServiceBounds private readonly _bounds: IServiceBounds,
		@IMetricsService metrics: IMetricsService,
		@ILogService log: ILogService
	) {
		super();
		this._recorder = new RequestRecorder(metrics, log);
		const instance = settings.section<InstanceSettings>('instance');
		this._region = instance.region;
		this._name = instance.name;
		const { linkMbit } = settings.section<FrontSettings>('front');
		this._heldBytes = heldBytes(linkMbit);
		this._largeAnswers = new LargeAnswerGate(linkMbit);
		const regions = [...new Set(settings.section<PlaceSettings>('places').halls.values())];
		this._plans = new PlacementPlans(this._session.view, instance, regions);
		this._states = new TargetStates(this._session.view);
		this._droppedHeaders = new Set([this._names.remainingMs, this._names.expectedTarget]);
		this._register(toDisposable(() => this._agent.destroy()));
		const timer = setInterval(() => this._reportDemand(), DEMAND_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	async serve(exchange: CallerExchange): Promise<void> {
		const { routes } = this._session.view;
		if (!routes) {
			exchange.refuse(refusal(RefusalReason.NoConfiguration, NO_CONFIGURATION_RETRY_MS));
			return;
		}
		const route = routes.find(exchange.host, exchange.path);
		if (!route) {
			exchange.refuse({ status: 404, verdict: 'not-run', reason: 'no-route' });
			return;
		}
		let body: RequestBody;
		try {
			body = await RequestBody.read(exchange.request);
		} catch {
			return;
		}
		const service = chooseService(route, exchange.requestId, name => this._session.view.targetsOf(name).length > 0);
		this._demandOf(service, exchange.arrivedAt).noteRequest(exchange.arrivedAt);
		const journey: Journey = {
			exchange,
			route,
			service,
			body,
			deadline: exchange.arrivedAt + Math.min(exchange.remainingMs, route.timeoutMs),
			tried: new Set(),
			arrivals: 0,
			refusals: 0,
			noConnections: 0,
			attempts: []
		};
		if (this._admitsLarge(exchange, route)) {
			await this._travel(journey);
		} else {
			this._giveUp(journey, refusal(RefusalReason.LinkFull, RETRY_SOON_MS));
		}
		body.discardRest();
	}

	/** Keeps room on the link for a large answer until its caller has it. */
	private _admitsLarge(exchange: CallerExchange, route: Route): boolean {
		if (route.repeatRule !== RepeatRule.LargeAnswer) {
			return true;
		}
		const bytes = this._largeAnswers.admit(route);
		if (bytes === undefined) {
			return false;
		}
		exchange.whenClosed(() => this._largeAnswers.release(bytes));
		return true;
	}

	private async _travel(journey: Journey): Promise<void> {
		const { exchange } = journey;
		while (!exchange.hasLeft) {
			const now = systemClock.now();
			if (journey.deadline - now < LEAST_TIME_MS) {
				this._giveUp(journey, refusal(RefusalReason.DeadlinePassed, RETRY_SOON_MS));
				return;
			}
			const candidate = this._choose(journey, now);
			if (!candidate) {
				this._giveUp(journey, refusal(RefusalReason.NoCapacity, RETRY_SOON_MS));
				return;
			}
			const outcome = await this._attempt(journey, candidate);
			const answer = this._settle(journey, outcome);
			if (answer === 'again') {
				continue;
			}
			if (answer) {
				this._giveUp(journey, answer);
			}
			return;
		}
	}

	private _choose(journey: Journey, now: Millis): Candidate | undefined {
		const { route, service } = journey;
		const candidates = this._states.candidates(service, route.homeRegions, journey.tried, now);
		const chosen = this._newcomer(journey, candidates, now) ?? this._chooseKnown(journey, candidates, now);
		if (chosen && chosen.known.coldUntil > now) {
			chosen.state.takeColdToken(this._coldPace(chosen), now);
		}
		return chosen;
	}

	private _chooseKnown(journey: Journey, candidates: readonly Candidate[], now: Millis): Candidate | undefined {
		const { route, exchange, service } = journey;
		const isBound = route.isSticky && exchange.objectKey !== undefined;
		return chooseTarget(candidates, {
			objectKey: isBound ? `${route.pathPrefix} ${exchange.objectKey}` : undefined,
			...this._plans.planFor(service, route, now),
			now,
			mayUseCold: candidate => this._mayUseCold(candidate, now)
		});
	}

	/** A target that nobody may have asked yet; only a request that may run again goes there. */
	private _newcomer(journey: Journey, candidates: readonly Candidate[], now: Millis): Candidate | undefined {
		if (journey.route.repeatRule !== RepeatRule.Repeatable) {
			return undefined;
		}
		const { regionEntries } = this._session.view;
		return findNewcomer(
			candidates,
			this._region,
			this._name,
			regionEntries,
			candidate => candidate.known.coldUntil <= now || this._mayUseCold(candidate, now)
		);
	}

	private _mayUseCold(candidate: Candidate, now: Millis): boolean {
		return candidate.state.hasColdToken(this._coldPace(candidate), now);
	}

	private _demandOf(service: string, now: Millis): DemandMeter {
		let meter = this._demand.get(service);
		if (!meter) {
			meter = new DemandMeter(now);
			this._demand.set(service, meter);
		}
		return meter;
	}

	private _reportDemand(): void {
		const now = systemClock.now();
		const slots = [...this._demand].map(([service, meter]) => [service, meter.slots(now)] as const);
		this._session.setDemand(Object.fromEntries(slots));
	}

	/**
	 * This instance's part of a cold target's pace. A few instances of the target's own region share it, drawn by hash so
	 * that all agree.
	 */
	private _coldPace(candidate: Candidate): number {
		const { record, region } = candidate.known;
		if (region !== this._region) {
			return 0;
		}
		const perSecond = this._session.view.routes?.service(record.service)?.coldPerSecond ?? 0;
		const sharers = rendezvousRank(record.id, this._session.view.regionEntries).slice(0, COLD_SHARERS);
		return sharers.includes(this._name) ? perSecond / sharers.length : 0;
	}

	private async _attempt(journey: Journey, candidate: Candidate): Promise<AttemptOutcome> {
		const { exchange } = journey;
		const { known, state } = candidate;
		const [host, port] = known.record.address.split(':') as [string, string];
		const now = systemClock.now();
		const sent = new TargetExchange(this._agent, this._names, {
			requestId: exchange.requestId,
			host,
			port: Number(port),
			method: exchange.request.method ?? 'GET',
			path: exchange.path,
			rawHeaders: this._headersFor(journey, known.record.id, now),
			body: journey.body,
			connectTimeoutMs: known.region === this._region ? NEAR_CONNECT_TIMEOUT_MS : FAR_CONNECT_TIMEOUT_MS,
			heldBytes: this._heldBytes
		});
		journey.tried.add(known.record.id);
		if (journey.arrivals + journey.refusals === 0) {
			this._allowance(journey.service).noteFirstTry(now);
		}
		state.inFlight++;
		state.isUsed = true;
		const timer = setTimeout(() => sent.abandon(), Math.max(0, journey.deadline - now));
		exchange.whenLeft(() => sent.abandon());
		const trace: AttemptTrace = {
			target: known.record.id,
			region: known.region,
			atMs: Math.round(now - exchange.arrivedAt),
			load: Math.round(state.load(now) * 10) / 10,
			slots: known.record.slots,
			isCold: known.coldUntil > now,
			outcome: 'unknown',
			tookMs: 0
		};
		journey.attempts.push(trace);
		const outcome = await sent.outcome;
		trace.outcome = describeOutcome(outcome);
		trace.tookMs = Math.round(systemClock.now() - now);
		exchange.whenLeft(undefined);
		clearTimeout(timer);
		this._note(candidate, outcome, sent.answerHeaders?.[this._names.load]);
		if (outcome.type === 'answer') {
			this._demandOf(journey.service, now).noteAnswer(systemClock.now() - now);
			this._noteSize(journey.route, sent.answerHeaders?.['content-length']);
		}
		state.inFlight--;
		return outcome;
	}

	private _noteSize(route: Route, length: string | undefined): void {
		if (route.repeatRule === RepeatRule.LargeAnswer && length !== undefined) {
			this._largeAnswers.noteSize(route, Number(length));
		}
	}

	private _headersFor(journey: Journey, targetId: string, now: Millis): string[] {
		const headers = passedHeaders(journey.exchange.request.rawHeaders, this._droppedHeaders);
		const leftMs = Math.max(1, Math.floor(journey.deadline - now));
		headers.push(this._names.remainingMs, String(leftMs), this._names.expectedTarget, targetId);
		if (journey.exchange.request.headers['transfer-encoding'] !== undefined) {
			const { heldLength } = journey.body;
			const framing =
				heldLength === undefined ? ['Transfer-Encoding', 'chunked'] : ['Content-Length', String(heldLength)];
			headers.push(...framing);
		}
		return headers;
	}

	private _note(candidate: Candidate, outcome: AttemptOutcome, load: string | string[] | undefined): void {
		const now = systemClock.now();
		const word = parseLoadWord(typeof load === 'string' ? load : undefined);
		if (word) {
			candidate.state.takeLoadWord(word, now);
		}
		if (outcome.type === 'answer') {
			candidate.state.noteAnswer();
		} else if (outcome.type === 'not-run' && outcome.cause === NotRunCause.Full) {
			candidate.state.noteFull(now);
		} else if (outcome.type === 'not-run' && outcome.cause === NotRunCause.OtherTarget) {
			candidate.state.isReplaced = true;
		} else if (outcome.type === 'broken' || outcome.type === 'not-run') {
			candidate.state.noteFailure(now);
		}
	}

	/** Decides what follows an attempt: another one, an answer of the system's own, or nothing more. */
	private _settle(journey: Journey, outcome: AttemptOutcome): OwnAnswer | 'again' | undefined {
		switch (outcome.type) {
			case 'answer':
				journey.exchange.pass(outcome);
				this._record(journey, RequestEnd.Answered, outcome.status);
				return undefined;
			case 'abandoned':
				return outcome.mayHaveRun
					? { status: 504, verdict: 'may-have-run', reason: RefusalReason.DeadlinePassed }
					: refusal(RefusalReason.DeadlinePassed, RETRY_SOON_MS);
			case 'not-run':
				return this._afterNotRun(journey, outcome);
			case 'broken':
				journey.arrivals++;
				if (journey.route.repeatRule === RepeatRule.AtMostOnce || !this._mayRetry(journey)) {
					return { status: 502, verdict: 'may-have-run', reason: RefusalReason.TargetFailed };
				}
				return 'again';
		}
	}

	private _afterNotRun(journey: Journey, outcome: NotRun): OwnAnswer | 'again' {
		if (!outcome.hasArrived) {
			journey.noConnections++;
			return journey.noConnections < MAX_NO_CONNECTION ? 'again' : refusal(RefusalReason.TargetFailed, RETRY_SOON_MS);
		}
		journey.refusals++;
		return this._mayRetry(journey) ? 'again' : refusal(RefusalReason.NoCapacity, RETRY_SOON_MS);
	}

	private _mayRetry(journey: Journey): boolean {
		return (
			journey.arrivals < journey.route.attempts &&
			journey.refusals < MAX_REFUSALS &&
			journey.body.isAvailable &&
			this._allowance(journey.service).take(this._session.view.entryCount, systemClock.now())
		);
	}

	private _allowance(service: string): RetryAllowance {
		let allowance = this._allowances.get(service);
		if (!allowance) {
			allowance = new RetryAllowance(this._bounds.retries);
			this._allowances.set(service, allowance);
		}
		return allowance;
	}

	private _giveUp(journey: Journey, answer: OwnAnswer): void {
		const { exchange } = journey;
		const honest = journey.arrivals > 0 && answer.verdict === 'not-run' ? { ...answer, ...IN_DOUBT } : answer;
		exchange.refuse(honest);
		this._record(journey, exchange.hasLeft ? RequestEnd.CallerLeft : endOf(honest), honest.status, honest.reason);
	}

	private _record(journey: Journey, end: RequestEnd, status?: number, reason?: string): void {
		const { exchange, route, service, attempts } = journey;
		const tableVersion = this._session.view.routes?.table.version;
		const viewAgeMs = this._session.ageMs();
		this._recorder.record({ exchange, route, service, end, status, reason, attempts, viewAgeMs, tableVersion });
	}
}

function describeOutcome(outcome: AttemptOutcome): string {
	switch (outcome.type) {
		case 'answer':
			return `answer: ${outcome.status}`;
		case 'not-run':
		case 'broken':
			return `${outcome.type}: ${outcome.cause}`;
		case 'abandoned':
			return outcome.type;
	}
}

function endOf(answer: OwnAnswer): RequestEnd {
	if (answer.verdict === 'not-run') {
		return RequestEnd.Refused;
	}
	return answer.reason === RefusalReason.DeadlinePassed ? RequestEnd.TimeOver : RequestEnd.Broken;
}

function refusal(reason: RefusalReason, retryAfterMs: Millis): OwnAnswer {
	return { status: 503, verdict: 'not-run', reason, retryAfterMs };
}
