/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Limits large bodies to the bandwidth of the instance's network link; back-pressure from a slow reader reaches the source. */

import { Transform, type TransformCallback } from 'node:stream';
import { PACED_CHUNK_BYTES } from '../common/linkPacer.js';
import type { LinkScheduler } from './linkScheduler.js';

/** Passes a body through in small chunks, each when the link scheduler releases it. */
export class PacedBody extends Transform {
	private readonly _bodyNumber: number;

	constructor(private readonly _scheduler: LinkScheduler) {
		super({ highWaterMark: PACED_CHUNK_BYTES });
		this._bodyNumber = _scheduler.nextBodyNumber();
	}

	override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
		this._pushFrom(chunk, 0, done);
	}

	private _pushFrom(chunk: Buffer, offset: number, done: TransformCallback): void {
		if (offset >= chunk.length) {
			done();
			return;
		}
		const slice = chunk.subarray(offset, offset + PACED_CHUNK_BYTES);
		this._scheduler.request(this._bodyNumber, slice.length, () => {
			if (!this.destroyed) {
				this.push(slice);
				this._pushFrom(chunk, offset + slice.length, done);
			}
		});
	}
}
