/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A new leader must not drop the loads of instances that have not reported to it yet. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Emitter } from '../../../base/event.js';
import type { IPeerTransport } from '../../../kernel/node/peerTransport.js';
import type { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { IAgreement } from '../../agreement/common/agreement.js';
import type { EntryReport, RegionLoads } from '../common/entryReport.js';
import { EntryMembershipTask } from '../node/entryMembershipTask.js';

const SETTINGS: ISettingsService = {
	section: <T>() => ({ name: 'c1' }) as T,
	namedSections: <T>() => new Map([['c2', { address: 'c2:1' }]]) as unknown as ReadonlyMap<string, T>,
	reload: () => []
};

/** Loads published by the previous leader: two instances of a region, of which the second has all the slots. */
const PREVIOUS_LOADS: readonly RegionLoads[] = [
	{ region: 'north', services: [{ service: 'grower', instances: ['e1', 'e2'], slots: [0, 6], used: [0, 1] }] }
];

function reportOf(instance: string, slots: number): EntryReport {
	return {
		identity: { instance, hall: 'north-1', region: 'north', url: '', peerAddress: '', incarnation: '1' },
		revisionInForce: 0,
		provisional: false,
		leaving: false,
		capacity: [{ service: 'grower', slots, used: 0 }],
		demand: [],
		failures: 0,
		answers: 0
	};
}

/** Follows `c2` until `isLeading` is set. */
class FakeAgreement {
	isLeading = false;
	readonly onDidChangeLeadership = new Emitter<boolean>().event;

	hasLease(): boolean {
		return this.isLeading;
	}

	status(): { term: number; leader: string } {
		return { term: this.isLeading ? 2 : 1, leader: this.isLeading ? 'c1' : 'c2' };
	}
}

test('a new leader keeps the loads of instances that have not reported to it yet', async t => {
	const agreement = new FakeAgreement();
	let markExchanged!: () => void;
	const exchanged = new Promise<void>(resolve => (markExchanged = resolve));
	const transport = {
		handleUnary: () => undefined,
		call: async () => {
			setImmediate(markExchanged);
			const entries = ['e1', 'e2'].map(instance => ({ identity: reportOf(instance, 0).identity, leaving: false }));
			return { isLeader: true, directory: { term: 1, version: 1, entries }, loads: PREVIOUS_LOADS };
		}
	} as unknown as IPeerTransport;
	const task = new EntryMembershipTask(SETTINGS, transport, agreement as unknown as IAgreement);
	t.after(() => task.dispose());
	await exchanged;
	const tookOver = new Promise<void>(resolve => {
		task.onDidChangeDirectory(directory => directory.term === 2 && resolve());
	});
	agreement.isLeading = true;
	task.addReport(reportOf('e1', 0));
	await tookOver;
	const [loads] = task.loads.find(item => item.region === 'north')!.services;
	assert.deepEqual(loads, { service: 'grower', instances: ['e1', 'e2'], slots: [0, 6], used: [0, 1] });
});
