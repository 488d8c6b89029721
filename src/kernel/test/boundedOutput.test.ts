/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A slow or closed reader of the log must not block or terminate the process; lines are dropped instead. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BoundedOutput, type OutputSink } from '../node/boundedOutput.js';

class FakeSink implements OutputSink {
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

test('drops lines while the buffer is full, and writes their number afterwards', () => {
	const target = new FakeSink();
	const output = new BoundedOutput(target);
	output.write('a\n');
	target.writableLength = 10 * 1024 * 1024;
	output.write('b\n');
	output.write('c\n');
	target.writableLength = 0;
	output.write('d\n');
	assert.deepEqual([target.lines[0], target.lines.at(-1)], ['a\n', 'd\n']);
	assert.match(target.lines[1]!, /"log lines dropped","count":2/);
});

test('drops lines when the reader is closed', () => {
	const target = new FakeSink();
	const output = new BoundedOutput(target);
	target.fail();
	output.write('a\n');
	assert.deepEqual([target.lines.length, output.droppedLines], [0, 1]);
});
