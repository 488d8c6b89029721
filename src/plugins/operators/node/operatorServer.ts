/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The operator port of a control instance: token, limits, and the way to the leader. */

import { createHash, timingSafeEqual } from 'node:crypto';
import { readFileSync, statSync } from 'node:fs';
import { z } from 'zod';
import { Disposable } from '../../../base/disposable.js';
import { type IContribution, ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { addressSchema, integerSchema, pathSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import { HttpListener, type HttpRequest, type HttpResponse, sendJson } from '../../../kernel/node/httpListener.js';
import { readBody } from '../../../kernel/node/readBody.js';
import type { ControlPeerSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { IPeerWire } from '../../../kernel/node/peerWire.js';
import { ISettingsService, registerCrossCheck } from '../../../kernel/node/settingsService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import { forwardMethod, type OperatorRequest, type OperatorResponse } from '../common/operatorApi.js';
import { IOperatorService } from './operatorService.js';

const FORWARD_TIMEOUT_MS = 5000;
const LEADER_POLL_MS = 50;
const OTHERS_MAY_READ = 0o077;
const RETRY_AFTER_MS = 500;
const MS_PER_SECOND = 1000;

/** Section `[operators]`. */
interface OperatorSettings {
	readonly address: string;
	readonly tokenFile: string;
	readonly maxBodyBytes: number;
	readonly maxConnections: number;
	readonly certificateFile: string;
	readonly keyFile: string;
}

settingsRegistry.register({
	name: 'operators',
	named: false,
	kinds: [ProcessKind.Control],
	description: 'The port for operators.',
	keys: {
		address: { schema: addressSchema, description: 'IPv4 address and port; port 0 lets the system choose.' },
		tokenFile: { schema: pathSchema, description: 'File with the bearer token; only its owner may read it.' },
		maxBodyBytes: {
			schema: integerSchema(256, 1048576),
			description: 'Largest body of a request, 256 to 1048576 bytes.',
			default: '65536'
		},
		maxConnections: {
			schema: integerSchema(1, 10000),
			description: 'Most connections at once, 1 to 10000.',
			default: '100'
		},
		certificateFile: { schema: z.string(), description: 'PEM certificate for HTTPS; empty for HTTP.', default: '' },
		keyFile: { schema: z.string(), description: 'PEM private key for HTTPS; empty for HTTP.', default: '' }
	}
});

registerCrossCheck([ProcessKind.Control], settings => {
	const { tokenFile } = settings.section<OperatorSettings>('operators');
	const fault = (message: string) => [{ section: 'operators', key: 'tokenFile', message }];
	try {
		if ((statSync(tokenFile).mode & OTHERS_MAY_READ) !== 0) {
			return fault(`'${tokenFile}' may be read by others than its owner; allowed: mode 0600 or stricter`);
		}
		if (readFileSync(tokenFile, 'utf8').trim() === '') {
			return fault(`'${tokenFile}' is empty; allowed: one line with the token`);
		}
		return [];
	} catch (error) {
		return fault(`'${tokenFile}' cannot be read: ${(error as Error).message}`);
	}
});

function digest(text: string): Buffer {
	return createHash('sha256').update(text).digest();
}

/** The operator port. */
export class OperatorServer extends Disposable implements IContribution {
	private readonly _listener: HttpListener;
	private readonly _settings: OperatorSettings;
	private readonly _controls: ReadonlyMap<string, ControlPeerSettings>;
	private readonly _tokenDigest: Buffer;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IMetricsService metrics: IMetricsService,
		@ILogService private readonly _log: ILogService,
		@IPeerWire private readonly _wire: IPeerWire,
		@IAgreement private readonly _agreement: IAgreement,
		@IOperatorService private readonly _service: IOperatorService
	) {
		super();
		this._settings = settings.section<OperatorSettings>('operators');
		this._controls = settings.namedSections<ControlPeerSettings>('control');
		this._tokenDigest = digest(readFileSync(this._settings.tokenFile, 'utf8').trim());
		this._wire.handleUnary(forwardMethod, request => this._service.answer(request));
		const { address, maxConnections, certificateFile, keyFile } = this._settings;
		this._listener = this._register(
			new HttpListener({
				address,
				maxConnections,
				metrics,
				tls: certificateFile === '' ? undefined : { certificateFile, keyFile },
				isReady: () => this._agreement.status().leader !== undefined,
				onError: error => this._log.error('operator request failed', { task: 'operators', error: error.stack })
			})
		);
		this._listener.onAll('/v1/*', (request, response) => this._handle(request, response));
	}

	async start(): Promise<void> {
		const address = await this._listener.listen();
		this._log.info('operator port open', { task: 'operators', address });
	}

	drain(): Promise<void> {
		return this._listener.finish();
	}

	private async _handle(request: HttpRequest, response: HttpResponse): Promise<void> {
		if (!this._isAuthorized(request.headers.authorization)) {
			const message = 'a bearer token is needed: Authorization: Bearer TOKEN';
			sendJson(response, 401, { code: 'unauthorized', message, field: 'Authorization', verdict: 'not-run' });
			return;
		}
		if (request.method !== 'GET' && request.method !== 'POST') {
			response.setHeader('Allow', 'GET, POST');
			const message = `method ${request.method} is not allowed`;
			sendJson(response, 405, {
				code: 'bad-method',
				message,
				field: 'method',
				allowed: 'GET, POST',
				verdict: 'not-run'
			});
			return;
		}
		const body = await readBody(request, this._settings.maxBodyBytes);
		const parsed = parseJson(body);
		if (!parsed.ok) {
			const message = `the body is not JSON: ${parsed.message}`;
			sendJson(response, 400, { code: 'bad-request', message, field: 'body', allowed: 'JSON', verdict: 'not-run' });
			return;
		}
		const query = Object.fromEntries(Object.entries(request.query).map(([key, value]) => [key, String(value)]));
		const forwarded: OperatorRequest = { method: request.method, path: request.path, query, body: parsed.value };
		this._send(response, await this._answer(forwarded));
	}

	private _isAuthorized(header: string | undefined): boolean {
		const token = /^Bearer (.+)$/.exec(header ?? '')?.[1] ?? '';
		return timingSafeEqual(digest(token), this._tokenDigest);
	}

	/** The leader answers; another instance hands the request on, once. */
	private async _answer(request: OperatorRequest): Promise<OperatorResponse> {
		const { leader, id } = this._agreement.status();
		const peer = leader === undefined ? undefined : this._controls.get(leader);
		if (leader === id || !peer) {
			return this._service.answer(request);
		}
		const isOver = new AbortController();
		try {
			const call = this._wire.call(peer.address, forwardMethod, request, FORWARD_TIMEOUT_MS);
			return await Promise.race([call, this._leaderLost(leader!, isOver.signal)]);
		} catch (error) {
			const message = `the leader ${leader} did not answer: ${(error as Error).message}`;
			const body = { code: 'leader-unreachable', message, verdict: 'may-have-run' };
			return { status: 503, body, retryAfterMs: RETRY_AFTER_MS };
		} finally {
			isOver.abort();
		}
	}

	/** Rejects when another instance leads: one that was frozen or cut off will not answer, and asking again is safe. */
	private async _leaderLost(leader: string, signal: AbortSignal): Promise<never> {
		while (!signal.aborted) {
			await new Promise(resolve => setTimeout(resolve, LEADER_POLL_MS));
			const now = this._agreement.status().leader;
			if (now !== undefined && now !== leader) {
				throw new Error(`${now} leads now`);
			}
		}
		throw new Error('over');
	}

	private _send(response: HttpResponse, answer: OperatorResponse): void {
		if (answer.retryAfterMs !== undefined) {
			response.setHeader('Retry-After', Math.ceil(answer.retryAfterMs / MS_PER_SECOND));
		}
		sendJson(response, answer.status, answer.body);
	}
}

type ParsedJson = { readonly ok: true; readonly value: unknown } | { readonly ok: false; readonly message: string };

function parseJson(body: Buffer): ParsedJson {
	if (body.length === 0) {
		return { ok: true, value: undefined };
	}
	try {
		return { ok: true, value: JSON.parse(body.toString('utf8')) };
	} catch (error) {
		return { ok: false, message: (error as Error).message };
	}
}
