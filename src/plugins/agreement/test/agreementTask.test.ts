/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Queries of a replica whose log is still being opened. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import { MetricsService } from '../../../kernel/node/metricsService.js';
import type { ISettingsService } from '../../../kernel/node/settingsService.js';
import { AgreementTask } from '../node/agreementTask.js';

const SETTINGS: ISettingsService = {
	section: <T>() => ({ seeds: [], firstStart: false, peerAddress: '127.0.0.1:0', name: 'c1' }) as T,
	namedSections: <T>(): ReadonlyMap<string, T> => new Map(),
	reload: () => []
};

test('before its log is open a replica has no lease and no contact with a leader', () => {
	const calls = { handleUnary: () => undefined } as unknown as IPeerCalls;
	const task = new AgreementTask(SETTINGS, calls, {} as ILogService, new MetricsService());
	assert.equal(task.hasLease(), false);
	assert.equal(task.contactAgeMs(), Number.POSITIVE_INFINITY);
	task.dispose();
});

/** Guards against an error that stops the process when another part queries the status before the log is open. */
test('before its log is open a replica reports the role follower without a leader and without members', () => {
	const calls = { handleUnary: () => undefined } as unknown as IPeerCalls;
	const task = new AgreementTask(SETTINGS, calls, {} as ILogService, new MetricsService());
	const { id, role, term, leader, members } = task.status();
	assert.deepEqual(
		{ id, role, term, leader, members },
		{ id: 'c1', role: 'follower', term: 0, leader: undefined, members: [] }
	);
	task.dispose();
});
