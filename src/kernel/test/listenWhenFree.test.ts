/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Listeners whose address is taken at first, and errors of open ones. */

import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { test } from 'node:test';
import { BodyAccount } from '../common/bodyAccount.js';
import { HttpListener } from '../node/httpListener.js';
import { HttpPeerCalls } from '../node/httpPeerCalls.js';
import { listenWhenFree } from '../node/listenWhenFree.js';
import { MetricsService } from '../node/metricsService.js';
import type { ISettingsService } from '../node/settingsService.js';

const TAKEN_MS = 300;
const LOG = { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined };

/** Takes an address for a while; resolves with it once it is taken. */
async function takeAddress(): Promise<string> {
	const server = createServer();
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()));
	setTimeout(() => server.close(), TAKEN_MS);
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Guards against a process that ends at its start for as long as the one before has not quite ended. */
test('an HTTP listener opens once its address is free', async () => {
	const address = await takeAddress();
	const metrics = new MetricsService();
	const listener = new HttpListener({
		address,
		maxConnections: 1,
		metrics,
		isReady: () => true,
		onError: () => undefined
	});
	assert.equal(await listener.listen(), address);
	listener.dispose();
});

test('the listener for peer calls opens once its address is free', async () => {
	const address = await takeAddress();
	const settings = { section: () => ({ peerAddress: address }) } as unknown as ISettingsService;
	const calls = new HttpPeerCalls(settings, LOG, new BodyAccount(256));
	assert.equal(await calls.listen(), address);
	calls.dispose();
});

test('an address that cannot be used is an error at once', async () => {
	await assert.rejects(
		listenWhenFree(createServer(), '192.0.2.1:1', () => undefined),
		{ code: 'EADDRNOTAVAIL' }
	);
});

/** Guards against a process that ends because a connection could not be accepted. */
test('errors of an open listener are reported', async () => {
	const errors: string[] = [];
	const server: Server = createServer();
	await listenWhenFree(server, '127.0.0.1:0', error => errors.push(error.message));
	server.emit('error', new Error('accept EMFILE'));
	server.emit('error', new Error('accept EMFILE'));
	server.close();
	assert.deepEqual(errors, ['accept EMFILE', 'accept EMFILE']);
});
