/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Large bodies at the pace of the instance's own link. The one who reads from it slowly holds its source up too. */

import { Transform, type TransformCallback } from 'node:stream';
import { systemClock } from '../../../base/clock.js';
import { type LinkPacer, PACED_PIECE_BYTES } from '../common/linkPacer.js';

/** Passes a body on in small pieces, each as the pace allows. */
export class PacedBody extends Transform {
	constructor(private readonly _pacer: LinkPacer) {
		super({ highWaterMark: PACED_PIECE_BYTES });
	}

	override _transform(piece: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
		this._passFrom(piece, 0, done);
	}

	private _passFrom(piece: Buffer, start: number, done: TransformCallback): void {
		if (this.destroyed) {
			return;
		}
		if (start >= piece.length) {
			done();
			return;
		}
		const part = piece.subarray(start, start + PACED_PIECE_BYTES);
		this.push(part);
		const waitMs = this._pacer.reserve(part.length, systemClock.now());
		const next = (): void => this._passFrom(piece, start + part.length, done);
		if (waitMs > 0) {
			setTimeout(next, waitMs);
		} else {
			next();
		}
	}
}
