/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The caller port of an entry instance: look-ups and requests. */

import { createHash, randomUUID } from 'node:crypto';
import { isIPv4 } from 'node:net';
import { Counter, Histogram } from 'prom-client';
import { systemClock } from '../../../base/clock.js';
import { Disposable } from '../../../base/disposable.js';
import { RefusalReason, RequestError } from '../../../base/verdict.js';
import { type IContribution, ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { addressSchema, integerSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import { HttpListener, type HttpRequest, type HttpResponse, sendJson } from '../../../kernel/node/httpListener.js';
import { BodyTooLargeError } from '../../../kernel/node/bodyTooLargeError.js';
import { readBody } from '../../../kernel/node/readBody.js';
import type { InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { IPeerWire } from '../../../kernel/node/peerWire.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IBurnRecorder } from '../../burn/common/burnRecorder.js';
import { IEntryConfiguration } from '../../configuration/common/entryConfiguration.js';
import { type CarriedRequest, IDispatch } from '../../dispatch/common/dispatch.js';
import { IOnceOrders } from '../../once/common/onceOrders.js';
import { ISteering } from '../../steering/common/steering.js';
import { headersForTarget, isRepeatableMethod, readCallerHeaders } from '../common/callerHeaders.js';
import { HttpResponseSink } from './httpResponseSink.js';

const MS_PER_SECOND = 1000;
const ETAG_LENGTH = 16;
const NOT_READY_RETRY_MS = 500;
const READY_POLL_MS = 20;
/** An instance whose services have no target anywhere starts all the same. */
const READY_TIMEOUT_MS = 6000;
const LATENCY_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];
const OWN_PATH = /^\/s\/([^/]+)(\/.*)?$/;

/** Section `[callers]`. */
interface CallerSettings {
	readonly address: string;
	readonly maxConnections: number;
}

settingsRegistry.register({
	name: 'callers',
	named: false,
	kinds: [ProcessKind.Entry],
	description: 'The port for callers.',
	keys: {
		address: { schema: addressSchema, description: 'IPv4 address and port; port 0 lets the system choose.' },
		maxConnections: {
			schema: integerSchema(1, 100000),
			description: 'Most connections at once, 1 to 100000.',
			default: '10000'
		}
	}
});

/** The caller port. */
export class CallerServer extends Disposable implements IContribution {
	private readonly _listener: HttpListener;
	private readonly _instance: InstanceSettings;
	private readonly _requests: Counter<'service' | 'group' | 'verdict' | 'reason'>;
	private readonly _latency: Histogram<'service' | 'group'>;
	private readonly _lookups: Counter;
	private readonly _idPrefix = randomUUID().slice(0, 8);
	private _nextId = 0;
	private _isLeaving = false;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IMetricsService metrics: IMetricsService,
		@ILogService private readonly _log: ILogService,
		@IPeerWire private readonly _wire: IPeerWire,
		@IEntryConfiguration private readonly _configuration: IEntryConfiguration,
		@ISteering private readonly _steering: ISteering,
		@IDispatch private readonly _dispatch: IDispatch,
		@IOnceOrders private readonly _onceOrders: IOnceOrders,
		@IBurnRecorder private readonly _burn: IBurnRecorder
	) {
		super();
		this._instance = settings.section<InstanceSettings>('instance');
		const { address, maxConnections } = settings.section<CallerSettings>('callers');
		this._listener = this._register(
			new HttpListener({
				address,
				maxConnections,
				metrics,
				isReady: () => this._configuration.isUsable && this._dispatch.isReady() && !this._isLeaving,
				onError: error => this._log.error('request failed', { task: 'callers', error: error.stack })
			})
		);
		this._listener.on('GET', '/v1/entries', (request, response) => this._lookUp(request, response));
		this._listener.onAll('/s/*', (request, response) => this._carry(request, response));
		this._configuration.addReportPart(() => ({ leaving: this._isLeaving }));
		const registers = [metrics.registry];
		this._requests = new Counter({
			name: 'shelffield_requests_total',
			help: 'Requests of callers by how they ended',
			labelNames: ['service', 'group', 'verdict', 'reason'],
			registers
		});
		this._latency = new Histogram({
			name: 'shelffield_request_seconds',
			help: 'Time from the arrival of a request until its answer was whole, for requests that ran',
			labelNames: ['service', 'group'],
			buckets: LATENCY_BUCKETS,
			registers
		});
		this._lookups = new Counter({ name: 'shelffield_lookups_total', help: 'Look-ups answered', registers });
	}

	async start(): Promise<void> {
		const peerAddress = await this._wire.listen();
		const address = await this._listener.listen();
		const { name, hall, region } = this._instance;
		await this._configuration.start({
			instance: name,
			hall,
			region,
			url: `http://${address}`,
			peerAddress,
			incarnation: randomUUID()
		});
		await this._waitReady();
	}

	/** Leaves the look-ups at once, serves on for as long as callers may have cached one, then ends what is in flight. */
	async drain(): Promise<void> {
		this._isLeaving = true;
		this._configuration.reportNow();
		await new Promise(resolve => setTimeout(resolve, this._steering.lookupTtlMs));
		await this._listener.finish();
	}

	private async _waitReady(): Promise<void> {
		const until = systemClock.now() + READY_TIMEOUT_MS;
		const isReady = (): boolean => this._configuration.isUsable && this._dispatch.isReady();
		while (!isReady() && systemClock.now() < until) {
			await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
		}
	}

	private _lookUp(request: HttpRequest, response: HttpResponse): void {
		const service = textOf(request, 'service');
		const group = textOf(request, 'group');
		const client = textOf(request, 'client') ?? request.socket.remoteAddress ?? '';
		const fault = this._lookupFault(service, group, textOf(request, 'client'));
		if (fault) {
			sendVerdict(response, fault, this._newRequestId());
			return;
		}
		const answer = this._steering.lookUp(service!, group!, client);
		if (!answer) {
			sendVerdict(response, notReady(), this._newRequestId());
			return;
		}
		this._lookups.inc();
		const body = JSON.stringify(answer);
		const tag = `"${createHash('sha1').update(body).digest('hex').slice(0, ETAG_LENGTH)}"`;
		response.setHeader('Cache-Control', `max-age=${answer.ttlSeconds}`);
		response.setHeader('ETag', tag);
		if (request.headers['if-none-match'] === tag) {
			response.statusCode = 304;
			response.end();
			return;
		}
		response.setHeader('Content-Type', 'application/json');
		response.setHeader('Content-Length', Buffer.byteLength(body));
		response.end(body);
	}

	private _lookupFault(service?: string, group?: string, client?: string): RequestError | undefined {
		if (service === undefined || !this._dispatch.hasService(service)) {
			return badField('service', this._dispatch.services.join(', '), RefusalReason.UnknownService);
		}
		if (group === undefined || !this._hasGroup(group)) {
			return badField('group', this._groupNames(), RefusalReason.UnknownGroup);
		}
		if (client !== undefined && !isIPv4(client)) {
			return badField('client', 'an IPv4 address', RefusalReason.BadRequest);
		}
		return undefined;
	}

	private _hasGroup(group: string): boolean {
		const { table } = this._configuration;
		return table === undefined || table.group(group) !== undefined;
	}

	private _groupNames(): string {
		return this._configuration.table?.groups.map(item => item.name).join(', ') ?? '';
	}

	private async _carry(request: HttpRequest, response: HttpResponse): Promise<void> {
		const requestId = this._newRequestId();
		const labels = { service: '', group: '' };
		try {
			const carried = await this._readRequest(request, response, requestId);
			labels.service = carried.service;
			labels.group = carried.group;
			const sink = new HttpResponseSink(response, requestId);
			const carrier =
				carried.orderKey === undefined ? this._dispatch.dispatch(carried, sink) : this._onceOrders.carry(carried, sink);
			const result = await carrier;
			this._requests.inc({ ...labels, verdict: 'ran', reason: '' });
			this._latency.observe(labels, result.totalMs / MS_PER_SECOND);
			this._burn.record(labels.service, labels.group, response.statusCode >= 500, result.totalMs);
		} catch (error) {
			this._refuse(response, error as Error, requestId, labels);
		}
	}

	private _refuse(
		response: HttpResponse,
		error: Error,
		requestId: string,
		labels: { service: string; group: string }
	): void {
		const refusal = toRequestError(error);
		if (!refusal) {
			this._log.error('request failed', { task: 'callers', requestId, error: error.stack });
		}
		const given = refusal ?? new RequestError('may-have-run', RefusalReason.TargetFailed, 500, 'internal error');
		this._requests.inc({ ...labels, verdict: given.verdict, reason: given.reason });
		if (given.status >= 500 && labels.service !== '') {
			this._burn.record(labels.service, labels.group, true, 0);
		}
		if (response.headersSent) {
			response.destroy();
			return;
		}
		sendVerdict(response, given, requestId);
	}

	private async _readRequest(request: HttpRequest, response: HttpResponse, requestId: string): Promise<CarriedRequest> {
		const arrivedAt = systemClock.now();
		const [, service, path] = OWN_PATH.exec(request.url!) ?? [];
		if (!service || !this._dispatch.hasService(service)) {
			throw badField('service', this._dispatch.services.join(', '), RefusalReason.UnknownService);
		}
		const { group, deadlineMs, orderKey } = readCallerHeaders(request.headers);
		if (!this._configuration.isUsable) {
			throw notReady();
		}
		if (!this._hasGroup(group)) {
			throw badField('Shelffield-Group', this._groupNames(), RefusalReason.UnknownGroup);
		}
		const gone = new AbortController();
		response.once('close', () => !response.writableFinished && gone.abort());
		const hasBody =
			request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
		const body = hasBody ? await readBody(request, this._dispatch.maxBodyBytes(service)) : Buffer.alloc(0);
		return {
			requestId,
			service,
			group,
			method: request.method!,
			path: path ?? '/',
			headers: headersForTarget(request.headers),
			body,
			deadline: arrivedAt + (deadlineMs ?? this._dispatch.defaultDeadlineMs(service)),
			isDeadlineStrict: deadlineMs !== undefined,
			orderKey,
			isRepeatable: orderKey === undefined && isRepeatableMethod(request.method!),
			signal: gone.signal
		};
	}

	private _newRequestId(): string {
		return `${this._instance.name}-${this._idPrefix}-${this._nextId++}`;
	}
}

function textOf(request: HttpRequest, key: string): string | undefined {
	const value = request.query[key];
	return Array.isArray(value) ? value[0] : value;
}

function badField(field: string, allowed: string, reason: RefusalReason): RequestError {
	const status = reason === RefusalReason.BadRequest ? 400 : 404;
	return new RequestError('not-run', reason, status, `${field} is missing or not known; allowed: ${allowed}`);
}

function notReady(): RequestError {
	const message = 'this instance has no configuration yet';
	return new RequestError('not-run', RefusalReason.NoConfiguration, 503, message, NOT_READY_RETRY_MS);
}

function toRequestError(error: Error): RequestError | undefined {
	if (error instanceof RequestError) {
		return error;
	}
	if (error instanceof BodyTooLargeError) {
		return new RequestError('not-run', RefusalReason.BodyTooLarge, 413, `${error.message}, the limit for this service`);
	}
	return undefined;
}

/** Answers with a verdict of the system itself. */
function sendVerdict(response: HttpResponse, error: RequestError, requestId: string): void {
	if (response.destroyed) {
		return;
	}
	response.setHeader('Shelffield-Verdict', error.verdict);
	response.setHeader('Shelffield-Request-Id', requestId);
	if (error.retryAfterMs !== undefined) {
		response.setHeader('Retry-After', Math.ceil(error.retryAfterMs / MS_PER_SECOND));
	}
	if (error.reason === RefusalReason.BodyTooLarge) {
		response.setHeader('Connection', 'close');
	}
	const { verdict, reason, retryAfterMs, message } = error;
	sendJson(response, error.status, { verdict, reason, retryAfterMs, requestId, message });
}
