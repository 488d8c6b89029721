/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * HTTP client for the operator API of the control instances. A request without a conclusive response is sent again with the
 * same number, so that it takes effect only once.
 */

import { readFileSync } from 'node:fs';
import { Agent, request } from 'undici';
import { z } from 'zod';
import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { nameSchema, pathSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import { readSettings } from '../../../kernel/node/settingsService.js';
import type { OperatorErrorBody } from '../../operators/common/operatorApi.js';
import { type CommandArguments, UsageError } from '../common/command.js';

const MAX_ATTEMPTS = 10;
const RETRY_INTERVAL_MS = 300;
const REQUEST_TIMEOUT_MS = 6000;
const SETTINGS_FILE_VARIABLE = 'SHELFFIELD_SETTINGS';

/** Settings section `[operator]`. */
interface OperatorSettings {
	readonly name: string;
	readonly control: readonly string[];
	readonly tokenFile: string;
	readonly authorityFile: string;
}

const urlListSchema = z
	.string()
	.transform(text => text.split(',').map(item => item.trim()))
	.refine(urls => urls.every(url => URL.canParse(url)), 'a comma-separated list of URLs');

settingsRegistry.register({
	name: 'operator',
	named: false,
	kinds: [ProcessKind.CommandLine],
	description: 'Identity of the operator, and addresses of the control instances.',
	keys: {
		name: {
			schema: nameSchema,
			description: 'Name of the operator; together with the number of a request it identifies the request.'
		},
		control: { schema: urlListSchema, description: 'Comma-separated operator URLs of the control instances.' },
		tokenFile: { schema: pathSchema, description: 'File with the bearer token.' },
		authorityFile: {
			schema: z.string(),
			description:
				'PEM certificates of the authorities that HTTPS servers are verified against; empty for the default ones.',
			default: ''
		}
	}
});

/** No control instance gave a conclusive response; the request may have taken effect. */
export class UnreachableError extends Error {}

/** An error response that is conclusive: the request was refused. */
export class RefusedError extends Error {
	constructor(
		readonly status: number,
		readonly body: OperatorErrorBody
	) {
		super(body.message);
	}
}

/** Sends requests to the control instances in turn until one responds conclusively. */
export class OperatorConnection {
	private readonly _settings: OperatorSettings;
	private readonly _token: string;
	private readonly _dispatcher?: Agent;
	private _controlIndex = 0;

	constructor(args: CommandArguments) {
		const file = (args.values['settings'] as string | undefined) ?? process.env[SETTINGS_FILE_VARIABLE];
		if (!file) {
			throw new UsageError(`--settings FILE or the environment variable ${SETTINGS_FILE_VARIABLE} is required`);
		}
		this._settings = readSettings(file, ProcessKind.CommandLine).section<OperatorSettings>('operator');
		this._token = readFileSync(this._settings.tokenFile, 'utf8').trim();
		if (this._settings.authorityFile !== '') {
			this._dispatcher = new Agent({ connect: { ca: readFileSync(this._settings.authorityFile) } });
		}
	}

	get operator(): string {
		return this._settings.name;
	}

	/**
	 * Sends a request; tries the next control instance after a failure or a response with status 503.
	 * @throws RefusedError for any other error response
	 * @throws UnreachableError if all attempts fail
	 */
	async send<T>(method: 'GET' | 'POST', path: string, body?: unknown): Promise<T> {
		let lastError = 'no response';
		for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
			const controlUrl = this._settings.control[this._controlIndex % this._settings.control.length]!;
			try {
				const response = await this._sendOnce(controlUrl + path, method, body);
				if (response.status < 300) {
					return response.body as T;
				}
				const error = response.body as OperatorErrorBody;
				if (response.status !== 503) {
					throw new RefusedError(response.status, error);
				}
				lastError = error.message;
			} catch (error) {
				if (error instanceof RefusedError) {
					throw error;
				}
				lastError = (error as Error).message;
			}
			this._controlIndex++;
			await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS));
		}
		throw new UnreachableError(`no control instance gave a conclusive response: ${lastError}`);
	}

	private async _sendOnce(
		url: string,
		method: 'GET' | 'POST',
		body: unknown
	): Promise<{ status: number; body: unknown }> {
		const response = await request(url, {
			method,
			dispatcher: this._dispatcher,
			headers: { authorization: `Bearer ${this._token}`, 'content-type': 'application/json' },
			body: body === undefined ? undefined : JSON.stringify(body),
			headersTimeout: REQUEST_TIMEOUT_MS,
			bodyTimeout: REQUEST_TIMEOUT_MS
		});
		return { status: response.statusCode, body: await response.body.json() };
	}
}

/** The request number given by `--number`; the current time in milliseconds by default. */
export function parseRequestNumber(args: CommandArguments): number {
	const text = args.values['number'] as string | undefined;
	if (text === undefined) {
		return Date.now();
	}
	if (!/^\d{1,15}$/.test(text)) {
		throw new UsageError(
			`--number '${text}' is not allowed; allowed: a whole number, 0 or more, with at most 15 digits`
		);
	}
	return Number(text);
}
