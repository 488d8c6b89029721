/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The HTTP listener for callers, including its readiness endpoint and graceful shutdown. */

import type { IncomingMessage } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { Counter } from 'prom-client';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { type Millis, systemClock } from '../../../base/clock.js';
import { RefusalReason } from '../../../base/verdict.js';
import { IEventLoopMonitor } from '../../../kernel/common/eventLoopMonitor.js';
import { isAbortiveCloseSupported } from '../../../kernel/node/abortiveClose.js';
import { HttpListener } from '../../../kernel/node/httpListener.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { IPeerRequests } from '../../../kernel/node/peerRequests.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { SHORT_RETRY_AFTER_MS } from '../../admission/common/returnTimes.js';
import { ICallerConnections, type ICallerRequest } from '../../connections/common/callerConnections.js';
import { IFleetSession } from '../../fleet/common/fleetSession.js';
import { type CallerLimits, RepeatRule } from '../../routes/common/routeTable.js';
import '../common/frontSettings.js';
import type { FrontSettings } from '../common/frontSettings.js';
import { IHeaderNames } from '../common/headerNames.js';
import { LinkPacer } from '../common/linkPacer.js';
import { QueueDelayGuard } from '../common/queueDelayGuard.js';
import { IServiceBounds } from '../common/serviceBounds.js';
import { CallerExchange, type LocalResponse } from './callerExchange.js';
import { refuseByLimits } from './callerLimits.js';
import { IForwarding } from './forwarding.js';
import { LinkScheduler } from './linkScheduler.js';
import { RelayServer } from './relay/relayServer.js';
import { unavailableResponse } from './requestContext.js';

const MAX_HEADER_BYTES = 64 * 1024;
const DEFAULT_HEADER_TIMEOUT_MS = 60000;
const DEFAULT_IDLE_TIMEOUT_MS = 30000;
/** Idle connections are kept this much longer than the timeout that callers know, so that no request arrives while they are being closed. */
const IDLE_TIMEOUT_MARGIN_MS = 2000;
/**
 * A caller that reads nothing between two checks at this interval while a response waits for it has left or is stuck. A receiver may
 * announce its progress in steps of 64 KiB, so even one that reads slowly needs some seconds between two signs of it.
 */
const UNREAD_TIMEOUT_MS = 10000;
const READINESS_POLL_MS = 50;
/** Not ready while the fleet view is older than this. */
const MAX_VIEW_AGE_MS = 10000;
/** How long a draining instance keeps accepting connections: callers may still use an earlier look-up that returned it. */
const ACCEPT_DURING_DRAIN_MS = 3000;
const DRAIN_POLL_MS = 25;
/** Part of the grace period reserved for the exit of the process. */
const EXIT_MARGIN_MS = 600;

/** Accepts callers' connections and hands their requests to forwarding. */
export class FrontListener extends Disposable {
	private readonly _settings: FrontSettings;
	private readonly _readinessListener: HttpListener;
	private readonly _linkScheduler: LinkScheduler;
	private readonly _relayServer: RelayServer;
	private readonly _queueDelayGuard = new QueueDelayGuard();
	private readonly _refusals: Counter<'reason'>;
	private _isDraining = false;
	private _isListening = false;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IFleetSession private readonly _session: IFleetSession,
		@ICallerConnections private readonly _connections: ICallerConnections,
		@IForwarding private readonly _forwarding: IForwarding,
		@IHeaderNames private readonly _headerNames: IHeaderNames,
		@IServiceBounds private readonly _serviceBounds: IServiceBounds,
		@IPeerRequests peerRequests: IPeerRequests,
		@IEventLoopMonitor eventLoopMonitor: IEventLoopMonitor,
		@IMetricsService metrics: IMetricsService,
		@ILogService private readonly _log: ILogService
	) {
		super();
		this._settings = settings.section<FrontSettings>('front');
		this._linkScheduler = new LinkScheduler(new LinkPacer(this._settings.linkMbit));
		this._relayServer = new RelayServer(peerRequests, {
			forwarding: this._forwarding,
			headerNames: this._headerNames,
			linkScheduler: this._linkScheduler,
			view: this._session.view,
			eventLoopMonitor,
			metrics,
			log: this._log
		});
		this._refusals = new Counter({
			name: 'shelffield_requests_refused_on_arrival_total',
			help: 'Requests of callers that were refused without a look at their route, by reason.',
			labelNames: ['reason'],
			registers: [metrics.registry]
		});
		this._readinessListener = this._register(
			new HttpListener({
				address: this._settings.readyAddress,
				maxConnections: 100,
				metrics,
				isReady: () => this._isReady(),
				onError: error => this._log.error('readiness listener request failed', { task: 'front', error: error.message })
			})
		);
	}

	/** Opens the listeners for callers and for readiness checks; look-ups return this instance once it is ready. */
	async start(): Promise<void> {
		if (!isAbortiveCloseSupported) {
			this._log.warn(
				'responses without a length are replaced by 502, as connections cannot be reset at the end of the process',
				{
					task: 'front'
				}
			);
		}
		await this._connections.listen({
			address: this._settings.callerAddress,
			maxConnections: this._settings.maxConnections,
			maxHeaderBytes: MAX_HEADER_BYTES,
			unreadTimeoutMs: UNREAD_TIMEOUT_MS,
			idleTimeoutMs: () => this._idleTimeoutMs(),
			headerTimeoutMs: () => this._limits?.headerTimeoutMs ?? DEFAULT_HEADER_TIMEOUT_MS,
			ownerOf: ({ headers }) => headers[this._headerNames.teamKey]?.toString(),
			isRepeatable: request => this._isRepeatable(request),
			serve: request => this._serve(request)
		});
		this._isListening = true;
		await this._readinessListener.listen();
		const timer = setInterval(() => this._session.setReady(this._isReady()), READINESS_POLL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	/**
	 * Withdraws this instance from look-ups at once, goes on serving requests that still arrive and can be answered in time, and returns
	 * when none is in flight or the grace period is about to end.
	 */
	async drain(): Promise<void> {
		const startedAt = systemClock.now();
		const drainDeadline = startedAt + this._serviceBounds.stopGraceMs - EXIT_MARGIN_MS;
		this._isDraining = true;
		this._forwarding.beginDrain(drainDeadline);
		this._session.setReady(false);
		this._connections.endTakingUp();
		this._relayServer.stopTaking();
		for (;;) {
			const elapsedMs = systemClock.now() - startedAt;
			const isAccepting = elapsedMs < Math.min(ACCEPT_DURING_DRAIN_MS, this._serviceBounds.stopGraceMs / 2);
			if (!isAccepting && this._isListening) {
				this._isListening = false;
				this._connections.stopAccepting();
			}
			const { inFlight, closing } = this._connections;
			if (
				(!isAccepting && inFlight + closing + this._relayServer.inFlight === 0) ||
				systemClock.now() > drainDeadline
			) {
				break;
			}
			await delay(DRAIN_POLL_MS);
		}
		this._log.info('caller listener stopped', { task: 'front', inFlight: this._connections.inFlight });
	}

	private _isReady(): boolean {
		const hasRoutes = this._session.view.routes !== undefined;
		return !this._isDraining && hasRoutes && this._session.ageMs() < MAX_VIEW_AGE_MS;
	}

	private get _limits(): CallerLimits | undefined {
		return this._session.view.routes?.table.limits;
	}

	private _idleTimeoutMs(): Millis {
		return (this._limits?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS) + IDLE_TIMEOUT_MARGIN_MS;
	}

	/** Requests without a route are refused, which may happen in any order. */
	private _isRepeatable({ headers, url }: IncomingMessage): boolean {
		const route = this._session.view.routes?.find(headers.host ?? '', url ?? '/');
		return route?.repeatRule !== RepeatRule.AtMostOnce;
	}

	/** The response to a request that is refused without a look at its route. */
	private _refuseOnArrival(
		{ hasRoom, request }: ICallerRequest,
		{ waitedMs, remainingMs }: CallerExchange
	): LocalResponse | undefined {
		if (!hasRoom) {
			return unavailableResponse(RefusalReason.NoCapacity, SHORT_RETRY_AFTER_MS);
		}
		return this._queueDelayGuard.admits(waitedMs, remainingMs, systemClock.now())
			? refuseByLimits(request, this._limits)
			: unavailableResponse(RefusalReason.Overloaded, SHORT_RETRY_AFTER_MS);
	}

	private _serve(request: ICallerRequest): boolean {
		const exchange = new CallerExchange(request, this._headerNames, this._linkScheduler);
		exchange.setTruncationHandler(cause =>
			this._log.warn('response broke off after its beginning was forwarded', {
				task: 'front',
				requestId: exchange.requestId,
				cause
			})
		);
		const refusal = this._refuseOnArrival(request, exchange);
		if (refusal) {
			this._refusals.inc({ reason: refusal.reason });
			exchange.refuse(refusal);
			return false;
		}
		this._forwarding.serve(exchange).catch((error: Error) => {
			this._log.error('request failed', { task: 'front', requestId: exchange.requestId, error: error.stack });
			exchange.fail();
		});
		return true;
	}
}
