/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Carries the requests of callers to targets: chooses, sends, tries again where that is allowed, and answers. */

import { systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { RefusalReason } from '../../../base/verdict.js';
import type { InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { PaceShare } from '../../fleet/common/paceShare.js';
import type { PlaceSettings } from '../../fleet/common/placeSettings.js';
import { IFleetSession } from '../../fleet/common/fleetSession.js';
import { QuarantinePhase } from '../../fleet/common/quarantineTypes.js';
import { type IPermit, ITargetLimits } from '../../limits/common/targetLimits.js';
import { ITeamLimits, LimitVerdict } from '../../limits/common/teamLimits.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import { accessOf } from '../../routes/common/teamAccess.js';
import type { TargetAnswer } from '../common/attempt.js';
import type { FrontSettings } from '../common/frontSettings.js';
import { IHeaderNames } from '../common/headerNames.js';
import { LargeAnswerGate } from '../common/largeAnswerGate.js';
import { chooseService } from '../common/placement/partChoice.js';
import type { ChosenTarget } from '../common/placement/targetChoice.js';
import { IServiceBounds } from '../common/serviceBounds.js';
import type { CallerExchange, OwnAnswer } from './callerExchange.js';
import type { IForwarding } from './forwarding.js';
import { AttemptSender } from './attemptSender.js';
import { denial, endOf, type Journey, limitRefusal, quarantineRefusal, refusal } from './journey.js';
import { FollowUp, RETRY_SOON_MS } from './followUp.js';
import { LostRunWatch } from './lostRunWatch.js';
import { LimitWatch } from './targets/limitWatch.js';
import { OutcomeNotes } from './targets/outcomeNotes.js';
import { QuarantineGuard } from './quarantineGuard.js';
import { RegionWatch } from './placement/regionWatch.js';
import { RequestBody } from './requestBody.js';
import { RequestEnd, RequestRecorder } from './requestRecorder.js';
import { RestWatch } from './targets/restWatch.js';
import { TargetSelector } from './placement/targetSelector.js';

/** With less time left nothing is sent any more. */
const LEAST_TIME_MS = 20;
const DEMAND_INTERVAL_MS = 250;
const NO_CONFIGURATION_RETRY_MS = 500;

/** An earlier attempt may have run: then nothing is certain any more. */
const IN_DOUBT = { status: 502, verdict: 'may-have-run' } as const;

/** The requests of this instance. */
export class ForwardingTask extends Disposable implements IForwarding {
	private readonly _recorder: RequestRecorder;
	private readonly _notes = new OutcomeNotes();
	private readonly _selector: TargetSelector;
	private readonly _largeAnswers: LargeAnswerGate;
	private readonly _sender: AttemptSender;
	private readonly _quarantine: QuarantineGuard;
	private readonly _followUp: FollowUp;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IFleetSession private readonly _session: IFleetSession,
		@IHeaderNames names: IHeaderNames,
		@IServiceBounds private readonly _bounds: IServiceBounds,
		@ITeamLimits private readonly _limits: ITeamLimits,
		@ITargetLimits private readonly _targetLimits: ITargetLimits,
		@IMetricsService metrics: IMetricsService,
		@ILogService log: ILogService
	) {
		super();
		this._recorder = new RequestRecorder(metrics, log);
		const instance = settings.section<InstanceSettings>('instance');
		const { linkMbit } = settings.section<FrontSettings>('front');
		this._largeAnswers = new LargeAnswerGate(linkMbit);
		const regions = [...new Set(settings.section<PlaceSettings>('places').halls.values())];
		const share = new PaceShare(instance.name, () => this._session.ageMs());
		this._selector = new TargetSelector(
			this._session.view,
			instance,
			regions,
			this._bounds.shifts,
			share,
			this._targetLimits
		);
		const { onDidStepFar } = this._selector;
		const watch = this._register(new RegionWatch(_session, log, this._bounds.shifts.windowMs, onDidStepFar));
		const lostRuns = this._register(new LostRunWatch(metrics, log));
		this._quarantine = this._register(new QuarantineGuard(_session, lostRuns));
		this._followUp = new FollowUp(_session.view, this._selector, this._quarantine, _bounds);
		this._sender = this._register(
			new AttemptSender({
				region: instance.region,
				linkMbit,
				names,
				notes: this._notes,
				watch,
				largeAnswers: this._largeAnswers,
				view: _session.view,
				lostRuns,
				rests: new RestWatch(metrics, log, now => this._selector.restingByService(now)),
				limits: this._targetLimits,
				limitWatch: this._register(new LimitWatch(metrics, log, this._targetLimits))
			})
		);
		const timer = setInterval(() => this._tellNeeds(), DEMAND_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	private _tellNeeds(): void {
		const now = systemClock.now();
		this._session.setDemand(this._notes.slotsNeeded(now));
		this._session.addNeeds(this._selector.takeNeeds(service => this._notes.typicalMs(service, now)));
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
		const access = accessOf(routes, route, exchange.keyDigest);
		if (!access.isGranted) {
			exchange.refuse(denial(access));
			return;
		}
		let body: RequestBody;
		try {
			body = await RequestBody.read(exchange.request);
		} catch {
			return;
		}
		const service = chooseService(route, exchange.requestId);
		this._notes.noteRequest(service, exchange.arrivedAt);
		this._followUp.allowance(service).noteFirstTry(exchange.arrivedAt);
		const journey: Journey = {
			exchange,
			route,
			homeRegions: access.homeRegions,
			team: access.team,
			service,
			body,
			deadline: exchange.arrivedAt + Math.min(exchange.remainingMs, route.timeoutMs),
			tried: new Set(),
			hasLeave: access.team?.limit === undefined,
			arrivals: 0,
			refusals: 0,
			noConnections: 0,
			permitsDenied: 0,
			attempts: [],
			phase: QuarantinePhase.Clear
		};
		if (this._admitsLarge(exchange, route)) {
			await this._travel(journey);
		} else {
			this._giveUp(journey, refusal(RefusalReason.LinkFull, RETRY_SOON_MS));
		}
		if (access.team?.limit && journey.hasLeave) {
			this._limits.giveBack(access.team);
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
			const denied = this._deniedNow(journey);
			if (denied) {
				this._giveUp(journey, denied);
				return;
			}
			const beyond = await this._takeLeave(journey);
			if (beyond) {
				this._giveUp(journey, beyond);
				return;
			}
			if (exchange.hasLeft) {
				return;
			}
			journey.phase = this._quarantine.phase(journey);
			if (journey.phase === QuarantinePhase.Quarantined) {
				this._giveUp(journey, quarantineRefusal());
				return;
			}
			const candidate = this._selector.choose(journey, systemClock.now());
			if (!candidate) {
				this._giveUp(journey, this._followUp.noTarget(journey));
				return;
			}
			const permit = await this._takePermit(journey, candidate);
			if (permit === 'none') {
				continue;
			}
			const outcome = await this._sender.send(journey, candidate, permit);
			this._quarantine.noteOutcome(journey, outcome);
			const next = this._followUp.after(journey, outcome);
			if (next === 'again') {
				continue;
			}
			if (next !== 'pass') {
				this._giveUp(journey, next);
			} else if (outcome.type === 'answer') {
				this._pass(journey, outcome);
			}
			return;
		}
	}

	/**
	 * Takes leave of the team's limit for one target that may run the request; what a target certainly did not run needs none.
	 * @returns the answer for a request beyond the limit; undefined for one within it
	 */
	private async _takeLeave(journey: Journey): Promise<OwnAnswer | undefined> {
		if (journey.hasLeave || !journey.team) {
			return undefined;
		}
		const leave = await this._limits.admit(journey.team);
		journey.hasLeave = leave.verdict === LimitVerdict.Admitted;
		return journey.hasLeave ? undefined : limitRefusal(leave);
	}

	/** Takes a permit within the limit of a target; undefined where it has none, so that none is needed. */
	private async _takePermit(journey: Journey, { known }: ChosenTarget): Promise<IPermit | 'none' | undefined> {
		if (this._targetLimits.perSecond(known.record, systemClock.now()) === undefined) {
			return undefined;
		}
		const permit = await this._targetLimits.take(known.record);
		journey.permitsDenied += permit ? 0 : 1;
		return permit ?? 'none';
	}

	/** A key may be taken away while its requests wait for another try; undefined where it still holds. */
	private _deniedNow({ route, exchange }: Journey): OwnAnswer | undefined {
		const { routes } = this._session.view;
		const access = routes && accessOf(routes, route, exchange.keyDigest);
		return access && !access.isGranted ? denial(access) : undefined;
	}

	private _pass(journey: Journey, answer: TargetAnswer): void {
		journey.exchange.pass(answer);
		this._record(journey, RequestEnd.Answered, answer.status);
	}

	private _giveUp(journey: Journey, answer: OwnAnswer): void {
		const { exchange, failure } = journey;
		if (failure && !exchange.hasLeft) {
			this._pass(journey, failure);
			return;
		}
		const honest = journey.arrivals > 0 && answer.verdict === 'not-run' ? { ...answer, ...IN_DOUBT } : answer;
		exchange.refuse(honest);
		this._record(journey, exchange.hasLeft ? RequestEnd.CallerLeft : endOf(honest), honest.status, honest.reason);
	}

	private _record(journey: Journey, end: RequestEnd, status?: number, reason?: string): void {
		const { exchange, route, service, team, attempts } = journey;
		const tableVersion = this._session.view.routes?.table.version;
		const viewAgeMs = this._session.ageMs();
		this._recorder.record({
			exchange,
			route,
			service,
			team: team?.name,
			end,
			status,
			reason,
			attempts,
			viewAgeMs,
			tableVersion
		});
	}
}
