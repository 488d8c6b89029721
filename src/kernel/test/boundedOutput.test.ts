/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Logs never hold a process up: a reader that is slow or gone costs lines. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BoundedOutput, type OutputTarget } from '../node/boundedOutput.js';

class StandIn implements OutputTarget {
	writableLength = 0;
	destroyed = false;
	readonly lines: string[] = [];
	private _onError?: (error: Error) => void;

	write(text: string): boolean {
		this.lines.push(text);
		return true;
	}

	on(_event: 'error', listener: (error: Error) => void): void {
		this._onError = listener;
	}

	fail(): void {
		this._onError?.(new Error('write EPIPE'));
	}
}

test('lines are left out while the reader is behind, and their number is told afterwards', () => {
	const target = new StandIn();
	const output = new BoundedOutput(target);
	output.write('a\n');
	target.writableLength = 10 * 1024 * 1024;
	output.write('b\n');
	output.write('c\n');
	target.writableLength = 0;
	output.write('d\n');
	assert.deepEqual([target.lines[0], target.lines.at(-1)], ['a\n', 'd\n']);
	assert.match(target.lines[1]!, /"log lines left out","count":2/);
});

test('a reader that went away ends nothing', () => {
	const target = new StandIn();
	const output = new BoundedOutput(target);
	target.fail();
	output.write('a\n');
	assert.deepEqual([target.lines.length, output.leftOut], [0, 1]);
});
