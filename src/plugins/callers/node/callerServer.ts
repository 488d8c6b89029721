/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The HTTP server of an entry instance for callers: look-ups of entry instances and requests to services. */

import { createHash, randomUUID } from 'node:crypto';
import { isIPv4 } from 'node:net';
import { Counter, Histogram } from 'prom-client';
import { systemClock } from '../../../base/clock.js';
import { Disposable } from '../../../base/disposable.js';
import { RefusalReason, RequestError } from '../../../base/verdict.js';
import { IBodyAccount } from '../../../kernel/common/bodyAccount.js';
import { IEventLoopMonitor } from '../../../kernel/common/eventLoopMonitor.js';
import { type IContribution, ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { addressSchema, integerSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import type { ArrivalTimes } from '../../../kernel/node/arrivalTimes.js';
import { HttpListener, type HttpRequest, type HttpResponse } from '../../../kernel/node/httpListener.js';
import { BodyEvictedError } from '../../../kernel/node/bodyEvictedError.js';
import { BodyTooLargeError } from '../../../kernel/node/bodyTooLargeError.js';
import { readBody } from '../../../kernel/node/readBody.js';
import type { InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { IPeerTransport } from '../../../kernel/node/peerTransport.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IBurnRecorder } from '../../burn/common/burnRecorder.js';
import { IEntryConfiguration } from '../../configuration/common/entryConfiguration.js';
import { type DispatchRequest, IDispatch } from '../../dispatch/common/dispatch.js';
import { IAtMostOnceDispatch } from '../../once/common/atMostOnceDispatch.js';
import { ISteering } from '../../steering/common/steering.js';
import { headersForTarget, isIdempotentMethod, readCallerHeaders } from '../common/callerHeaders.js';
import { HttpResponseSink } from './httpResponseSink.js';
import { sendRequestError } from './requestErrorResponse.js';

const MS_PER_SECOND = 1000;
const ETAG_LENGTH = 16;
const NOT_READY_RETRY_AFTER_MS = 500;
const EVICTED_RETRY_AFTER_MS = 500;
const READY_POLL_INTERVAL_MS = 20;
/** Time after which an instance starts even if its services have no targets. */
const READY_TIMEOUT_MS = 6000;
const LATENCY_BUCKETS_SECONDS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];
const SERVICE_PATH_PATTERN = /^\/s\/([^/]+)(\/.*)?$/;

/** Section `[callers]`. */
interface CallerSettings {
	readonly address: string;
	readonly maxConnections: number;
}

settingsRegistry.register({
	name: 'callers',
	named: false,
	kinds: [ProcessKind.Entry],
	description: 'HTTP listener for callers.',
	keys: {
		address: {
			schema: addressSchema,
			description: 'IPv4 address and port of the listener; port 0 lets the operating system choose one.'
		},
		maxConnections: {
			schema: integerSchema(1, 100000),
			description: 'Maximum number of concurrent connections, 1 to 100000.',
			default: '10000'
		}
	}
});

/** Serves look-ups and requests of callers. */
export class CallerServer extends Disposable implements IContribution {
	private readonly _listener: HttpListener;
	private readonly _arrivalTimes: ArrivalTimes;
	private readonly _instance: InstanceSettings;
	private readonly _requestsTotal: Counter<'service' | 'group' | 'verdict' | 'reason'>;
	private readonly _requestSeconds: Histogram<'service' | 'group'>;
	private readonly _lookupsTotal: Counter;
	private readonly _idPrefix = randomUUID().slice(0, 8);
	private _nextId = 0;
	private _isDraining = false;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IMetricsService metrics: IMetricsService,
		@IBodyAccount private readonly _bodyAccount: IBodyAccount,
		@IEventLoopMonitor eventLoopMonitor: IEventLoopMonitor,
		@ILogService private readonly _log: ILogService,
		@IPeerTransport private readonly _transport: IPeerTransport,
		@IEntryConfiguration private readonly _configuration: IEntryConfiguration,
		@ISteering private readonly _steering: ISteering,
		@IDispatch private readonly _dispatch: IDispatch,
		@IAtMostOnceDispatch private readonly _atMostOnceDispatch: IAtMostOnceDispatch,
		@IBurnRecorder private readonly _burnRecorder: IBurnRecorder
	) {
		super();
		this._instance = settings.section<InstanceSettings>('instance');
		const { address, maxConnections } = settings.section<CallerSettings>('callers');
		this._listener = this._register(
			new HttpListener({
				address,
				maxConnections,
				metrics,
				isReady: () => this._configuration.isUsable && this._dispatch.isReady() && !this._isDraining,
				onError: error => this._log.error('request failed', { task: 'callers', error: error.stack })
			})
		);
		this._arrivalTimes = this._listener.recordArrivals(eventLoopMonitor);
		this._listener.on('GET', '/v1/entries', (request, response) => this._lookUp(request, response));
		this._listener.onAll('/s/*', (request, response) => this._handleRequest(request, response));
		this._configuration.addReportPart(() => ({ leaving: this._isDraining }));
		const registers = [metrics.registry];
		this._requestsTotal = new Counter({
			name: 'shelffield_requests_total',
			help: 'Requests of callers by verdict and refusal reason',
			labelNames: ['service', 'group', 'verdict', 'reason'],
			registers
		});
		this._requestSeconds = new Histogram({
			name: 'shelffield_request_seconds',
			help: 'Time from the arrival of a request until its response was complete, for requests that ran',
			labelNames: ['service', 'group'],
			buckets: LATENCY_BUCKETS_SECONDS,
			registers
		});
		this._lookupsTotal = new Counter({
			name: 'shelffield_lookups_total',
			help: 'Look-ups of entry instances that were answered',
			registers
		});
	}

	async start(): Promise<void> {
		const peerAddress = await this._transport.listen();
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
		await this._waitUntilReady();
	}

	/**
	 * Withdraws this instance from look-ups, serves until cached look-ups have expired, then stops accepting requests and
	 * waits for those in flight.
	 */
	async drain(): Promise<void> {
		this._isDraining = true;
		this._configuration.reportNow();
		await new Promise(resolve => setTimeout(resolve, this._steering.lookupTtlMs));
		await this._listener.drain();
	}

	private async _waitUntilReady(): Promise<void> {
		const deadline = systemClock.now() + READY_TIMEOUT_MS;
		const isReady = (): boolean => this._configuration.isUsable && this._dispatch.isReady();
		while (!isReady() && systemClock.now() < deadline) {
			await new Promise(resolve => setTimeout(resolve, READY_POLL_INTERVAL_MS));
		}
	}

	private _lookUp(request: HttpRequest, response: HttpResponse): void {
		const service = firstQueryValue(request, 'service');
		const group = firstQueryValue(request, 'group');
		const client = firstQueryValue(request, 'client') ?? request.socket.remoteAddress ?? '';
		const requestError = this._validateLookUp(service, group, firstQueryValue(request, 'client'));
		if (requestError) {
			sendRequestError(response, requestError, this._newRequestId());
			return;
		}
		const lookupResult = this._steering.lookUp(service!, group!, client);
		if (!lookupResult) {
			sendRequestError(response, notReadyError(), this._newRequestId());
			return;
		}
		this._lookupsTotal.inc();
		const body = JSON.stringify(lookupResult);
		const etag = `"${createHash('sha1').update(body).digest('hex').slice(0, ETAG_LENGTH)}"`;
		response.setHeader('Cache-Control', `max-age=${lookupResult.ttlSeconds}`);
		response.setHeader('ETag', etag);
		if (request.headers['if-none-match'] === etag) {
			response.statusCode = 304;
			response.end();
			return;
		}
		response.setHeader('Content-Type', 'application/json');
		response.setHeader('Content-Length', Buffer.byteLength(body));
		response.end(body);
	}

	private _validateLookUp(service?: string, group?: string, client?: string): RequestError | undefined {
		if (service === undefined || !this._dispatch.hasService(service)) {
			return invalidFieldError('service', this._dispatch.services.join(', '), RefusalReason.UnknownService);
		}
		if (group === undefined || !this._hasGroup(group)) {
			return invalidFieldError('group', this._groupNames(), RefusalReason.UnknownGroup);
		}
		if (client !== undefined && !isIPv4(client)) {
			return invalidFieldError('client', 'an IPv4 address', RefusalReason.BadRequest);
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

	private async _handleRequest(request: HttpRequest, response: HttpResponse): Promise<void> {
		const requestId = this._newRequestId();
		const labels = { service: '', group: '' };
		try {
			const dispatchRequest = await this._readRequest(request, response, requestId);
			labels.service = dispatchRequest.service;
			labels.group = dispatchRequest.group;
			const sink = new HttpResponseSink(response, requestId);
			const pendingResult =
				dispatchRequest.orderKey === undefined
					? this._dispatch.dispatch(dispatchRequest, sink)
					: this._atMostOnceDispatch.dispatch(dispatchRequest, sink);
			const result = await pendingResult;
			this._requestsTotal.inc({ ...labels, verdict: 'ran', reason: '' });
			this._requestSeconds.observe(labels, result.totalMs / MS_PER_SECOND);
			this._burnRecorder.record(labels.service, labels.group, response.statusCode >= 500, result.totalMs);
		} catch (error) {
			this._handleError(response, error as Error, requestId, labels);
		}
	}

	private _handleError(
		response: HttpResponse,
		error: Error,
		requestId: string,
		labels: { service: string; group: string }
	): void {
		const knownError = toRequestError(error);
		if (!knownError) {
			this._log.error('request failed', { task: 'callers', requestId, error: error.stack });
		}
		const requestError =
			knownError ?? new RequestError('may-have-run', RefusalReason.TargetFailed, 500, 'internal error');
		this._requestsTotal.inc({ ...labels, verdict: requestError.verdict, reason: requestError.reason });
		if (requestError.status >= 500 && labels.service !== '') {
			this._burnRecorder.record(labels.service, labels.group, true, 0);
		}
		if (response.headersSent) {
			response.destroy();
			return;
		}
		if (error instanceof BodyEvictedError) {
			response.setHeader('Connection', 'close');
		}
		sendRequestError(response, requestError, requestId);
	}

	private async _readRequest(
		request: HttpRequest,
		response: HttpResponse,
		requestId: string
	): Promise<DispatchRequest> {
		const arrivedAt = this._arrivalTimes.arrivedAt(request);
		const [, service, path] = SERVICE_PATH_PATTERN.exec(request.url!) ?? [];
		if (!service || !this._dispatch.hasService(service)) {
			throw invalidFieldError('service', this._dispatch.services.join(', '), RefusalReason.UnknownService);
		}
		const { group, deadlineMs, orderKey } = readCallerHeaders(request.headers);
		if (!this._configuration.isUsable) {
			throw notReadyError();
		}
		if (!this._hasGroup(group)) {
			throw invalidFieldError('Shelffield-Group', this._groupNames(), RefusalReason.UnknownGroup);
		}
		const disconnected = new AbortController();
		response.once('close', () => !response.writableFinished && disconnected.abort());
		const hasBody =
			request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
		const body = hasBody
			? await readBody(request, this._dispatch.maxBodyBytes(service), this._bodyAccount)
			: Buffer.alloc(0);
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
			isRepeatable: orderKey === undefined && isIdempotentMethod(request.method!),
			signal: disconnected.signal
		};
	}

	private _newRequestId(): string {
		return `${this._instance.name}-${this._idPrefix}-${this._nextId++}`;
	}
}

function firstQueryValue(request: HttpRequest, key: string): string | undefined {
	const value = request.query[key];
	return Array.isArray(value) ? value[0] : value;
}

function invalidFieldError(field: string, allowed: string, reason: RefusalReason): RequestError {
	const status = reason === RefusalReason.BadRequest ? 400 : 404;
	return new RequestError('not-run', reason, status, `${field} is missing or not known; allowed: ${allowed}`);
}

function notReadyError(): RequestError {
	const message = 'this instance has not received its configuration yet';
	return new RequestError('not-run', RefusalReason.NoConfiguration, 503, message, NOT_READY_RETRY_AFTER_MS);
}

function toRequestError(error: Error): RequestError | undefined {
	if (error instanceof RequestError) {
		return error;
	}
	if (error instanceof BodyTooLargeError) {
		return new RequestError('not-run', RefusalReason.BodyTooLarge, 413, `${error.message}, the limit for this service`);
	}
	if (error instanceof BodyEvictedError) {
		return new RequestError('not-run', RefusalReason.NoCapacity, 503, error.message, EVICTED_RETRY_AFTER_MS);
	}
	return undefined;
}
