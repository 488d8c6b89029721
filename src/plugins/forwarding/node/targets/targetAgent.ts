/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Connection pool for requests to targets. */

import { Agent, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { type Millis, systemClock } from '../../../../base/clock.js';
import { AdaptiveIdleTimeout } from '../../common/adaptiveIdleTimeout.js';

/** Idle timeout of connections to targets that announce no keep-alive timeout. */
const DEFAULT_IDLE_TIMEOUT_MS = 6000;
/** Maximum idle timeout of connections to targets that announce one. */
const MAX_IDLE_TIMEOUT_MS = 30000;
/** Connections are closed this long before the target would, so that no request is lost in the race with its close. */
const CLOSE_MARGIN_MS = 1500;
const MAX_IDLE_SOCKETS = 64;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

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
	private readonly _idleTimeout = new AdaptiveIdleTimeout();
	private readonly _pooled = new WeakMap<Duplex, PooledConnection>();

	constructor() {
		super({ keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS, scheduling: 'lifo' });
	}

	/** Whether there is an idle connection to a target, or a further one may be opened. */
	hasAvailableConnection(host: string, port: number, maxConnections: number): boolean {
		const name = this.getName({ host, port });
		const hasIdleConnection = (this.freeSockets[name]?.length ?? 0) > 0;
		return hasIdleConnection || (this.sockets[name]?.length ?? 0) < maxConnections;
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
		this.freeSockets[this.getName({ host, port })]?.forEach(socket => socket.destroy());
	}

	private _closeAllIdle(): void {
		for (const sockets of Object.values(this.freeSockets)) {
			sockets?.forEach(socket => socket.destroy());
		}
	}
}
