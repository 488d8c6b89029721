/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A holder that was suspended does not spend credits that the leader has written off meanwhile. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { RenewRequest } from '../common/limitWire.js';
import { CreditHolder } from '../node/creditHolder.js';

const LOG = { info: () => undefined, warn: () => undefined } as unknown as ILogService;
const ONE_REQUEST = { team: 't', needed: 1, returned: 0 };

/** A holder, and a leader that gives what it is asked for while it leads. */
class HolderFixture {
	readonly renewals: RenewRequest[] = [];
	isLeaderAvailable = true;
	wasSuspended = false;
	/** Called while the leader's answer is on its way. */
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
			takeLeap: () => {
				const { wasSuspended: hasLeapt } = this;
				this.wasSuspended = false;
				return hasLeapt;
			}
		}
	);
}

test('credits that were held before a suspension are not spent after it, and go back', async () => {
	const setting = new HolderFixture();
	const { holder } = setting;
	assert.equal((await holder.take(ONE_REQUEST)).granted, 1);
	assert.equal((await holder.take(ONE_REQUEST)).granted, 1, 'of those that are held');
	setting.isLeaderAvailable = false;
	setting.wasSuspended = true;
	assert.deepEqual(await holder.take(ONE_REQUEST), { granted: 0, retryAfterMs: 0 });
	const { received, spent, returned } = setting.renewals.at(-1)!.reports[0]!;
	assert.deepEqual([spent, received - returned], [2, 2]);
	holder.dispose();
});

test('a grant that was on its way during a suspension is not counted', async () => {
	const setting = new HolderFixture();
	const { holder } = setting;
	setting.onRenewal = () => (setting.wasSuspended = true);
	assert.equal((await holder.take(ONE_REQUEST)).granted, 0);
	holder.dispose();
});
