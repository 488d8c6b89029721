/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A holder that was suspended must not spend credits that the leader has counted as spent meanwhile. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ILogService } from '../../../kernel/node/logService.js';
import { MAX_RETURN_AGE_MS } from '../common/limitPolicy.js';
import type { CreditSource, RenewRequest } from '../common/limitWire.js';
import { CreditHolder } from '../node/creditHolder.js';

const LOG = { info: () => undefined, warn: () => undefined } as unknown as ILogService;
const ONE_REQUEST = { team: 't', needed: 1, returned: 0 };

/** A holder, and a leader that grants what is requested while it is available. */
class HolderFixture {
	readonly renewals: RenewRequest[] = [];
	isLeaderAvailable = true;
	wasSuspended = false;
	/** Called while the leader's response is in transit. */
	onRenewal = (): void => undefined;
	readonly holder = new CreditHolder(
		'h',
		async request => {
			this.renewals.push(request);
			this.onRenewal();
			return this.isLeaderAvailable
				? request.reports.map(({ needed, ahead }) => ({ granted: needed + ahead + 5, roomInMs: 0 }))
				: undefined;
		},
		() => ({ perSecond: 10, burst: 10 }),
		LOG,
		{
			detectSuspension: () => {
				const { wasSuspended } = this;
				this.wasSuspended = false;
				return wasSuspended;
			}
		}
	);
}

test('credits held before a suspension are not spent after it, and are returned', async () => {
	const fixture = new HolderFixture();
	const { holder } = fixture;
	assert.equal((await holder.take(ONE_REQUEST)).granted, 1);
	assert.equal((await holder.take(ONE_REQUEST)).granted, 1, 'from held credits');
	fixture.isLeaderAvailable = false;
	fixture.wasSuspended = true;
	assert.deepEqual(await holder.take(ONE_REQUEST), { granted: 0, retryAfterMs: 0 });
	const { received, spent, returned } = fixture.renewals.at(-1)!.reports[0]!;
	assert.deepEqual([spent, received - returned], [2, 2]);
	holder.dispose();
});

/** Guards against credits that a delayed call takes back after they have left the window, or at another holder. */
test('returned credits are accepted by the holder that granted them, and only for some time', async t => {
	const { holder, renewals } = new HolderFixture();
	let now = 100_000;
	t.mock.method(performance, 'now', () => now);
	const { source } = await holder.take(ONE_REQUEST);
	const givenBackAfter = async (returnedFrom: CreditSource | undefined, ageMs: number): Promise<number> => {
		now += ageMs;
		await holder.take({ ...ONE_REQUEST, returned: 1, returnedFrom });
		await holder.release();
		return renewals.at(-1)!.reports[0]!.givenBack!;
	};
	assert.equal(await givenBackAfter({ ...source!, holder: 'another' }, 0), 0);
	assert.equal(await givenBackAfter(undefined, 0), 0);
	assert.equal(await givenBackAfter(source, MAX_RETURN_AGE_MS), 1);
	assert.equal(await givenBackAfter(source, 1), 1);
	holder.dispose();
});

test('a grant in transit during a suspension is ignored', async () => {
	const fixture = new HolderFixture();
	const { holder } = fixture;
	fixture.onRenewal = () => (fixture.wasSuspended = true);
	assert.equal((await holder.take(ONE_REQUEST)).granted, 0);
	holder.dispose();
});
