/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Takes requests that other entry instances relay, and serves them like those of callers of this instance. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { Counter } from 'prom-client';
import { systemClock } from '../../../../base/clock.js';
import type { IEventLoopMonitor } from '../../../../kernel/common/eventLoopMonitor.js';
import { closeUnlessComplete } from '../../../../kernel/node/closeUnlessComplete.js';
import type { ILogService } from '../../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../../kernel/node/metricsService.js';
import type { IPeerRequests } from '../../../../kernel/node/peerRequests.js';
import type { FleetView } from '../../../fleet/common/fleetView.js';
import type { IHeaderNames } from '../../common/headerNames.js';
import {
	RELAY_COUNTED_HEADER,
	RELAY_PATH_PREFIX,
	RELAY_RETRY_HEADER,
	RELAY_REVISION_HEADER,
	RELAY_WRITTEN_HEADER
} from '../../common/relayHeaders.js';
import { CallerExchange } from '../callerExchange.js';
import type { IForwarding, RelayOrigin } from '../forwarding.js';
import type { LinkScheduler } from '../linkScheduler.js';
import { RelayedRequest } from './relayedRequest.js';

const STATUS_UNAVAILABLE = 503;
/** Bounds the memory for relayed requests; the sender tries another peer. */
const MAX_IN_FLIGHT = 256;

/** Why a relayed request is declined; the values are metric labels. */
enum DeclineCause {
	Draining = 'draining',
	Partitioned = 'partitioned',
	/** This instance has not applied the fleet revision that the sender has. */
	Outdated = 'outdated',
	Full = 'full'
}

/** What serving relayed requests uses. */
export interface RelayServerDependencies {
	readonly forwarding: IForwarding;
	readonly headerNames: IHeaderNames;
	readonly linkScheduler: LinkScheduler;
	readonly view: FleetView;
	readonly eventLoopMonitor: IEventLoopMonitor;
	readonly metrics: IMetricsService;
	readonly log: ILogService;
}

/** Serves relayed requests. */
export class RelayServer {
	private _inFlight = 0;
	private _isDraining = false;
	private readonly _requests: Counter<'outcome'>;

	constructor(
		peerRequests: IPeerRequests,
		private readonly _dependencies: RelayServerDependencies
	) {
		this._requests = new Counter({
			name: 'shelffield_relayed_requests_received_total',
			help: 'Requests that other entry instances relayed to this one: taken, or declined by cause.',
			labelNames: ['outcome'],
			registers: [_dependencies.metrics.registry]
		});
		peerRequests.handleRequests(RELAY_PATH_PREFIX, (request, response) => this._onRequest(request, response));
	}

	/** Requests that were taken and are not answered yet. */
	get inFlight(): number {
		return this._inFlight;
	}

	/** Declines all further requests. */
	stopTaking(): void {
		this._isDraining = true;
	}

	private _onRequest(request: IncomingMessage, response: ServerResponse): void {
		const cause = this._declineCause(request);
		this._requests.inc({ outcome: cause ?? 'taken' });
		if (cause === undefined) {
			this._serve(request, response);
		} else {
			this._decline(request, response, cause);
		}
	}

	private _declineCause(request: IncomingMessage): DeclineCause | undefined {
		const { forwarding, view } = this._dependencies;
		if (this._isDraining) {
			return DeclineCause.Draining;
		}
		if (forwarding.isPartitioned) {
			return DeclineCause.Partitioned;
		}
		if (view.revision < Number(request.headers[RELAY_REVISION_HEADER] ?? 0)) {
			return DeclineCause.Outdated;
		}
		return this._inFlight >= MAX_IN_FLIGHT ? DeclineCause.Full : undefined;
	}

	/** States that the request was not executed, so that the sender may pass it on to another peer. */
	private _decline(request: IncomingMessage, response: ServerResponse, cause: DeclineCause): void {
		const { notRun, requestId } = this._dependencies.headerNames;
		request.resume();
		response.once('finish', () => closeUnlessComplete(request));
		response.setHeader(requestId, request.headers[requestId] ?? '');
		response.writeHead(STATUS_UNAVAILABLE, { [notRun]: cause, 'Content-Length': 0 });
		response.end();
	}

	private _serve(request: IncomingMessage, response: ServerResponse): void {
		const { forwarding, headerNames, linkScheduler, view, eventLoopMonitor, log } = this._dependencies;
		request.url = (request.url ?? '').slice(RELAY_PATH_PREFIX.length);
		response.setHeader(RELAY_REVISION_HEADER, view.revision);
		const arrivedAt = systemClock.now() - eventLoopMonitor.readDelayMs();
		this._inFlight++;
		response.once('close', () => this._inFlight--);
		const exchange = new CallerExchange(new RelayedRequest(request, response, arrivedAt), headerNames, linkScheduler);
		forwarding.serve(exchange, originOf(request)).catch((error: Error) => {
			log.error('relayed request failed', { task: 'front', requestId: exchange.requestId, error: error.stack });
			exchange.fail();
		});
	}
}

/** How the sender has handled a request; one of an earlier version says nothing of its attempts. */
function originOf({ headers }: IncomingMessage): RelayOrigin {
	return {
		isCounted: headers[RELAY_COUNTED_HEADER] !== undefined,
		writtenAttempts: Number(headers[RELAY_WRITTEN_HEADER] ?? 0),
		hasRetry: headers[RELAY_RETRY_HEADER] !== undefined
	};
}
