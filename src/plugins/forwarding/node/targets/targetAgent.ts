/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Connections to targets, kept for further requests. */

import { Agent, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { type Millis, systemClock } from '../../../../base/clock.js';
import { RestLimit } from '../../common/targets/restLimit.js';

/** How long a connection rests at most where the target does not say how long it keeps one. */
const IDLE_MS = 6000;
/** The same where it does. */
const MAX_IDLE_MS = 30000;
/** A connection is given up this long before the target would close it, so that no request crosses the close. */
const CLOSE_MARGIN_MS = 1500;
const MAX_IDLE_SOCKETS = 64;
const TIMEOUT_HINT = /timeout=(\d+)/;

function closeUnasked(this: Socket): void {
	this.destroy();
}

/** What is known of a kept connection. */
interface KeptConnection {
	restedFrom: Millis;
	/** How long it had rested when it was last used again. */
	restMs: Millis;
}

/** Keeps connections; one on which a target sends something unasked is closed, since it would pass for an answer. */
export class TargetAgent extends Agent {
	private readonly _restLimit = new RestLimit();
	private readonly _kept = new WeakMap<Duplex, KeptConnection>();

	constructor() {
		super({ keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS, scheduling: 'lifo' });
	}

	/** Whether a request would find a kept connection to a target, or may open one more. */
	hasRoom(host: string, port: number, mostConnections: number): boolean {
		const name = this.getName({ host, port });
		const isKept = (this.freeSockets[name]?.length ?? 0) > 0;
		return isKept || (this.sockets[name]?.length ?? 0) < mostConnections;
	}

	override keepSocketAlive(stream: Duplex): boolean {
		const socket = stream as Socket & { _httpMessage?: { res?: { headers: Record<string, string | undefined> } } };
		const hint = TIMEOUT_HINT.exec(socket._httpMessage?.res?.headers['keep-alive'] ?? '')?.[1];
		const idleMs = hint ? Math.min(MAX_IDLE_MS, Number(hint) * 1000 - CLOSE_MARGIN_MS) : IDLE_MS;
		const now = systemClock.now();
		const restMs = Math.min(idleMs, this._restLimit.limitMs(now));
		if (restMs <= 0 || socket.destroyed) {
			return false;
		}
		this._kept.set(socket, { restedFrom: now, restMs: 0 });
		super.keepSocketAlive(socket);
		socket.setTimeout(restMs);
		socket.on('data', closeUnasked);
		return true;
	}

	override reuseSocket(stream: Duplex, request: ClientRequest): void {
		const socket = stream as Socket;
		socket.removeListener('data', closeUnasked);
		socket.setTimeout(0);
		const kept = this._kept.get(socket);
		if (kept) {
			kept.restMs = systemClock.now() - kept.restedFrom;
		}
		super.reuseSocket(socket, request);
	}

	/** A request that was sent on a kept connection brought nothing back. */
	noteLoss(stream: Duplex, targetId: string, sentForMs: Millis): void {
		const restMs = this._kept.get(stream)?.restMs ?? 0;
		if (this._restLimit.noteLoss(targetId, restMs, sentForMs, systemClock.now())) {
			this._closeResting();
		}
	}

	/** Closes the connections that rest to an address: another process listens there now. */
	closeRestingTo(host: string, port: number): void {
		this.freeSockets[this.getName({ host, port })]?.forEach(socket => socket.destroy());
	}

	private _closeResting(): void {
		for (const sockets of Object.values(this.freeSockets)) {
			sockets?.forEach(socket => socket.destroy());
		}
	}
}
