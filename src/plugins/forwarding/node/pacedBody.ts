/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Large bodies at the pace of the instance's own link. The one who reads from it slowly holds its source up too. */

import { Transform, type TransformCallback } from 'node:stream';
import { PACED_PIECE_BYTES } from '../common/linkPacer.js';
import type { LinkScheduler } from './linkScheduler.js';

/** Passes a body on in small pieces, each as the link has room. */
export class PacedBody extends Transform {
	private readonly _order: number;

	constructor(private readonly _scheduler: LinkScheduler) {
		super({ highWaterMark: PACED_PIECE_BYTES });
		this._order = _scheduler.nextOrder();
	}

	override _transform(piece: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
		this._passFrom(piece, 0, done);
	}

	private _passFrom(piece: Buffer, start: number, done: TransformCallback): void {
		if (start >= piece.length) {
			done();
			return;
		}
		const part = piece.subarray(start, start + PACED_PIECE_BYTES);
		this._scheduler.request(this._order, part.length, () => {
			if (!this.destroyed) {
				this.push(part);
				this._passFrom(piece, start + part.length, done);
			}
		});
	}
}
