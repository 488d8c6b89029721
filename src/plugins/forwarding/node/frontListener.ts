/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The listener for callers, and its planned stop. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { type Millis, systemClock } from '../../../base/clock.js';
import { HttpListener } from '../../../kernel/node/httpListener.js';
import { IdleConnections } from '../../../kernel/node/idleConnections.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IFleetSession } from '../../fleet/common/fleetSession.js';
import '../common/frontSettings.js';
import type { FrontSettings } from '../common/frontSettings.js';
import { IHeaderNames } from '../common/headerNames.js';
import { LinkPacer } from '../common/linkPacer.js';
import { IServiceBounds } from '../common/serviceBounds.js';
import { CallerExchange } from './callerExchange.js';
import { IForwarding } from './forwarding.js';
import { LinkScheduler } from './linkScheduler.js';

const MAX_HEADER_BYTES = 64 * 1024;
const DEFAULT_IDLE_MS = 30000;
/** A connection is kept this much longer than callers were told, so that none of their requests crosses the close. */
const IDLE_MARGIN_MS = 2000;
const READY_POLL_MS = 50;
/** The view is too old to take callers by. */
const MAX_READY_AGE_MS = 10000;
/** Callers that were told of this instance before it stopped go on coming for a while. */
const ACCEPT_WHILE_STOPPING_MS = 3000;
const STOP_POLL_MS = 25;
/** Time kept for the end of the process itself. */
const STOP_MARGIN_MS = 1000;

/** The listener for callers. */
export class FrontListener extends Disposable {
	private readonly _settings: FrontSettings;
	private readonly _server: Server;
	private readonly _idle: IdleConnections;
	private readonly _ready: HttpListener;
	private readonly _link: LinkScheduler;
	private _inFlight = 0;
	private _isStopping = false;
	private _isListening = false;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IFleetSession private readonly _session: IFleetSession,
		@IForwarding private readonly _forwarding: IForwarding,
		@IHeaderNames private readonly _names: IHeaderNames,
		@IServiceBounds private readonly _bounds: IServiceBounds,
		@IMetricsService metrics: IMetricsService,
		@ILogService private readonly _log: ILogService
	) {
		super();
		this._settings = settings.section<FrontSettings>('front');
		this._link = new LinkScheduler(new LinkPacer(this._settings.linkMbit));
		this._server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: DEFAULT_IDLE_MS });
		this._idle = new IdleConnections(this._server);
		this._server.requestTimeout = 0;
		this._server.maxConnections = this._settings.maxConnections;
		this._server.on('request', (request, response) => this._onRequest(request, response));
		this._ready = this._register(
			new HttpListener({
				address: this._settings.readyAddress,
				maxConnections: 100,
				metrics,
				isReady: () => this._isReady(),
				onError: error => this._log.error('page failed', { task: 'front', error: error.message })
			})
		);
		this._register(toDisposable(() => this._server.closeAllConnections()));
	}

	/** Opens both listeners; callers are named this instance once it knows the routes. */
	async start(): Promise<void> {
		const [host, port] = this._settings.callerAddress.split(':');
		await new Promise<void>((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(Number(port), host, () => resolve());
		});
		this._isListening = true;
		await this._ready.listen();
		const timer = setInterval(() => this._session.setReady(this._isReady()), READY_POLL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	/** Leaves the look-ups at once, serves those who come all the same, and ends when nothing is in flight. */
	async drain(): Promise<void> {
		const startedAt = systemClock.now();
		this._isStopping = true;
		this._session.setReady(false);
		this._idle.close();
		const stopAt = startedAt + this._bounds.stopGraceMs - STOP_MARGIN_MS;
		for (;;) {
			const age = systemClock.now() - startedAt;
			const isAccepting = age < Math.min(ACCEPT_WHILE_STOPPING_MS, this._bounds.stopGraceMs / 2);
			if (!isAccepting && this._isListening) {
				this._isListening = false;
				this._idle.stopListening();
				this._idle.close();
			}
			if ((!isAccepting && this._inFlight === 0) || systemClock.now() > stopAt) {
				break;
			}
			await pause(STOP_POLL_MS);
		}
		this._log.info('front stopped', { task: 'front', inFlight: this._inFlight });
	}

	private _isReady(): boolean {
		const isKnown = this._session.view.routes !== undefined;
		return !this._isStopping && isKnown && this._session.ageMs() < MAX_READY_AGE_MS;
	}

	private _onRequest(request: IncomingMessage, response: ServerResponse): void {
		this._inFlight++;
		response.once('close', () => this._inFlight--);
		const idleMs = this._session.view.routes?.table.limits.idleTimeoutMs;
		this._server.keepAliveTimeout = (idleMs ?? DEFAULT_IDLE_MS) + IDLE_MARGIN_MS;
		if (this._isStopping) {
			response.setHeader('Connection', 'close');
		}
		const exchange = new CallerExchange(request, response, this._names, this._link);
		this._forwarding.serve(exchange).catch((error: Error) => {
			this._log.error('request failed', { task: 'front', requestId: exchange.requestId, error: error.stack });
			response.destroy();
		});
	}
}

function pause(ms: Millis): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}
