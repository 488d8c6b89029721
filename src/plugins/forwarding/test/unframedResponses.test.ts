/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Which responses of targets end with their connection, and which ones state no end that can be relied on. */

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { RawTarget } from './rawTarget.js';

const target = new RawTarget();

/** Whether the response goes on as one that ends with its connection; undefined where it is broken. */
async function endsWithConnection(method: string, text: string): Promise<boolean | undefined> {
	const outcome = await target.attempt(method, text);
	return outcome.type === 'answer' ? outcome.endsWithConnection : undefined;
}

before(() => target.listen());

after(() => target.close());

test('a body whose last transfer coding is not chunked ends with its connection', async () => {
	for (const coding of ['identity', 'gzip', 'chunked, gzip']) {
		assert.equal(await endsWithConnection('GET', `Transfer-Encoding: ${coding}\r\n\r\nhalf`), true, coding);
	}
});

test('a body with a length or chunks does not end with its connection', async () => {
	assert.equal(await endsWithConnection('GET', 'Content-Length: 4\r\n\r\nbody'), false);
	assert.equal(
		await endsWithConnection('GET', 'Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'),
		false
	);
});

test('a response with a length and chunks, with two lengths, or less than its length is broken', async () => {
	for (const text of [
		'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
		'Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
		'Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody',
		'Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody',
		'Content-Length: 4, 4\r\n\r\nbody',
		'Content-Length: 9\r\n\r\nbody'
	]) {
		assert.equal(await endsWithConnection('GET', text), undefined, text);
	}
});
