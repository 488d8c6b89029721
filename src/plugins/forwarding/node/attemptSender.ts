/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Sends a request to a selected target and records the outcome for the target, the service and the request. */

import { type Millis, systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { RepeatRule, type Route } from '../../routes/common/routeTable.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import { LimitChange } from '../../limits/common/targetLimit.js';
import type { IPermit, ITargetLimits, TargetLimitEvent } from '../../limits/common/targetLimits.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import { type AttemptOutcome, NotRunCause } from '../common/attempt.js';
import type { IHeaderNames } from '../common/headerNames.js';
import type { LargeResponseLimiter } from '../common/largeResponseLimiter.js';
import { connectTimeoutMs, maxBufferedBytes } from '../common/linkPacer.js';
import type { AttemptTrace } from '../common/requestTrace.js';
import type { ChosenTarget } from '../../placement/common/targetChoice.js';
import type { TargetReport } from '../../placement/common/targets/targetReport.js';
import { describeOutcome, mayHaveRun, outcomeLabels, type RequestContext } from './requestContext.js';
import type { LostRunDetector } from './lostRunDetector.js';
import type { LimitMonitor } from './targets/limitMonitor.js';
import type { OutcomeTracker } from '../../placement/common/outcomeTracker.js';
import type { PartitionMonitor } from './partitionMonitor.js';
import type { RegionTrafficMonitor } from './regionTrafficMonitor.js';
import { AttemptCoverage, type RetryMonitor } from './retryMonitor.js';
import type { BackoffMonitor } from './targets/backoffMonitor.js';
import { TargetAgent } from './targets/targetAgent.js';
import { TargetExchange, type CancelCause } from './targetExchange.js';
import { TargetHeaders } from './targetHeaders.js';

/** Connect timeouts on an idle link; time for bytes queued on the link is added. */
const SAME_REGION_CONNECT_MS = 250;
const CROSS_REGION_CONNECT_MS = 500;

function notSent(cause: NotRunCause): AttemptOutcome {
	return { type: 'not-run', hasArrived: false, cause };
}

/** Settings and services that attempts use. */
export interface AttemptSenderDependencies {
	readonly region: string;
	/** Bandwidth of the network link of this instance, in one direction. */
	readonly linkMbit: number;
	readonly headerNames: IHeaderNames;
	readonly outcomeTracker: OutcomeTracker;
	readonly regionTrafficMonitor: RegionTrafficMonitor;
	readonly largeResponseLimiter: LargeResponseLimiter;
	readonly view: FleetView;
	readonly lostRunDetector: LostRunDetector;
	readonly backoffMonitor: BackoffMonitor;
	readonly limits: ITargetLimits;
	readonly limitMonitor: LimitMonitor;
	readonly partitionMonitor: PartitionMonitor;
	readonly retryMonitor: RetryMonitor;
}

/** Runs the attempts of this instance and owns the connections to targets. */
export class AttemptSender extends Disposable {
	private readonly _agent = new TargetAgent();
	private readonly _headers: TargetHeaders;
	/** Attempts without an outcome yet, with the target record (id and start time) that they were sent to. */
	private readonly _inFlight = new Map<TargetExchange, TargetRecord>();
	private readonly _maxBufferedBytes: number;
	private readonly _sameRegionConnectMs: Millis;
	private readonly _crossRegionConnectMs: Millis;

	constructor(private readonly _dependencies: AttemptSenderDependencies) {
		super();
		const { linkMbit, headerNames } = _dependencies;
		this._headers = new TargetHeaders(headerNames);
		this._maxBufferedBytes = maxBufferedBytes(linkMbit);
		this._sameRegionConnectMs = connectTimeoutMs(linkMbit, SAME_REGION_CONNECT_MS);
		this._crossRegionConnectMs = connectTimeoutMs(linkMbit, CROSS_REGION_CONNECT_MS);
		this._register(toDisposable(() => this._agent.destroy()));
		this._register(_dependencies.view.onDidRestartTarget(earlier => this._failInFlightTo(earlier)));
		this._register(_dependencies.limits.onDidChange(event => this._onLimitChange(event)));
	}

	/**
	 * Makes one attempt at one target; never rejects. Nothing is sent, and the outcome is `not-run`, where the target is in
	 * backoff, has a rate limit and no permit is given, or has no connection left for this instance.
	 * @param permit permit within the target's rate limit, given back when nothing was written; undefined for none
	 */
	async send(context: RequestContext, candidate: ChosenTarget, permit: IPermit | undefined): Promise<AttemptOutcome> {
		const { exchange } = context;
		const { known, state } = candidate;
		const now = systemClock.now();
		context.tried.add(known.record.id);
		const blockingCause = this._blockingCause(context, candidate, permit, now);
		if (blockingCause !== undefined) {
			permit?.giveBack();
			return notSent(blockingCause);
		}
		this._dependencies.backoffMonitor.recordSendStart(known.record, state, now);
		const { partitionMonitor } = this._dependencies;
		const contactHandle = partitionMonitor.recordStart(known.record.id);
		const targetExchange = this._startExchange(context, candidate, now, () =>
			partitionMonitor.recordResponse(contactHandle)
		);
		state.inFlight++;
		state.isUsed = true;
		const timer = setTimeout(() => targetExchange.abandon(), Math.max(0, context.deadline - now));
		exchange.setDisconnectHandler(() => targetExchange.abandon());
		const trace = createTrace(context, candidate, now);
		if (context.attempts.length === 0) {
			this._dependencies.regionTrafficMonitor.recordFirstAttempt(candidate.firstRegion, known.region);
		}
		context.attempts.push(trace);
		context.attemptedAddresses.push(known.record.address);
		this._inFlight.set(targetExchange, known.record);
		const outcome = await targetExchange.outcome;
		this._inFlight.delete(targetExchange);
		partitionMonitor.recordOutcome(contactHandle, outcome, exchange.isDisconnected);
		if (targetExchange.writtenAt === undefined) {
			permit?.giveBack();
		}
		const endedAt = systemClock.now();
		trace.outcome = describeOutcome(outcome);
		trace.labels = outcomeLabels(outcome);
		trace.tookMs = Math.round(endedAt - now);
		exchange.setDisconnectHandler(undefined);
		clearTimeout(timer);
		const { outcomeTracker, lostRunDetector, backoffMonitor, limitMonitor } = this._dependencies;
		lostRunDetector.recordAttempt(context, known.record, outcome, now);
		const request = { chosenAt: now, writtenAt: targetExchange.writtenAt, outcome };
		backoffMonitor.recordSent(known.record, state, request);
		limitMonitor.recordSent(known.record, request, context.attempts[0] === trace);
		outcomeTracker.recordOutcome(context, state, outcome, endedAt - now, endedAt);
		if (outcome.type === 'answer') {
			this._dependencies.regionTrafficMonitor.recordAnswer(known.region);
			this._recordResponseSize(context.route, targetExchange.responseHeaders?.['content-length']);
		}
		state.inFlight--;
		if (context.team?.limit && mayHaveRun(outcome)) {
			context.hasTeamPermit = false;
		}
		return outcome;
	}

	/** Why nothing may be sent to the target now; undefined where a request may be sent. */
	private _blockingCause(
		context: RequestContext,
		{ known, state }: ChosenTarget,
		permit: IPermit | undefined,
		now: Millis
	): NotRunCause | undefined {
		const { limits } = this._dependencies;
		if (state.backoff.isActive(now)) {
			return NotRunCause.BackingOff;
		}
		if (!permit && limits.perSecond(known.record, now) !== undefined) {
			return NotRunCause.RateLimited;
		}
		const [host, port] = splitAddress(known.record.address);
		const connectionOptions = { host, port, attemptAtAddress: attemptAtAddress(context, known.record) };
		return this._agent.ensureAvailableConnection(connectionOptions, this._maxConnections(known.record))
			? undefined
			: NotRunCause.ConnectionsInUse;
	}

	/** This instance's share of the connections that a target accepts from all entry instances; unbounded for a service without configuration. */
	private _maxConnections({ service }: TargetRecord): number {
		const { view } = this._dependencies;
		const maxConnections = view.routes?.service(service)?.maxConnections;
		return maxConnections === undefined
			? Number.POSITIVE_INFINITY
			: Math.max(1, Math.floor(maxConnections / view.peakEntryCount));
	}

	/** Applies what the target reported in response headers: load, backoff, shutdown and rate limit. */
	private _applyTargetReport({ known, state }: ChosenTarget, report: TargetReport, requestSentAt: Millis): void {
		const now = systemClock.now();
		const { outcomeTracker, backoffMonitor } = this._dependencies;
		this._applyTargetLimit(known.record, report, requestSentAt);
		outcomeTracker.recordLoad(state, report.load, now);
		state.speed.service.invalidReports += report.hasInvalidLoad ? 1 : 0;
		backoffMonitor.recordReport(known.record, state, report, state.inFlight, now);
		state.backoff.apply(report, now);
		if (state.backoff.isActive(now)) {
			this._cancelUnwrittenTo(known.record, NotRunCause.BackingOff);
		}
	}

	private _applyTargetLimit(record: TargetRecord, report: TargetReport, requestSentAt: Millis): void {
		const { limitPerSecond: perSecond, echoesRequestId } = report;
		if (perSecond !== undefined || echoesRequestId) {
			this._dependencies.limits.applyReport(record, { perSecond, requestSentAt });
		}
	}

	/** Requests already in flight when a target first reports a limit hold no permit, so those not yet written are cancelled. */
	private _onLimitChange({ record, change }: TargetLimitEvent): void {
		if (change === LimitChange.Named) {
			this._cancelUnwrittenTo(record, NotRunCause.RateLimited);
		}
	}

	/** Cancels the attempts at a target that are not written yet, so that they can go to another target. */
	private _cancelUnwrittenTo({ id, bornAt }: TargetRecord, cause: CancelCause): void {
		for (const [targetExchange, record] of this._inFlight) {
			if (record.id === id && record.bornAt === bornAt) {
				targetExchange.cancelIfUnwritten(cause);
			}
		}
	}

	/** Fails the attempts at the previous process of a restarted target. Across a network partition their connections report no error. */
	private _failInFlightTo({ id, bornAt, address }: TargetRecord): void {
		this._agent.closeIdleConnections(...splitAddress(address));
		for (const [targetExchange, record] of this._inFlight) {
			if (record.id === id && record.bornAt <= bornAt) {
				targetExchange.failOnTargetRestart();
			}
		}
	}

	/** @param onResponse called when the headers of a response arrive */
	private _startExchange(
		context: RequestContext,
		candidate: ChosenTarget,
		now: Millis,
		onResponse: () => void
	): TargetExchange {
		const { exchange, body } = context;
		const { known } = candidate;
		const [host, port] = splitAddress(known.record.address);
		return new TargetExchange(this._agent, this._dependencies.headerNames, {
			requestId: exchange.requestId,
			targetId: known.record.id,
			attemptAtAddress: attemptAtAddress(context, known.record),
			host,
			port,
			method: exchange.request.method ?? 'GET',
			path: exchange.path,
			rawHeaders: this._headers.headersFor(context, known.record.id, now),
			body,
			connectTimeoutMs:
				known.region === this._dependencies.region ? this._sameRegionConnectMs : this._crossRegionConnectMs,
			maxBufferedBytes: this._maxBufferedBytes,
			onTargetReport: (report, writtenAt) => {
				onResponse();
				this._applyTargetReport(candidate, report, writtenAt);
			},
			onWritten: writtenAt => this._recordWritten(context, writtenAt)
		});
	}

	private _recordWritten(context: RequestContext, now: Millis): void {
		const { retryMonitor } = this._dependencies;
		const { service, retryPermit } = context;
		if (context.writtenAttempts++ === 0) {
			retryMonitor.recordWritten(service, AttemptCoverage.First, 0);
			return;
		}
		context.retryPermit = undefined;
		const coverage = retryPermit ? AttemptCoverage.OwnBudget : AttemptCoverage.None;
		retryMonitor.recordWritten(service, coverage, now - (retryPermit?.takenAt ?? now));
	}

	private _recordResponseSize(route: Route, contentLength: string | undefined): void {
		if (route.repeatRule === RepeatRule.LargeResponse && contentLength !== undefined) {
			this._dependencies.largeResponseLimiter.recordSize(route, Number(contentLength));
		}
	}
}

function splitAddress(address: string): [host: string, port: number] {
	const [host, port] = address.split(':') as [string, string];
	return [host, Number(port)];
}

/** Number of the next attempt of a request among those at the address of a target, from 1. */
function attemptAtAddress({ attemptedAddresses }: RequestContext, { address }: TargetRecord): number {
	return 1 + attemptedAddresses.filter(attempted => attempted === address).length;
}

function createTrace({ exchange }: RequestContext, candidate: ChosenTarget, now: Millis): AttemptTrace {
	const { known, state, firstRegion, passedOver, estimate } = candidate;
	return {
		target: known.record.id,
		region: known.region,
		firstRegion,
		atMs: Math.round(now - exchange.arrivedAt),
		load: Math.round(state.load(now) * 10) / 10,
		slots: known.record.slots,
		isCold: known.coldUntil > now,
		passedOver,
		...(estimate && {
			estimateMs: Math.round(estimate.timeMs),
			workTimeFactor: Math.round(estimate.workTimeFactor * 100) / 100
		}),
		outcome: 'unknown',
		tookMs: 0
	};
}
