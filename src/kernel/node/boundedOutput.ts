/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Standard output that never holds the process up: a slow reader costs a bounded amount of memory, then lines. */

import { Writable } from 'node:stream';

/** Bytes that may wait for the reader; beyond that, lines are left out and counted. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Where the bytes go; standard output, or a stand-in in tests. */
export interface OutputTarget {
	readonly writableLength: number;
	readonly destroyed: boolean;
	write(text: string): boolean;
	on(event: 'error', listener: (error: Error) => void): unknown;
}

/** Writes lines to a target while it takes them. */
export class BoundedOutput extends Writable {
	private _leftOut = 0;
	private _isClosed = false;

	constructor(private readonly _target: OutputTarget) {
		super({ decodeStrings: false });
		// A reader that went away must not end the process.
		_target.on('error', () => (this._isClosed = true));
	}

	/** Lines left out so far, for tests. */
	get leftOut(): number {
		return this._leftOut;
	}

	override _write(line: string | Buffer, _encoding: BufferEncoding, done: (error?: Error) => void): void {
		this._pass(line.toString());
		done();
	}

	private _pass(line: string): void {
		if (this._isClosed || this._target.destroyed || this._target.writableLength > MAX_WAITING_BYTES) {
			this._leftOut++;
			return;
		}
		if (this._leftOut > 0) {
			this._target.write(`${JSON.stringify({ level: 'warn', message: 'log lines left out', count: this._leftOut })}\n`);
			this._leftOut = 0;
		}
		this._target.write(line);
	}
}
