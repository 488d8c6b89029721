/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A replica whose log is still being opened: other parts of the process may ask it already. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { ISettingsService } from '../../../kernel/node/settingsService.js';
import { AgreementTask } from '../node/agreementTask.js';

const SETTINGS: ISettingsService = {
	section: <T>() => ({ seeds: [], firstStart: false, peerAddress: '127.0.0.1:0', name: 'c1' }) as T,
	namedSections: <T>(): ReadonlyMap<string, T> => new Map(),
	reload: () => []
};

test('before its log is open a replica leads nothing and is in touch with nobody', () => {
	const calls = { handleUnary: () => undefined } as unknown as IPeerCalls;
	const task = new AgreementTask(SETTINGS, calls, {} as ILogService);
	assert.equal(task.hasLease(), false);
	assert.equal(task.contactAgeMs(), Number.POSITIVE_INFINITY);
	task.dispose();
});

/**
 * A timer of another part asked for the state while a slow disk still opened the log; the error ended the process, and
 * whoever waited for it to vote again waited without end.
 */
test('before its log is open a replica tells that it follows nobody and knows no members', () => {
	const calls = { handleUnary: () => undefined } as unknown as IPeerCalls;
	const task = new AgreementTask(SETTINGS, calls, {} as ILogService);
	const { id, role, term, leader, members } = task.status();
	assert.deepEqual(
		{ id, role, term, leader, members },
		{ id: 'c1', role: 'follower', term: 0, leader: undefined, members: [] }
	);
	task.dispose();
});
