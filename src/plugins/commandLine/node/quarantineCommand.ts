/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** `shelffield quarantine`: requests that end targets. */

import { request } from 'undici';
import { QUARANTINE_PATH, type QuarantineList } from '../../fleet/common/quarantineApi.js';
import { type CommandArguments, ExitCode, type ICommand, UsageError } from '../common/command.js';
import { UnreachableError } from './operatorConnection.js';
import { print, table } from './output.js';

const TIMEOUT_MS = 5000;
const STATUS_OK = 200;
const STATUS_UNKNOWN = 404;
const DIGEST_PATTERN = /^[A-Za-z0-9_-]{43}$/;

function controlUrl(args: CommandArguments): string {
	const url = args.values['control'];
	if (typeof url !== 'string' || !URL.canParse(url)) {
		throw new UsageError('--control URL is needed; allowed: http://ADDRESS:PORT of the metrics of a control instance');
	}
	return url.replace(/\/$/, '');
}

async function ask(method: 'GET' | 'DELETE', url: string): Promise<{ status: number; body: unknown }> {
	try {
		const answer = await request(url, { method, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS });
		return { status: answer.statusCode, body: await answer.body.json() };
	} catch (error) {
		throw new UnreachableError(`${url}: ${(error as Error).message}`);
	}
}

function describe({ requests }: QuarantineList): string {
	if (requests.length === 0) {
		return 'No request is suspected or quarantined.';
	}
	const rows = requests.map(({ digest, phase, team, runs }) => [
		digest,
		phase,
		team,
		runs.map(run => `${run.requestId} at ${run.targetId}`).join('\n')
	]);
	return table(['request', 'phase', 'team', 'targets that ended'], rows);
}

async function list(args: CommandArguments): Promise<ExitCode> {
	const { status, body } = await ask('GET', controlUrl(args) + QUARANTINE_PATH);
	if (status !== STATUS_OK) {
		throw new UnreachableError(`control answered ${status}`);
	}
	const known = body as QuarantineList;
	print(args, known, () => describe(known));
	return ExitCode.Done;
}

async function release(args: CommandArguments, digest: string | undefined): Promise<ExitCode> {
	if (digest === undefined || !DIGEST_PATTERN.test(digest)) {
		throw new UsageError(`DIGEST '${digest ?? ''}' is not allowed; allowed: 43 letters, digits, - and _, as listed`);
	}
	const { status, body } = await ask('DELETE', `${controlUrl(args)}${QUARANTINE_PATH}/${digest}`);
	if (status !== STATUS_OK && status !== STATUS_UNKNOWN) {
		throw new UnreachableError(`control answered ${status}; the request may or may not be let in`);
	}
	const isReleased = status === STATUS_OK;
	print(args, body, () => (isReleased ? `${digest} is let in again.` : `Nothing was known of ${digest}.`));
	return isReleased ? ExitCode.Done : ExitCode.Refused;
}

/** `shelffield quarantine`. */
export const quarantineCommand: ICommand = {
	name: 'quarantine',
	summary: 'list the requests that ended targets, or let one in again',
	usage: 'list | release DIGEST, with --control URL',
	example: 'shelffield quarantine list --control http://10.1.0.37:9464',
	options: { control: { type: 'string' }, json: { type: 'boolean' }, help: { type: 'boolean', short: 'h' } },
	run: args => {
		const [action, digest] = args.positionals;
		switch (action) {
			case 'list':
				return list(args);
			case 'release':
				return release(args, digest);
			default:
				throw new UsageError('allowed: quarantine list, quarantine release DIGEST');
		}
	}
};
