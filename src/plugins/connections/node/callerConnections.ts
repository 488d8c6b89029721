/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The listener for callers' connections. */

import { createServer as createHttpServer, type Server as HttpServer } from 'node:http';
import { createServer, type Server, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Counter, Gauge } from 'prom-client';
import { type Millis, systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { IBodyAccount } from '../../../kernel/common/bodyAccount.js';
import type { Acceptance } from '../../../kernel/common/acceptDelays.js';
import { IEventLoopMonitor } from '../../../kernel/common/eventLoopMonitor.js';
import { listenWhenFree } from '../../../kernel/node/listenWhenFree.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import type { CallerConnectionOptions, ICallerConnections, ICallerRequest } from '../common/callerConnections.js';
import { IMemoryAccount, MemoryPressure } from '../common/memoryAccount.js';
import { IntakeCost, IntakeTurns, MAX_UNACCEPTED } from '../common/intakeTurns.js';
import { ReadTurns } from '../common/readTurns.js';
import { CallerConnection } from './callerConnection.js';
import type { EarlyCloseCause, ICallerConnectionHost } from './callerConnectionHost.js';

/** Prefix of the error codes of the Node.js HTTP parser. */
const PARSER_ERROR_PREFIX = 'HPE_';
/** Interval at which the account of held memory is updated from the connections; short against the time in which it could fill. */
const CHECK_INTERVAL_MS: Millis = 50;
/** A request that waited this long before it was read is late. */
const LATE_READ_MS: Millis = 20;

/** Accepts connections and parses their requests with the HTTP server of Node.js. */
export class CallerConnections extends Disposable implements ICallerConnections {
	private readonly _connections = new Map<Duplex, CallerConnection>();
	private _acceptor: Server | undefined;
	private _inFlight = 0;
	private _isEnding = false;
	private _lastNumber = 0;
	/** Connections with requests to take up, oldest first. */
	private readonly _scheduled = new Set<CallerConnection>();
	/** Connections that are scheduled in the next turn, so that the end of a connection is read before its request is taken up. */
	private readonly _arriving = new Set<CallerConnection>();
	private readonly _intakeTurns = new IntakeTurns();
	private readonly _readTurns = new ReadTurns<CallerConnection>();
	private _turn: NodeJS.Immediate | undefined;
	private readonly _earlyCloses: Counter<'cause'>;

	constructor(
		@IMemoryAccount private readonly _account: IMemoryAccount,
		@IMetricsService metrics: IMetricsService,
		@ILogService private readonly _log: ILogService,
		@IBodyAccount private readonly _bodyAccount: IBodyAccount,
		@IEventLoopMonitor private readonly _eventLoopMonitor: IEventLoopMonitor
	) {
		super();
		const registers = [metrics.registry];
		this._earlyCloses = new Counter({
			name: 'shelffield_caller_connections_closed_early_total',
			help: 'Connections of callers closed by this instance although a request or response was not complete, by cause.',
			labelNames: ['cause'],
			registers
		});
		const gauge: Gauge = new Gauge({
			name: 'shelffield_requests_waiting_behind',
			help: 'Requests read from callers that wait for the response to an earlier request of their connection.',
			registers,
			collect: () => gauge.set(this._sum(connection => connection.waitingBehind))
		});
		const timer = setInterval(() => this._check(), CHECK_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
		this._register(
			toDisposable(() => {
				this._acceptor?.close();
				this._connections.forEach(({ socket }) => socket.destroy());
			})
		);
	}

	get inFlight(): number {
		return this._inFlight;
	}

	get closing(): number {
		return [...this._connections.values()].filter(({ socket }) => socket.isClosing).length;
	}

	async listen(options: CallerConnectionOptions): Promise<void> {
		const http = this._createHttpServer(options);
		const host: ICallerConnectionHost = {
			isRepeatable: request => options.isRepeatable(request),
			mayTakeUp: arrivedAt => this._mayTakeUp(arrivedAt),
			serve: request => this._serve(request, options),
			onTakenChange: difference => (this._inFlight += difference),
			schedule: connection => this._schedule(connection),
			tryTakeReadTurn: connection => this._tryTakeReadTurn(connection),
			account: this._account,
			bodyAccount: this._bodyAccount,
			unreadTimeoutMs: options.unreadTimeoutMs,
			headerTimeoutMs: () => options.headerTimeoutMs(),
			readDelayMs: acceptance => this._readDelayMs(acceptance),
			ownerOf: request => options.ownerOf(request),
			onEarlyClose: cause => this._onEarlyClose(cause)
		};
		const acceptor = createServer({ allowHalfOpen: true, noDelay: true }, socket =>
			this._accept(socket, http, host, options.maxConnections)
		);
		this._acceptor = acceptor;
		await listenWhenFree(
			acceptor,
			options.address,
			error => this._log.error('caller listener failed', { task: 'connections', error: error.message }),
			MAX_UNACCEPTED
		);
	}

	endTakingUp(): void {
		this._isEnding = true;
		this._closeIdle();
		this._connections.forEach(connection => connection.endTakingUp());
	}

	stopAccepting(): void {
		this._acceptor?.close();
		this._closeIdle();
	}

	/** Port of the listener. */
	get port(): number {
		return (this._acceptor!.address() as { port: number }).port;
	}

	private _createHttpServer(options: CallerConnectionOptions): HttpServer {
		const http = createHttpServer({ maxHeaderSize: options.maxHeaderBytes });
		http.on('request', (request, response) => {
			http.keepAliveTimeout = options.idleTimeoutMs();
			this._connections.get(request.socket)?.add(request, response);
		});
		http.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			const connection = this._connections.get(socket);
			if (connection && error.code?.startsWith(PARSER_ERROR_PREFIX)) {
				connection.onInvalidData(error);
			} else {
				socket.destroy();
			}
		});
		return http;
	}

	private _accept(raw: Socket, http: HttpServer, host: ICallerConnectionHost, maxConnections: number): void {
		if (this._connections.size >= maxConnections && !this._tryMakeRoom()) {
			raw.destroy();
			return;
		}
		const acceptance = this._intakeTurns.recordAccept(systemClock.now(), this._eventLoopMonitor.readDelayMs());
		this._ensureTurn();
		const connection = new CallerConnection(raw, host, ++this._lastNumber, this._isEnding, acceptance);
		const { socket } = connection;
		this._connections.set(socket, connection);
		socket.once('close', () => {
			this._connections.delete(socket);
			this._scheduled.delete(connection);
			this._arriving.delete(connection);
			this._readTurns.remove(connection);
		});
		http.emit('connection', socket);
	}

	/**
	 * Closes a connection without a request: the oldest one on which nothing was ever sent, otherwise the oldest.
	 * @returns false where all have requests
	 */
	private _tryMakeRoom(): boolean {
		let oldest: CallerConnection | undefined;
		for (const connection of this._connections.values()) {
			if (!connection.isIdle || connection.socket.isClosing || connection.socket.destroyed) {
				continue;
			}
			oldest ??= connection;
			if (!connection.hasSentBytes) {
				oldest = connection;
				break;
			}
		}
		oldest?.closeForOthers();
		return oldest !== undefined;
	}

	private _schedule(connection: CallerConnection): void {
		this._arriving.add(connection);
		this._ensureTurn();
	}

	private _tryTakeReadTurn(connection: CallerConnection): boolean {
		this._ensureTurn();
		return this._readTurns.tryTake(connection);
	}

	private _readDelayMs(acceptance: Acceptance): Millis {
		return Math.max(this._intakeTurns.acceptDelayMs(acceptance), this._eventLoopMonitor.readDelayMs());
	}

	/** The end of a connection that waited together with its request is read after it, so a late request is scheduled. */
	private _mayTakeUp(arrivedAt: Millis): boolean {
		const isFirst = this._scheduled.size + this._arriving.size === 0;
		return isFirst && this._intakeTurns.mayTake && systemClock.now() - arrivedAt < LATE_READ_MS;
	}

	private _serve(request: ICallerRequest, options: CallerConnectionOptions): void {
		const isPassedOn = options.serve(request);
		this._intakeTurns.spend(isPassedOn ? IntakeCost.PassedOn : IntakeCost.Refused);
		this._ensureTurn();
	}

	private _ensureTurn(): void {
		this._turn ??= setImmediate(() => this._runTurn());
	}

	private _runTurn(): void {
		this._turn = undefined;
		this._intakeTurns.begin();
		this._readTurns.begin().forEach(({ socket }) => socket.feed());
		for (const connection of this._scheduled) {
			if (!this._intakeTurns.mayTake) {
				break;
			}
			this._scheduled.delete(connection);
			if (!connection.advance()) {
				this._intakeTurns.spend(IntakeCost.Refused);
			}
		}
		this._arriving.forEach(connection => this._scheduled.add(connection));
		this._arriving.clear();
		if (this._scheduled.size > 0 || this._readTurns.isPending || this._intakeTurns.isPending) {
			this._ensureTurn();
		}
	}

	private _sum(valueOf: (connection: CallerConnection) => number): number {
		return [...this._connections.values()].reduce((total, connection) => total + valueOf(connection), 0);
	}

	private _onEarlyClose(cause: EarlyCloseCause): void {
		this._earlyCloses.inc({ cause });
		this._log.debug('caller connection closed early', { task: 'connections', cause });
	}

	private _check(): void {
		const now = systemClock.now();
		this._connections.forEach(connection => connection.check(now));
		if (this._account.pressure >= MemoryPressure.Close) {
			this._closeLargest();
		}
	}

	/** Closes connections whose callers do not read, those with the most bytes first, until new requests can be served again. */
	private _closeLargest(): void {
		const unread = [...this._connections.values()]
			.map(connection => ({ connection, bytes: connection.unreadBytes }))
			.filter(({ bytes }) => bytes > 0)
			.sort((a, b) => b.bytes - a.bytes);
		let closed = 0;
		while (closed < unread.length && this._account.pressure >= MemoryPressure.Refuse) {
			unread[closed++]!.connection.closeForMemory();
		}
		if (closed > 0) {
			this._log.warn('connections of slow readers closed, held memory is full', { task: 'connections', closed });
		}
	}

	private _closeIdle(): void {
		for (const connection of this._connections.values()) {
			if (connection.isIdle && !connection.socket.isClosing) {
				connection.socket.destroy();
			}
		}
	}
}
