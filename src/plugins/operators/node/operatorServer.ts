/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** HTTP listener for operators of a control instance: authenticates requests and forwards them to the leader. */

import { createHash, timingSafeEqual } from 'node:crypto';
import { readFileSync, statSync } from 'node:fs';
import { z } from 'zod';
import { Disposable } from '../../../base/disposable.js';
import { IBodyAccount } from '../../../kernel/common/bodyAccount.js';
import { type IContribution, ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { addressSchema, integerSchema, pathSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import { HttpListener, type HttpRequest, type HttpResponse, sendJson } from '../../../kernel/node/httpListener.js';
import { readBody } from '../../../kernel/node/readBody.js';
import type { ControlPeerSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { IPeerTransport } from '../../../kernel/node/peerTransport.js';
import { ISettingsService, registerCrossCheck } from '../../../kernel/node/settingsService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import { forwardMethod, type OperatorRequest, type OperatorResponse } from '../common/operatorApi.js';
import { IOperatorService } from './operatorService.js';

const LEADER_RESPONSE_TIMEOUT_MS = 5000;
const LEADER_POLL_INTERVAL_MS = 50;
const GROUP_AND_OTHERS_PERMISSIONS = 0o077;
const RETRY_AFTER_MS = 500;
const MS_PER_SECOND = 1000;

/** Settings section `[operators]`. */
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
	description: 'Listener for operators.',
	keys: {
		address: {
			schema: addressSchema,
			description: 'IPv4 address and port; port 0 lets the operating system choose one.'
		},
		tokenFile: { schema: pathSchema, description: 'File with the bearer token; only its owner may read it.' },
		maxBodyBytes: {
			schema: integerSchema(256, 1048576),
			description: 'Maximum size of a request body, 256 to 1048576 bytes.',
			default: '65536'
		},
		maxConnections: {
			schema: integerSchema(1, 10000),
			description: 'Maximum number of concurrent connections, 1 to 10000.',
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
		if ((statSync(tokenFile).mode & GROUP_AND_OTHERS_PERMISSIONS) !== 0) {
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

function sha256(text: string): Buffer {
	return createHash('sha256').update(text).digest();
}

/** Listener for operators. */
export class OperatorServer extends Disposable implements IContribution {
	private readonly _listener: HttpListener;
	private readonly _settings: OperatorSettings;
	private readonly _controlPeers: ReadonlyMap<string, ControlPeerSettings>;
	private readonly _tokenDigest: Buffer;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IMetricsService metrics: IMetricsService,
		@IBodyAccount private readonly _bodyAccount: IBodyAccount,
		@ILogService private readonly _log: ILogService,
		@IPeerTransport private readonly _transport: IPeerTransport,
		@IAgreement private readonly _agreement: IAgreement,
		@IOperatorService private readonly _service: IOperatorService
	) {
		super();
		this._settings = settings.section<OperatorSettings>('operators');
		this._controlPeers = settings.namedSections<ControlPeerSettings>('control');
		this._tokenDigest = sha256(readFileSync(this._settings.tokenFile, 'utf8').trim());
		this._transport.handleUnary(forwardMethod, request => this._service.handleRequest(request));
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
		this._log.info('operator listener started', { task: 'operators', address });
	}

	drain(): Promise<void> {
		return this._listener.drain();
	}

	private async _handle(request: HttpRequest, response: HttpResponse): Promise<void> {
		if (!this._isAuthorized(request.headers.authorization)) {
			const message = 'a valid bearer token is required: Authorization: Bearer TOKEN';
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
		const body = await readBody(request, this._settings.maxBodyBytes, this._bodyAccount);
		const parsed = parseJson(body);
		if (!parsed.ok) {
			const message = `the body is not JSON: ${parsed.message}`;
			sendJson(response, 400, { code: 'bad-request', message, field: 'body', allowed: 'JSON', verdict: 'not-run' });
			return;
		}
		const query = Object.fromEntries(Object.entries(request.query).map(([key, value]) => [key, String(value)]));
		const operatorRequest: OperatorRequest = { method: request.method, path: request.path, query, body: parsed.value };
		this._sendResponse(response, await this._answerOrForward(operatorRequest));
	}

	private _isAuthorized(header: string | undefined): boolean {
		const token = /^Bearer (.+)$/.exec(header ?? '')?.[1] ?? '';
		return timingSafeEqual(sha256(token), this._tokenDigest);
	}

	/** Answers the request if this instance is the leader or knows no other leader; otherwise forwards it to the leader, once. */
	private async _answerOrForward(request: OperatorRequest): Promise<OperatorResponse> {
		const { leader, id, members } = this._agreement.status();
		const peer = leader === undefined ? undefined : this._controlPeers.get(leader);
		const admissions = Object.fromEntries(members.map(member => [member.id, member.admittedAt ?? 0]));
		if (leader === id || !peer) {
			return this._service.handleRequest({ ...request, admissions });
		}
		const abortController = new AbortController();
		try {
			const forwarded = { ...request, admissions };
			const call = this._transport.call(peer.address, forwardMethod, forwarded, LEADER_RESPONSE_TIMEOUT_MS);
			return await Promise.race([call, this._rejectOnLeaderChange(leader!, abortController.signal)]);
		} catch (error) {
			const message = `the leader ${leader} did not respond: ${(error as Error).message}`;
			const body = { code: 'leader-unreachable', message, verdict: 'may-have-run' };
			return { status: 503, body, retryAfterMs: RETRY_AFTER_MS };
		} finally {
			abortController.abort();
		}
	}

	/**
	 * Rejects when another instance becomes the leader: the previous one may be suspended or partitioned and never respond.
	 * The operator can safely send the request again.
	 */
	private async _rejectOnLeaderChange(leader: string, signal: AbortSignal): Promise<never> {
		while (!signal.aborted) {
			await new Promise(resolve => setTimeout(resolve, LEADER_POLL_INTERVAL_MS));
			const now = this._agreement.status().leader;
			if (now !== undefined && now !== leader) {
				throw new Error(`${now} has become the leader`);
			}
		}
		throw new Error('the forwarded request has been settled');
	}

	private _sendResponse(response: HttpResponse, operatorResponse: OperatorResponse): void {
		if (operatorResponse.retryAfterMs !== undefined) {
			response.setHeader('Retry-After', Math.ceil(operatorResponse.retryAfterMs / MS_PER_SECOND));
		}
		sendJson(response, operatorResponse.status, operatorResponse.body);
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
