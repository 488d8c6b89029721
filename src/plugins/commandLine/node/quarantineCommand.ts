/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** `shelffield quarantine`: lists and releases requests that are suspected of stopping targets, or quarantined for it. */

import { request } from 'undici';
import { QUARANTINE_PATH, type QuarantineList } from '../../fleet/common/quarantineApi.js';
import { type CommandArguments, ExitCode, type ICommand, UsageError } from '../common/command.js';
import { UnreachableError } from './operatorConnection.js';
import { formatTable, printResult } from './output.js';

const REQUEST_TIMEOUT_MS = 5000;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const DIGEST_PATTERN = /^[A-Za-z0-9_-]{43}$/;

function parseControlUrl(args: CommandArguments): string {
	const url = args.values['control'];
	if (typeof url !== 'string' || !URL.canParse(url)) {
		throw new UsageError(
			'--control URL is required; allowed: http://ADDRESS:PORT of the metrics listener of a control instance'
		);
	}
	return url.replace(/\/$/, '');
}

async function callControl(method: 'GET' | 'DELETE', url: string): Promise<{ status: number; body: unknown }> {
	try {
		const response = await request(url, {
			method,
			headersTimeout: REQUEST_TIMEOUT_MS,
			bodyTimeout: REQUEST_TIMEOUT_MS
		});
		return { status: response.statusCode, body: await response.body.json() };
	} catch (error) {
		throw new UnreachableError(`${url}: ${(error as Error).message}`);
	}
}

function describeList({ requests }: QuarantineList): string {
	if (requests.length === 0) {
		return 'No request is suspected or quarantined.';
	}
	const rows = requests.map(({ digest, phase, team, runs }) => [
		digest,
		phase,
		team,
		runs.map(run => `${run.requestId} at ${run.targetId}`).join('\n')
	]);
	return formatTable(['request', 'phase', 'team', 'runs lost with their targets'], rows);
}

async function listRequests(args: CommandArguments): Promise<ExitCode> {
	const { status, body } = await callControl('GET', parseControlUrl(args) + QUARANTINE_PATH);
	if (status !== STATUS_OK) {
		throw new UnreachableError(`control instance responded with status ${status}`);
	}
	const quarantineList = body as QuarantineList;
	printResult(args, quarantineList, () => describeList(quarantineList));
	return ExitCode.Done;
}

async function releaseRequest(args: CommandArguments, digest: string | undefined): Promise<ExitCode> {
	if (digest === undefined || !DIGEST_PATTERN.test(digest)) {
		throw new UsageError(`DIGEST '${digest ?? ''}' is not allowed; allowed: 43 letters, digits, - and _, as listed`);
	}
	const { status, body } = await callControl('DELETE', `${parseControlUrl(args)}${QUARANTINE_PATH}/${digest}`);
	if (status !== STATUS_OK && status !== STATUS_NOT_FOUND) {
		throw new UnreachableError(
			`control instance responded with status ${status}; the request may or may not have been released`
		);
	}
	const isReleased = status === STATUS_OK;
	printResult(args, body, () =>
		isReleased ? `${digest} has been released.` : `${digest} is neither suspected nor quarantined.`
	);
	return isReleased ? ExitCode.Done : ExitCode.Refused;
}

/** `shelffield quarantine`. */
export const quarantineCommand: ICommand = {
	name: 'quarantine',
	summary: 'list requests suspected of stopping their targets, or release one',
	usage: 'list | release DIGEST, with --control URL',
	example: 'shelffield quarantine list --control http://10.1.0.37:9464',
	options: { control: { type: 'string' }, json: { type: 'boolean' }, help: { type: 'boolean', short: 'h' } },
	run: args => {
		const [action, digest] = args.positionals;
		switch (action) {
			case 'list':
				return listRequests(args);
			case 'release':
				return releaseRequest(args, digest);
			default:
				throw new UsageError('allowed: quarantine list, quarantine release DIGEST');
		}
	}
};
