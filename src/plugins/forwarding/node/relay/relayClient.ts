/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Relays requests to other entry instances while this one reaches no target. The peer decides about the request as about those of its
 * own callers, and never relays it again.
 */

import { Counter } from 'prom-client';
import { type Millis, systemClock } from '../../../../base/clock.js';
import { Disposable, toDisposable } from '../../../../base/disposable.js';
import { RefusalReason } from '../../../../base/verdict.js';
import type { IMetricsService } from '../../../../kernel/node/metricsService.js';
import type { FleetView } from '../../../fleet/common/fleetView.js';
import type { EntryPeer } from '../../../fleet/common/fleetWire.js';
import { type AttemptOutcome, NotRunCause } from '../../common/attempt.js';
import type { IHeaderNames } from '../../common/headerNames.js';
import { connectTimeoutMs, maxBufferedBytes } from '../../common/linkPacer.js';
import { RELAY_PATH_PREFIX, RELAY_REVISION_HEADER, RELAY_UNFRAMED_HEADER } from '../../common/relayHeaders.js';
import { RelayPeers } from '../../common/relayPeers.js';
import type { RequestCompletion } from '../requestCompletion.js';
import { type RequestContext, unavailableResponse } from '../requestContext.js';
import { SHORT_RETRY_AFTER_MS } from '../../../admission/common/returnTimes.js';
import { TargetExchange } from '../targetExchange.js';
import { TargetHeaders } from '../targetHeaders.js';
import { TargetAgent } from '../targets/targetAgent.js';

/** Peers that a request is offered to at most. */
const MAX_PEERS = 3;
/** Connect timeout on an idle link. */
const CONNECT_MS: Millis = 300;
/** A request with less time left than this is not relayed. */
const MIN_REMAINING_MS: Millis = 20;

/** A peer of an older version has no handler for relayed requests, and answers without running them. */
const UNKNOWN_TO_PEER: AttemptOutcome = { type: 'not-run', hasArrived: true, cause: NotRunCause.Refused };

/** Settings and services that relaying uses. */
export interface RelayClientDependencies {
	readonly region: string;
	/** Bandwidth of the network link of this instance, in one direction. */
	readonly linkMbit: number;
	readonly view: FleetView;
	readonly headerNames: IHeaderNames;
	readonly completion: RequestCompletion;
	readonly metrics: IMetricsService;
}

/** Relays requests of this instance's callers. */
export class RelayClient extends Disposable {
	private readonly _agent = new TargetAgent();
	private readonly _peers: RelayPeers;
	private readonly _headers: TargetHeaders;
	private readonly _connectTimeoutMs: Millis;
	private readonly _maxBufferedBytes: number;
	private readonly _requests: Counter<'outcome'>;
	/** The newest fleet revision that a peer has handled a request by. */
	private _handledRevision = 0;

	constructor(private readonly _dependencies: RelayClientDependencies) {
		super();
		const { region, linkMbit, headerNames, metrics } = _dependencies;
		this._headers = new TargetHeaders(headerNames);
		this._peers = new RelayPeers(region);
		this._connectTimeoutMs = connectTimeoutMs(linkMbit, CONNECT_MS);
		this._maxBufferedBytes = maxBufferedBytes(linkMbit);
		this._requests = new Counter({
			name: 'shelffield_relayed_requests_sent_total',
			help: 'Requests relayed to other entry instances by outcome: answer, not-run, broken, abandoned.',
			labelNames: ['outcome'],
			registers: [metrics.registry]
		});
		this._register(toDisposable(() => this._agent.destroy()));
	}

	/** Whether a peer has handled requests by a newer revision than this instance has, which must not handle any by an older one. */
	get isAhead(): boolean {
		return this._dependencies.view.revision < this._handledRevision;
	}

	/**
	 * Offers a request, which must not have run anywhere, to peers and completes it with the response of the one that takes it.
	 * @returns false if none has taken it, so that it has not run; true if the request is completed or its caller has disconnected
	 */
	async relay(context: RequestContext): Promise<boolean> {
		const { exchange } = context;
		const tried = new Set<string>();
		while (tried.size < MAX_PEERS && !exchange.isDisconnected) {
			const now = systemClock.now();
			const { homeRegions } = context;
			const peer = this._peers.choose(this._dependencies.view.peers?.peers ?? [], { homeRegions, tried }, now);
			if (!peer || !context.body.canBeSent || context.deadline - now < MIN_REMAINING_MS) {
				return false;
			}
			tried.add(peer.name);
			const outcome = await this._send(context, peer, now);
			this._requests.inc({ outcome: outcome.type });
			if (outcome.type !== 'not-run') {
				context.retryPermit = undefined;
				this._complete(context, outcome);
				return true;
			}
			this._peers.recordFailure(peer, systemClock.now());
		}
		return exchange.isDisconnected;
	}

	private async _send(context: RequestContext, peer: EntryPeer, now: Millis): Promise<AttemptOutcome> {
		const { exchange, body, deadline } = context;
		const { headerNames, view } = this._dependencies;
		const [host, port] = peer.address.split(':') as [string, string];
		const relayExchange = new TargetExchange(this._agent, headerNames, {
			requestId: exchange.requestId,
			targetId: peer.name,
			attemptAtAddress: 1,
			host,
			port: Number(port),
			method: exchange.request.method ?? 'GET',
			path: `${RELAY_PATH_PREFIX}${exchange.path}`,
			rawHeaders: this._headers.relayHeadersFor(context, Math.max(view.revision, this._handledRevision), now),
			body,
			connectTimeoutMs: this._connectTimeoutMs,
			maxBufferedBytes: this._maxBufferedBytes,
			onTargetReport: () => undefined,
			onWritten: () => undefined
		});
		this._peers.begin(peer);
		const timer = setTimeout(() => relayExchange.abandon(), Math.max(0, deadline - now));
		exchange.setDisconnectHandler(() => relayExchange.abandon());
		const outcome = await relayExchange.outcome;
		exchange.setDisconnectHandler(undefined);
		clearTimeout(timer);
		this._peers.end(peer);
		const revision = relayExchange.responseHeaders?.[RELAY_REVISION_HEADER];
		if (outcome.type === 'answer' && revision === undefined) {
			outcome.remainingBody?.destroy();
			return UNKNOWN_TO_PEER;
		}
		this._handledRevision = Math.max(this._handledRevision, Number(revision ?? 0));
		context.relayedTo = peer.name;
		const isUnframed = relayExchange.responseHeaders?.[RELAY_UNFRAMED_HEADER] !== undefined;
		return outcome.type === 'answer' && isUnframed ? { ...outcome, endsWithConnection: true } : outcome;
	}

	private _complete(context: RequestContext, outcome: Exclude<AttemptOutcome, { type: 'not-run' }>): void {
		const { completion } = this._dependencies;
		if (outcome.type === 'answer') {
			completion.finishWithRelayedResponse(context, outcome);
			return;
		}
		const reason = outcome.type === 'broken' ? RefusalReason.TargetFailed : RefusalReason.DeadlinePassed;
		const mayHaveRun = outcome.type === 'broken' || outcome.mayHaveRun;
		const status = outcome.type === 'broken' ? 502 : 504;
		completion.finishWithLocalResponse(
			context,
			mayHaveRun ? { status, verdict: 'may-have-run', reason } : unavailableResponse(reason, SHORT_RETRY_AFTER_MS)
		);
	}
}
