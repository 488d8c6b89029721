/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Log output with a bounded buffer: when the reader is slow, lines are dropped instead of blocking the process. */

import { Writable } from 'node:stream';

/** Buffered bytes above which further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Destination of the lines: standard output, or a fake in tests. */
export interface OutputSink {
	readonly writableLength: number;
	readonly destroyed: boolean;
	write(text: string): boolean;
	on(event: 'error', listener: (error: Error) => void): unknown;
}

/** Writes lines to a sink and drops them while its buffer is full or once it is closed. */
export class BoundedOutput extends Writable {
	private _droppedLines = 0;
	private _isClosed = false;

	constructor(private readonly _sink: OutputSink) {
		super({ decodeStrings: false });
		// Without a listener, a closed pipe would terminate the process.
		_sink.on('error', () => (this._isClosed = true));
	}

	/** Lines dropped since the last line was written; for tests. */
	get droppedLines(): number {
		return this._droppedLines;
	}

	override _write(line: string | Buffer, _encoding: BufferEncoding, done: (error?: Error) => void): void {
		this._writeOrDrop(line.toString());
		done();
	}

	private _writeOrDrop(line: string): void {
		if (this._isClosed || this._sink.destroyed || this._sink.writableLength > MAX_BUFFERED_BYTES) {
			this._droppedLines++;
			return;
		}
		if (this._droppedLines > 0) {
			this._sink.write(
				`${JSON.stringify({ level: 'warn', message: 'log lines dropped', count: this._droppedLines })}\n`
			);
			this._droppedLines = 0;
		}
		this._sink.write(line);
	}
}
