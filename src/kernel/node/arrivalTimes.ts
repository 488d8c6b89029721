/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Tells when the requests of an HTTP server may have arrived, which is before they are read where the process did not run. */

import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import { type Millis, systemClock } from '../../base/clock.js';
import { type Acceptance, AcceptDelays } from '../common/acceptDelays.js';
import type { IEventLoopMonitor } from '../common/eventLoopMonitor.js';
import { DEFAULT_MAX_UNACCEPTED } from './listenWhenFree.js';

/** The requests of one server, which is not a TLS server. */
export class ArrivalTimes {
	private readonly _acceptDelays = new AcceptDelays(DEFAULT_MAX_UNACCEPTED);
	private readonly _acceptances = new WeakMap<Socket, Acceptance>();
	private _turn: NodeJS.Immediate | undefined;

	constructor(
		server: Server,
		private readonly _eventLoopMonitor: IEventLoopMonitor
	) {
		server.on('connection', (socket: Socket) => this._onConnection(socket));
	}

	/** When a request that is read now may have arrived, on the monotonic clock. */
	arrivedAt({ socket }: IncomingMessage): Millis {
		const acceptance = this._acceptances.get(socket);
		const acceptDelayMs = acceptance ? this._acceptDelays.delayMs(acceptance) : 0;
		return systemClock.now() - Math.max(acceptDelayMs, this._eventLoopMonitor.readDelayMs());
	}

	private _onConnection(socket: Socket): void {
		const acceptance = this._acceptDelays.recordAccept(systemClock.now(), this._eventLoopMonitor.readDelayMs());
		this._acceptances.set(socket, acceptance);
		this._ensureTurn();
	}

	private _ensureTurn(): void {
		this._turn ??= setImmediate(() => {
			this._turn = undefined;
			this._acceptDelays.beginTurn();
			if (this._acceptDelays.streakTurns > 0) {
				this._ensureTurn();
			}
		});
	}
}
