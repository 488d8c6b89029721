/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Invalid settings and invalid requests are rejected with an error that names the field and the allowed values. */

import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { request } from 'undici';
import '../../src/bin/allSettings.js';
import { ProcessKind } from '../../src/kernel/common/pluginRegistry.js';
import { parseSettings, SettingsError } from '../../src/kernel/node/settingsService.js';
import { LocalSystem } from '../local/localSystem.js';

const folder = mkdtempSync(join(tmpdir(), 'shelffield-settings-'));
const tokenFile = join(folder, 'token');
const worldReadableTokenFile = join(folder, 'open-token');
const emptyTokenFile = join(folder, 'empty-token');
writeFileSync(tokenFile, 'secret', { mode: 0o600 });
writeFileSync(worldReadableTokenFile, 'secret', { mode: 0o644 });
writeFileSync(emptyTokenFile, '', { mode: 0o600 });

const controlFile = `[instance]
name=c1
hall=h1
region=r1
peerAddress=127.0.0.1:1000
[control.c1]
address=127.0.0.1:1000
hall=h1
[agreement]
dataFolder=/data
[operators]
address=127.0.0.1:1001
tokenFile=${tokenFile}
[group.default]
share=100
`;
const entryFile = `[instance]
name=e1
hall=h1
region=r1
peerAddress=127.0.0.1:2000
[control.c1]
address=127.0.0.1:1000
hall=h1
[callers]
address=127.0.0.1:2001
[platform]
listUrl=http://127.0.0.1:3000/
[service.grower]
deadlineMs=1000
`;

/** A replacement that makes a valid file invalid, and the expected error. */
type SettingsCase = readonly [from: string, to: string, expectedError: RegExp];

const controlCases: readonly SettingsCase[] = [
	['name=c1', 'name=', /\[instance\] name: '' is not allowed; allowed: letters/],
	['name=c1', 'name=c 1', /\[instance\] name: 'c 1' is not allowed/],
	['name=c1', 'name=c2', /\[instance\] name: no section \[control.c2\]/],
	['name=c1\n', '', /\[instance\] name: is missing/],
	['region=r1\n', '', /\[instance\] region: is missing/],
	['region=r1', 'region=r1\nlogLevel=loud', /logLevel: 'loud' is not allowed; allowed: debug, info, warn or error/],
	[
		'peerAddress=127.0.0.1:1000',
		'peerAddress=localhost:1000',
		/peerAddress: 'localhost:1000' is not allowed; allowed: an IPv4/
	],
	['peerAddress=127.0.0.1:1000', 'peerAddress=127.0.0.1:99999', /peerAddress: .* not allowed/],
	['peerAddress=127.0.0.1:1000', 'peerAddress=300.0.0.1:1', /peerAddress: .* not allowed/],
	['hall=h1\n[agreement]', 'hall=h2\n[agreement]', /\[instance\] hall: 'h1' differs from \[control.c1\]/],
	[
		'[agreement]',
		'[control.c2]\naddress=127.0.0.1:1000\nhall=h1\n[agreement]',
		/control.c2\] address: .* is the address of \[control.c1\]/
	],
	['[agreement]', '[agreement]\nunknown=1', /\[agreement\] unknown: unknown key; allowed: dataFolder/],
	[
		'[agreement]',
		'[agreement]\nheartbeatMs=ten',
		/heartbeatMs: 'ten' is not allowed; allowed: a whole number from 20 to 5000/
	],
	['[agreement]', '[agreement]\nheartbeatMs=5', /heartbeatMs: '5' is not allowed/],
	['[agreement]', '[agreement]\nheartbeatMs=10.5', /heartbeatMs: '10.5' is not allowed/],
	['dataFolder=/data', 'dataFolder=', /dataFolder: '' is not allowed; allowed: a path/],
	['[operators]', '[strange]\nx=1\n[operators]', /\[strange\]: unknown section; allowed: .*agreement/],
	['[operators]', '[agreement]\nleaseMs=100\n[operators]', /\[agreement\]: stands twice/],
	[tokenFile, join(folder, 'absent'), /tokenFile: .* cannot be read/],
	[tokenFile, worldReadableTokenFile, /tokenFile: .* may be read by others/],
	[tokenFile, emptyTokenFile, /tokenFile: .* is empty/],
	['share=100', 'share=0', /\[group.default\] share: '0' is not allowed; allowed: a whole number from 1 to 1000/],
	['[group.default]', '[group]', /\[group\] share: needs a name/],
	['[group.default]', '[tls]\ncertificateFile=a\n[group.default]', /\[tls\]: .* needed together/],
	['[instance]', 'loose=1\n[instance]', /\[\] loose: stands outside any section/]
];

const entryCases: readonly SettingsCase[] = [
	['[service.grower]\ndeadlineMs=1000', '', /\[service.NAME\]: is missing/],
	['deadlineMs=1000', 'deadlineMs=-1', /\[service.grower\] deadlineMs: '-1' is not allowed/],
	['deadlineMs=1000', 'retryRatio=2', /retryRatio: '2' is not allowed; allowed: a number from 0 to 1/],
	['deadlineMs=1000', 'retryRatio=', /retryRatio: '' is not allowed/],
	['http://127.0.0.1:3000/', 'ftp://x', /listUrl: 'ftp:\/\/x' is not allowed; allowed: an http/],
	['[control.c1]\naddress=127.0.0.1:1000\nhall=h1', '', /\[control.NAME\]: is missing/]
];

for (const [kind, text, cases] of [
	[ProcessKind.Control, controlFile, controlCases],
	[ProcessKind.Entry, entryFile, entryCases]
] as const) {
	test(`settings of ${kind}: a valid file is accepted, ${cases.length} invalid ones are rejected with the expected error`, () => {
		parseSettings('valid.ini', text, kind);
		for (const [from, to, expectedError] of cases) {
			const invalid = text.replace(from, to);
			assert.notEqual(invalid, text, `replacement '${to}' does not change the file`);
			assert.throws(
				() => parseSettings('invalid.ini', invalid, kind),
				(error: unknown) => error instanceof SettingsError && expectedError.test(error.message),
				`${to} must be rejected with ${expectedError}`
			);
		}
	});
}

test('all errors of a settings file are reported at once', () => {
	const invalid = controlFile.replace('name=c1', 'name=').replace('share=100', 'share=0');
	assert.throws(() => parseSettings('invalid.ini', invalid, ProcessKind.Control), /2 fault\(s\)/);
});

let system: LocalSystem;

before(async () => {
	system = await LocalSystem.start({
		targetsPerService: 6,
		entrySettings: { 'service.grower': { maxBodyBytes: 1000 } }
	});
});

after(async () => {
	await system.stop();
	rmSync(folder, { recursive: true });
});

interface CallerCase {
	readonly path: string;
	readonly headers?: Record<string, string>;
	readonly body?: string;
	readonly status: number;
	readonly expectedBody: RegExp;
}

const groupHeader = { 'shelffield-group': 'growers' };
const callerCases: readonly CallerCase[] = [
	{ path: '/v1/entries', status: 404, expectedBody: /service is missing or not known; allowed: grower, controller/ },
	{ path: '/v1/entries?service=x&group=growers', status: 404, expectedBody: /service/ },
	{
		path: '/v1/entries?service=grower',
		status: 404,
		expectedBody: /group is missing or not known; allowed: controllers, default/
	},
	{ path: '/v1/entries?service=grower&group=x', status: 404, expectedBody: /group/ },
	{
		path: '/v1/entries?service=grower&group=growers&client=x',
		status: 400,
		expectedBody: /client .* allowed: an IPv4 address/
	},
	{ path: '/s/unknown/x', headers: groupHeader, status: 404, expectedBody: /service .* allowed: grower, controller/ },
	{ path: '/s/grower/x', status: 400, expectedBody: /Shelffield-Group/ },
	{ path: '/s/grower/x', headers: { 'shelffield-group': 'a b' }, status: 400, expectedBody: /Shelffield-Group/ },
	{
		path: '/s/grower/x',
		headers: { 'shelffield-group': 'nobody' },
		status: 404,
		expectedBody: /Shelffield-Group .* allowed: controllers/
	},
	{
		path: '/s/grower/x',
		headers: { ...groupHeader, 'shelffield-deadline-ms': 'soon' },
		status: 400,
		expectedBody: /Deadline-Ms .* 1 to 3600000/
	},
	{
		path: '/s/grower/x',
		headers: { ...groupHeader, 'shelffield-deadline-ms': '0' },
		status: 400,
		expectedBody: /Deadline-Ms/
	},
	{
		path: '/s/grower/x',
		headers: { ...groupHeader, 'shelffield-order-key': 'x' },
		status: 400,
		expectedBody: /Order-Key .* YYYY-MM-DD-/
	},
	{
		path: '/s/grower/x',
		headers: { ...groupHeader, 'shelffield-order-key': '2026-02-30-x' },
		status: 400,
		expectedBody: /Order-Key/
	},
	{
		path: '/s/grower/x',
		headers: { ...groupHeader, 'shelffield-order-key': `2026-12-01-${'x'.repeat(200)}` },
		status: 400,
		expectedBody: /200 characters/
	},
	{
		path: '/s/grower/x',
		headers: groupHeader,
		body: 'x'.repeat(1001),
		status: 413,
		expectedBody: /larger than 1000 bytes/
	},
	{ path: '/nowhere', status: 404, expectedBody: /no such page/ }
];

test(`${callerCases.length} invalid requests of callers are rejected without reaching a target, and the instance keeps serving`, async () => {
	const { url } = system.entries[0]!;
	for (const { path, headers, body, status, expectedBody } of callerCases) {
		const response = await request(url + path, { method: body === undefined ? 'GET' : 'POST', headers, body });
		const text = await response.body.text();
		assert.equal(response.statusCode, status, `${path}: ${text}`);
		assert.match(text, expectedBody);
		assert.match(text, /"verdict":"not-run"/);
	}
	assert.ok((await system.journals()).every(journal => journal.runs.length === 0));
	const valid = await request(`${url}/s/grower/x`, { headers: groupHeader });
	assert.equal(valid.statusCode, 200);
	await valid.body.dump();
});

interface OperatorCase {
	readonly body: unknown;
	readonly status: number;
	readonly expectedBody: RegExp;
}

const operatorFields = { operator: 'ana', number: 1 };
const operatorCases: readonly OperatorCase[] = [
	{ body: undefined, status: 400, expectedBody: /"field":"body"/ },
	{ body: { number: 1 }, status: 400, expectedBody: /"field":"operator"/ },
	{ body: { ...operatorFields, number: -1, intent: {} }, status: 400, expectedBody: /"field":"number"/ },
	{ body: { ...operatorFields, number: 1.5, intent: {} }, status: 400, expectedBody: /"field":"number".*whole number/ },
	{
		body: { ...operatorFields, intent: { kind: 'dance' } },
		status: 400,
		expectedBody: /share, cap, prefer, drain, restore/
	},
	{
		body: { ...operatorFields, intent: { kind: 'share', group: 'growers', share: 0 } },
		status: 400,
		expectedBody: /intent.share.*1 to 1000/
	},
	{
		body: { ...operatorFields, intent: { kind: 'share', group: 'growers', share: 1, more: 1 } },
		status: 400,
		expectedBody: /intent.more/
	},
	{
		body: { ...operatorFields, intent: { kind: 'cap', group: 'growers', permille: 100, windowMs: 1 } },
		status: 400,
		expectedBody: /intent.windowMs.*100 to/
	},
	{
		body: { ...operatorFields, intent: { kind: 'drain', scope: 'planet', name: 'x' } },
		status: 400,
		expectedBody: /intent.scope.*target, instance, hall, region/
	},
	{
		body: { ...operatorFields, intent: { kind: 'share', group: 'nobody', share: 1 } },
		status: 409,
		expectedBody: /intent.group.*controllers, default/
	},
	{
		body: { ...operatorFields, intent: { kind: 'prefer', group: 'growers', region: 'moon' } },
		status: 409,
		expectedBody: /intent.region.*central, north, south/
	},
	{
		body: { ...operatorFields, intent: { kind: 'restore', scope: 'hall', name: 'north-1' } },
		status: 409,
		expectedBody: /nothing-to-do/
	}
];

test(`${operatorCases.length} invalid requests of operators are rejected and change nothing`, async () => {
	const leader = await system.leader();
	for (const { body, status, expectedBody } of operatorCases) {
		const response = await system.sendOperatorRequest(leader, 'POST', '/v1/intents', body);
		const text = JSON.stringify(response.body);
		assert.equal(response.status, status, text);
		assert.match(text, expectedBody);
	}
	const confirmed = await system.sendOperatorRequest(leader, 'POST', '/v1/plans/00ff/confirm', {
		...operatorFields,
		digest: '0'.repeat(64)
	});
	assert.equal(confirmed.status, 404);
	const unauthorized = await request(`${leader.url}/v1/status`, { headers: { authorization: 'Bearer wrong' } });
	assert.equal(unauthorized.statusCode, 401);
	await unauthorized.body.dump();
	const status = await system.sendOperatorRequest(leader, 'GET', '/v1/status');
	assert.equal((status.body as { revision: number }).revision, 1);
});
