/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Forwards callers' requests to targets: creates what that needs, and counts and ends each request. */

import { type Millis, systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { RefusalReason } from '../../../base/verdict.js';
import { IBodyAccount } from '../../../kernel/common/bodyAccount.js';
import type { InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IReturnTimes, SHORT_RETRY_AFTER_MS } from '../../admission/common/returnTimes.js';
import { IShortageAdmission } from '../../admission/common/shortageAdmission.js';
import { IShortageSettings } from '../../admission/common/shortageSettings.js';
import { PaceShare } from '../../fleet/common/paceShare.js';
import type { PlaceSettings } from '../../fleet/common/placeSettings.js';
import { IFleetSession } from '../../fleet/common/fleetSession.js';
import { ITargetLimits } from '../../limits/common/targetLimits.js';
import { ITeamLimits } from '../../limits/common/teamLimits.js';
import { OutcomeTracker } from '../../placement/common/outcomeTracker.js';
import { TargetSelector } from '../../placement/common/targetSelector.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import { DrainGuard } from '../common/drainGuard.js';
import type { FrontSettings } from '../common/frontSettings.js';
import { IHeaderNames } from '../common/headerNames.js';
import { LargeResponseLimiter } from '../common/largeResponseLimiter.js';
import { IServiceBounds } from '../common/serviceBounds.js';
import { AttemptSender } from './attemptSender.js';
import type { CallerExchange } from './callerExchange.js';
import type { IForwarding, RelayOrigin } from './forwarding.js';
import { LostRunDetector } from './lostRunDetector.js';
import { PartitionMonitor } from './partitionMonitor.js';
import { QuarantineGuard } from './quarantineGuard.js';
import { registerRegionPlanMetrics } from './regionPlanMetrics.js';
import { RegionTrafficMonitor } from './regionTrafficMonitor.js';
import { RelayClient } from './relay/relayClient.js';
import { RequestCompletion } from './requestCompletion.js';
import { drainRequestOf, type RequestContext, unavailableResponse } from './requestContext.js';
import { RequestForwarder } from './requestForwarder.js';
import { RequestIntake } from './requestIntake.js';
import { RequestRecorder } from './requestRecorder.js';
import { RetryMonitor } from './retryMonitor.js';
import { RetryPolicy } from './retryPolicy.js';
import { BackoffMonitor } from './targets/backoffMonitor.js';
import { LimitMonitor } from './targets/limitMonitor.js';
import { registerWorkTimeMetrics } from './targets/workTimeMetrics.js';

const DEMAND_REPORT_INTERVAL_MS = 250;

/** Forwards all callers' requests of this instance. */
export class ForwardingTask extends Disposable implements IForwarding {
	private readonly _outcomeTracker: OutcomeTracker;
	private readonly _selector: TargetSelector;
	private readonly _largeResponseLimiter: LargeResponseLimiter;
	private readonly _intake: RequestIntake;
	private readonly _completion: RequestCompletion;
	private readonly _forwarder: RequestForwarder;
	private readonly _retryPolicy: RetryPolicy;
	private readonly _partitionMonitor: PartitionMonitor;
	private readonly _relayClient: RelayClient;
	private readonly _drainGuard = new DrainGuard(systemClock.now());

	constructor(
		@ISettingsService settings: ISettingsService,
		@IFleetSession private readonly _session: IFleetSession,
		@IHeaderNames headerNames: IHeaderNames,
		@IServiceBounds private readonly _serviceBounds: IServiceBounds,
		@ITeamLimits private readonly _teamLimits: ITeamLimits,
		@ITargetLimits targetLimits: ITargetLimits,
		@IShortageAdmission admission: IShortageAdmission,
		@IReturnTimes returnTimes: IReturnTimes,
		@IShortageSettings shortageSettings: IShortageSettings,
		@IBodyAccount bodyAccount: IBodyAccount,
		@IMetricsService metrics: IMetricsService,
		@ILogService log: ILogService
	) {
		super();
		this._outcomeTracker = new OutcomeTracker(shortageSettings.isRanked);
		this._intake = new RequestIntake(this._session.view, bodyAccount);
		this._completion = new RequestCompletion(this._session, new RequestRecorder(metrics, log));
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
			targetLimits,
			{
				workProfile: this._outcomeTracker.profile,
				unevenLoad: this._outcomeTracker,
				isRanked: shortageSettings.isRanked
			}
		);
		registerRegionPlanMetrics(metrics, () => this._selector.regionPlans());
		registerWorkTimeMetrics(metrics, now => this._selector.factorsByService(now));
		const { onDidShiftFromLostTargets } = this._selector;
		const regionTrafficMonitor = this._register(
			new RegionTrafficMonitor(_session, log, this._serviceBounds.shifts.windowMs, onDidShiftFromLostTargets)
		);
		this._partitionMonitor = this._register(new PartitionMonitor(_session.view, log, metrics));
		this._register(this._partitionMonitor.onDidChange(isPartitioned => this._onPartitionChange(isPartitioned)));
		this._relayClient = this._register(
			new RelayClient({
				region: instance.region,
				linkMbit,
				view: _session.view,
				headerNames,
				completion: this._completion,
				metrics
			})
		);
		const lostRunDetector = this._register(
			new LostRunDetector(metrics, log, (target, lostAt) => this._partitionMonitor.confirmsLoss(target, lostAt))
		);
		const quarantineGuard = this._register(new QuarantineGuard(_session, lostRunDetector));
		this._retryPolicy = new RetryPolicy(_session.view, this._selector, quarantineGuard, returnTimes, _serviceBounds);
		const attemptSender = this._register(
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
				limits: targetLimits,
				limitMonitor: this._register(new LimitMonitor(metrics, log, targetLimits)),
				partitionMonitor: this._partitionMonitor,
				retryMonitor: this._register(new RetryMonitor(metrics, log))
			})
		);
		this._forwarder = new RequestForwarder({
			intake: this._intake,
			admission,
			returnTimes,
			teamLimits: this._teamLimits,
			targetLimits,
			quarantineGuard,
			selector: this._selector,
			attemptSender,
			retryPolicy: this._retryPolicy,
			completion: this._completion,
			relayClient: this._relayClient,
			drainGuard: this._drainGuard
		});
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

	get isPartitioned(): boolean {
		return this._partitionMonitor.isPartitioned;
	}

	async serve(exchange: CallerExchange, origin?: RelayOrigin): Promise<void> {
		const accepted = await this._intake.accept(exchange, origin);
		if (!accepted) {
			return;
		}
		if (!('route' in accepted)) {
			exchange.refuse(accepted);
			return;
		}
		if (!this._drainGuard.mayPassOn(drainRequestOf(accepted), systemClock.now())) {
			this._refuse(accepted, RefusalReason.Draining);
		} else if (!this._admitLargeResponse(exchange, accepted.route)) {
			this._refuse(accepted, RefusalReason.LinkFull);
		} else if (!accepted.isRelayed && (this.isPartitioned || this._relayClient.isAhead)) {
			await this._relay(accepted);
		} else {
			await this._forward(accepted);
		}
		accepted.body.discardRest();
	}

	beginDrain(endsAt: Millis): void {
		this._drainGuard.beginDrain(endsAt);
	}

	/** Has the request served by another entry instance, since this one cannot. */
	private async _relay(context: RequestContext): Promise<void> {
		if (await this._relayClient.relay(context)) {
			return;
		}
		if (this.isPartitioned) {
			this._refuse(context, RefusalReason.TargetsUnreachable);
		} else {
			await this._forward(context);
		}
	}

	private async _forward(context: RequestContext): Promise<void> {
		const { exchange, route, service, team } = context;
		this._outcomeTracker.recordRequest(service, systemClock.now(), route.name);
		if (!context.isCounted) {
			context.isCounted = true;
			this._retryPolicy.retryBudgetOf(service).recordFirstAttempt(exchange.arrivedAt);
		}
		await this._forwarder.forward(context);
		this._retryPolicy.giveBackRetry(context);
		if (team?.limit && context.hasTeamPermit) {
			this._teamLimits.giveBack(team, exchange.arrivedAt);
		}
	}

	private _refuse(context: RequestContext, reason: RefusalReason): void {
		this._completion.finishWithLocalResponse(context, unavailableResponse(reason, SHORT_RETRY_AFTER_MS));
	}

	/** Tells control, and afterwards forgets what failed links made of the targets. */
	private _onPartitionChange(isPartitioned: boolean): void {
		this._session.setPartitioned(isPartitioned);
		if (!isPartitioned) {
			this._selector.forgetFailures();
		}
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
}
