/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Connection pool for requests to targets. */

import { Agent, type ClientRequest, type ClientRequestArgs } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { type Millis, systemClock } from '../../../../base/clock.js';
import { type ITurnTaker, TurnQueue } from '../../../../kernel/common/turnQueue.js';
import { MAX_ATTEMPTS_PER_TARGET } from '../../../placement/common/targets/targetRefusal.js';
import { AdaptiveIdleTimeout } from '../../common/adaptiveIdleTimeout.js';

/** Idle timeout of connections to targets that announce no keep-alive timeout. */
const DEFAULT_IDLE_TIMEOUT_MS = 6000;
/** Maximum idle timeout of connections to targets that announce one. */
const MAX_IDLE_TIMEOUT_MS = 30000;
/** Connections are closed this long before the target would, so that no request is lost in the race with its close. */
const CLOSE_MARGIN_MS = 1500;
const MAX_IDLE_SOCKETS = 64;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

/** Responses in many small chunks that are read on in one turn of the event loop. */
const MAX_READ_PER_TURN = 2;

/** Targets that one request may find at an address one after the other. */
const MAX_TARGETS_AT_ADDRESS = 2;
const MAX_ATTEMPTS_AT_ADDRESS = MAX_TARGETS_AT_ADDRESS * MAX_ATTEMPTS_PER_TARGET;
/** Attempts of one request at the same address, from the first to the last one that is made. */
const ATTEMPTS_AT_ADDRESS = Array.from({ length: MAX_ATTEMPTS_AT_ADDRESS }, (_unused, i) => i + 1);

/** What a connection is used for. */
export interface ConnectionOptions extends ClientRequestArgs {
	/**
	 * Number of the attempt among those of its request at the address, from 1; 1 if omitted. Attempts of the same request have
	 * different connections, also at different targets that used the address one after the other, since a late second copy of the
	 * response to an earlier one has the same request id.
	 */
	readonly attemptAtAddress?: number;
}

function closeOnUnexpectedData(this: Socket): void {
	this.destroy();
}

/** Idle times of a pooled connection. */
interface PooledConnection {
	idleSince: Millis;
	/** How long it had been idle when it was last reused. */
	idleMs: Millis;
}

/**
 * HTTP agent that keeps connections alive. An idle connection that receives data is closed, as the data would be taken for
 * the response to the next request.
 */
export class TargetAgent extends Agent {
	/** Turns of the responses on its connections that come in many small chunks. */
	readonly readTurns = new TurnQueue<ITurnTaker>(Number.POSITIVE_INFINITY, MAX_READ_PER_TURN, setImmediate);
	private readonly _idleTimeout = new AdaptiveIdleTimeout();
	private readonly _pooled = new WeakMap<Duplex, PooledConnection>();

	constructor() {
		super({ keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS, scheduling: 'lifo' });
	}

	/** Pools connections by address, and by the attempt at the address that they carry. */
	override getName(options: ConnectionOptions = {}): string {
		const { attemptAtAddress = 1 } = options;
		return attemptAtAddress === 1 ? super.getName(options) : `${super.getName(options)}:attempt-${attemptAtAddress}`;
	}

	/**
	 * Makes sure that there is an idle connection to a target for an attempt, or that a further one may be opened. Closes an idle one of
	 * other attempts where that makes room.
	 * @returns false if all connections are in use, or the request has been sent to the address too often
	 */
	ensureAvailableConnection(options: ConnectionOptions, maxConnections: number): boolean {
		if ((options.attemptAtAddress ?? 1) > MAX_ATTEMPTS_AT_ADDRESS) {
			return false;
		}
		if (this._idleConnections(options).length > 0) {
			return true;
		}
		const pools = ATTEMPTS_AT_ADDRESS.map(attemptAtAddress => ({ ...options, attemptAtAddress }));
		const idle = pools.flatMap(pool => this._idleConnections(pool));
		const inUse = pools.reduce((total, pool) => total + (this.sockets[this.getName(pool)]?.length ?? 0), 0);
		if (inUse + idle.length < maxConnections) {
			return true;
		}
		idle[0]?.destroy();
		return idle.length > 0;
	}

	private _idleConnections(options: ConnectionOptions): Socket[] {
		return (this.freeSockets[this.getName(options)] ?? []).filter(socket => !socket.destroyed);
	}

	override keepSocketAlive(stream: Duplex): boolean {
		const socket = stream as Socket & { _httpMessage?: { res?: { headers: Record<string, string | undefined> } } };
		const hint = KEEP_ALIVE_TIMEOUT.exec(socket._httpMessage?.res?.headers['keep-alive'] ?? '')?.[1];
		const keepAliveMs = hint
			? Math.min(MAX_IDLE_TIMEOUT_MS, Number(hint) * 1000 - CLOSE_MARGIN_MS)
			: DEFAULT_IDLE_TIMEOUT_MS;
		const now = systemClock.now();
		const idleTimeoutMs = Math.min(keepAliveMs, this._idleTimeout.maxIdleMs(now));
		if (idleTimeoutMs <= 0 || socket.destroyed) {
			return false;
		}
		this._pooled.set(socket, { idleSince: now, idleMs: 0 });
		super.keepSocketAlive(socket);
		socket.setTimeout(idleTimeoutMs);
		socket.on('data', closeOnUnexpectedData);
		return true;
	}

	override reuseSocket(stream: Duplex, request: ClientRequest): void {
		const socket = stream as Socket;
		socket.removeListener('data', closeOnUnexpectedData);
		socket.setTimeout(0);
		const pooled = this._pooled.get(socket);
		if (pooled) {
			pooled.idleMs = systemClock.now() - pooled.idleSince;
		}
		super.reuseSocket(socket, request);
	}

	/** Records that a request on a reused connection got no response. */
	recordLoss(stream: Duplex, targetId: string, timeToLossMs: Millis): void {
		const idleMs = this._pooled.get(stream)?.idleMs ?? 0;
		if (this._idleTimeout.recordLoss(targetId, idleMs, timeToLossMs, systemClock.now())) {
			this._closeAllIdle();
		}
	}

	/** Closes the idle connections to an address at which another process listens now. */
	closeIdleConnections(host: string, port: number): void {
		for (const attemptAtAddress of ATTEMPTS_AT_ADDRESS) {
			this._idleConnections({ host, port, attemptAtAddress }).forEach(socket => socket.destroy());
		}
	}

	private _closeAllIdle(): void {
		for (const sockets of Object.values(this.freeSockets)) {
			sockets?.forEach(socket => socket.destroy());
		}
	}
}
