/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Forwards callers' requests to targets: checks access and limits, selects a target, sends, retries where allowed, and responds. */

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
import { checkAccess } from '../../routes/common/teamAccess.js';
import type { TargetResponse } from '../common/attempt.js';
import type { FrontSettings } from '../common/frontSettings.js';
import { IHeaderNames } from '../common/headerNames.js';
import { LargeResponseLimiter } from '../common/largeResponseLimiter.js';
import { chooseService } from '../../placement/common/weightedServiceChoice.js';
import type { ChosenTarget } from '../../placement/common/targetChoice.js';
import { IServiceBounds } from '../common/serviceBounds.js';
import type { CallerExchange, LocalResponse } from './callerExchange.js';
import type { IForwarding } from './forwarding.js';
import { AttemptSender } from './attemptSender.js';
import {
	accessDeniedResponse,
	requestEndOf,
	type RequestContext,
	teamLimitResponse,
	quarantinedResponse,
	unavailableResponse
} from './requestContext.js';
import { RetryPolicy, SHORT_RETRY_AFTER_MS } from './retryPolicy.js';
import { LostRunDetector } from './lostRunDetector.js';
import { LimitMonitor } from './targets/limitMonitor.js';
import { OutcomeTracker } from '../../placement/common/outcomeTracker.js';
import { QuarantineGuard } from './quarantineGuard.js';
import { RegionTrafficMonitor } from './regionTrafficMonitor.js';
import { RequestBody } from './requestBody.js';
import { RequestEnd, RequestRecorder } from './requestRecorder.js';
import { BackoffMonitor } from './targets/backoffMonitor.js';
import { TargetSelector } from '../../placement/common/targetSelector.js';

/** No attempt is started with less time than this left before the deadline. */
const MIN_REMAINING_MS = 20;
const DEMAND_REPORT_INTERVAL_MS = 250;
const NO_CONFIGURATION_RETRY_AFTER_MS = 500;

/** Replaces status and verdict of a `not-run` response when an earlier attempt may have run. */
const MAY_HAVE_RUN = { status: 502, verdict: 'may-have-run' } as const;

/** Forwards all callers' requests of this instance. */
export class ForwardingTask extends Disposable implements IForwarding {
	private readonly _recorder: RequestRecorder;
	private readonly _outcomeTracker = new OutcomeTracker();
	private readonly _selector: TargetSelector;
	private readonly _largeResponseLimiter: LargeResponseLimiter;
	private readonly _attemptSender: AttemptSender;
	private readonly _quarantineGuard: QuarantineGuard;
	private readonly _retryPolicy: RetryPolicy;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IFleetSession private readonly _session: IFleetSession,
		@IHeaderNames headerNames: IHeaderNames,
		@IServiceBounds private readonly _serviceBounds: IServiceBounds,
		@ITeamLimits private readonly _teamLimits: ITeamLimits,
		@ITargetLimits private readonly _targetLimits: ITargetLimits,
		@IMetricsService metrics: IMetricsService,
		@ILogService log: ILogService
	) {
		super();
		this._recorder = new RequestRecorder(metrics, log);
		const instance = settings.section<InstanceSettings>('instance');
		const { linkMbit } = settings.section<FrontSettings>('front');
		this._largeResponseLimiter = new LargeResponseLimiter(linkMbit);
		const regions = [...new Set(settings.section<PlaceSettings>('places').halls.values())];
		const share = new PaceShare(instance.name, () => this._session.ageMs());
		this._selector = new TargetSelector(
			this._session.view,
			instance,
			regions,
			this._serviceBounds.shifts,
			share,
			this._targetLimits
		);
		const { onDidShiftFromLostTargets } = this._selector;
		const regionTrafficMonitor = this._register(
			new RegionTrafficMonitor(_session, log, this._serviceBounds.shifts.windowMs, onDidShiftFromLostTargets)
		);
		const lostRunDetector = this._register(new LostRunDetector(metrics, log));
		this._quarantineGuard = this._register(new QuarantineGuard(_session, lostRunDetector));
		this._retryPolicy = new RetryPolicy(_session.view, this._selector, this._quarantineGuard, _serviceBounds);
		this._attemptSender = this._register(
			new AttemptSender({
				region: instance.region,
				linkMbit,
				headerNames,
				outcomeTracker: this._outcomeTracker,
				regionTrafficMonitor,
				largeResponseLimiter: this._largeResponseLimiter,
				view: _session.view,
				lostRunDetector,
				backoffMonitor: new BackoffMonitor(metrics, log, now => this._selector.backedOffByService(now)),
				limits: this._targetLimits,
				limitMonitor: this._register(new LimitMonitor(metrics, log, this._targetLimits))
			})
		);
		const timer = setInterval(() => this._reportDemand(), DEMAND_REPORT_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	private _reportDemand(): void {
		const now = systemClock.now();
		this._session.setDemand(this._outcomeTracker.slotsNeeded(now));
		this._session.addRequestedWork(
			this._selector.takeRequestedWork(service => this._outcomeTracker.serviceTimeMs(service, now))
		);
	}

	async serve(exchange: CallerExchange): Promise<void> {
		const { routes } = this._session.view;
		if (!routes) {
			exchange.sendLocalResponse(unavailableResponse(RefusalReason.NoConfiguration, NO_CONFIGURATION_RETRY_AFTER_MS));
			return;
		}
		const route = routes.find(exchange.host, exchange.path);
		if (!route) {
			exchange.sendLocalResponse({ status: 404, verdict: 'not-run', reason: 'no-route' });
			return;
		}
		const access = checkAccess(routes, route, exchange.keyDigest);
		if (!access.isGranted) {
			exchange.sendLocalResponse(accessDeniedResponse(access));
			return;
		}
		let body: RequestBody;
		try {
			body = await RequestBody.read(exchange.request);
		} catch {
			return;
		}
		const service = chooseService(route, exchange.requestId);
		this._outcomeTracker.recordRequest(service, exchange.arrivedAt);
		this._retryPolicy.retryBudgetOf(service).recordFirstAttempt(exchange.arrivedAt);
		const context: RequestContext = {
			exchange,
			route,
			homeRegions: access.homeRegions,
			team: access.team,
			service,
			body,
			deadline: exchange.arrivedAt + Math.min(exchange.remainingMs, route.timeoutMs),
			tried: new Set(),
			hasTeamPermit: access.team?.limit === undefined,
			possibleRuns: 0,
			refusals: 0,
			connectFailures: 0,
			permitsDenied: 0,
			attempts: [],
			phase: QuarantinePhase.Clear
		};
		if (this._admitLargeResponse(exchange, route)) {
			await this._forward(context);
		} else {
			this._finishWithLocalResponse(context, unavailableResponse(RefusalReason.LinkFull, SHORT_RETRY_AFTER_MS));
		}
		if (access.team?.limit && context.hasTeamPermit) {
			this._teamLimits.giveBack(access.team);
		}
		body.discardRest();
	}

	/**
	 * Reserves link bandwidth for a large response until the exchange closes; routes without large responses are always admitted.
	 * @returns false where the link has no bandwidth left for it
	 */
	private _admitLargeResponse(exchange: CallerExchange, route: Route): boolean {
		if (route.repeatRule !== RepeatRule.LargeResponse) {
			return true;
		}
		const bytes = this._largeResponseLimiter.tryAdmit(route);
		if (bytes === undefined) {
			return false;
		}
		exchange.setCloseHandler(() => this._largeResponseLimiter.release(bytes));
		return true;
	}

	private async _forward(context: RequestContext): Promise<void> {
		const { exchange } = context;
		while (!exchange.isDisconnected) {
			const now = systemClock.now();
			if (context.deadline - now < MIN_REMAINING_MS) {
				this._finishWithLocalResponse(context, unavailableResponse(RefusalReason.DeadlinePassed, SHORT_RETRY_AFTER_MS));
				return;
			}
			const accessDenied = this._recheckAccess(context);
			if (accessDenied) {
				this._finishWithLocalResponse(context, accessDenied);
				return;
			}
			const limitExceeded = await this._acquireTeamPermit(context);
			if (limitExceeded) {
				this._finishWithLocalResponse(context, limitExceeded);
				return;
			}
			if (exchange.isDisconnected) {
				return;
			}
			context.phase = this._quarantineGuard.phase(context);
			if (context.phase === QuarantinePhase.Quarantined) {
				this._finishWithLocalResponse(context, quarantinedResponse());
				return;
			}
			const candidate = this._selector.choose(context, systemClock.now());
			if (!candidate) {
				this._finishWithLocalResponse(context, this._retryPolicy.noTargetResponse(context));
				return;
			}
			const permit = await this._acquireTargetPermit(context, candidate);
			if (permit === 'none') {
				continue;
			}
			const outcome = await this._attemptSender.send(context, candidate, permit);
			this._quarantineGuard.recordOutcome(context, outcome);
			const decision = this._retryPolicy.decide(context, outcome);
			if (decision === 'again') {
				continue;
			}
			if (decision !== 'pass') {
				this._finishWithLocalResponse(context, decision);
			} else if (outcome.type === 'answer') {
				this._finishWithTargetResponse(context, outcome);
			}
			return;
		}
	}

	/**
	 * Takes a permit from the team's rate limit. One permit covers one attempt that may have run; attempts that certainly did not run
	 * leave it unused.
	 * @returns the response that refuses the request where no permit was granted; otherwise undefined
	 */
	private async _acquireTeamPermit(context: RequestContext): Promise<LocalResponse | undefined> {
		if (context.hasTeamPermit || !context.team) {
			return undefined;
		}
		const admission = await this._teamLimits.admit(context.team);
		context.hasTeamPermit = admission.verdict === LimitVerdict.Admitted;
		return context.hasTeamPermit ? undefined : teamLimitResponse(admission);
	}

	/** Takes a permit from the target's rate limit; undefined where the target has no limit, `'none'` where no permit is available. */
	private async _acquireTargetPermit(
		context: RequestContext,
		{ known }: ChosenTarget
	): Promise<IPermit | 'none' | undefined> {
		if (this._targetLimits.perSecond(known.record, systemClock.now()) === undefined) {
			return undefined;
		}
		const permit = await this._targetLimits.acquirePermit(known.record);
		context.permitsDenied += permit ? 0 : 1;
		return permit ?? 'none';
	}

	/** Checks access again before each attempt, since a key can be revoked between attempts; undefined where access is still granted. */
	private _recheckAccess({ route, exchange }: RequestContext): LocalResponse | undefined {
		const { routes } = this._session.view;
		const access = routes && checkAccess(routes, route, exchange.keyDigest);
		return access && !access.isGranted ? accessDeniedResponse(access) : undefined;
	}

	private _finishWithTargetResponse(context: RequestContext, response: TargetResponse): void {
		context.exchange.forwardResponse(response);
		this._record(context, RequestEnd.Answered, response.status);
	}

	/** Ends the request without a further attempt; a server error that a target returned earlier goes before the local response. */
	private _finishWithLocalResponse(context: RequestContext, response: LocalResponse): void {
		const { exchange, errorResponse } = context;
		if (errorResponse && !exchange.isDisconnected) {
			this._finishWithTargetResponse(context, errorResponse);
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
