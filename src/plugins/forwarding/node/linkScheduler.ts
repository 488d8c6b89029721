/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Decides which large body may pass its next piece: the oldest that has one, at the pace of the link. Taking turns would
 * make all of them late together when there are many.
 */

import { systemClock } from '../../../base/clock.js';
import type { LinkPacer } from '../common/linkPacer.js';

interface WaitingPiece {
	/** Grows with each body; the lowest goes first. */
	readonly order: number;
	readonly bytes: number;
	readonly pass: () => void;
}

/** Hands the link's room for large bodies out, piece by piece. */
export class LinkScheduler {
	private readonly _waiting: WaitingPiece[] = [];
	private _timer?: NodeJS.Timeout;
	private _bodies = 0;
	private _isPassing = false;

	constructor(private readonly _pacer: LinkPacer) {}

	/** The order of a body that begins now. */
	nextOrder(): number {
		return ++this._bodies;
	}

	/** Calls back when a piece may pass; a body has one piece waiting at a time. */
	request(order: number, bytes: number, pass: () => void): void {
		this._waiting.push({ order, bytes, pass });
		this._passPieces();
	}

	private _passPieces(): void {
		if (this._isPassing) {
			return;
		}
		this._isPassing = true;
		while (this._timer === undefined && this._waiting.length > 0) {
			const piece = this._takeOldest();
			piece.pass();
			const waitMs = this._pacer.reserve(piece.bytes, systemClock.now());
			if (waitMs > 0) {
				this._timer = setTimeout(() => this._goOn(), waitMs);
			}
		}
		this._isPassing = false;
	}

	private _goOn(): void {
		this._timer = undefined;
		this._passPieces();
	}

	private _takeOldest(): WaitingPiece {
		let oldest = 0;
		for (let i = 1; i < this._waiting.length; i++) {
			if (this._waiting[i]!.order < this._waiting[oldest]!.order) {
				oldest = i;
			}
		}
		return this._waiting.splice(oldest, 1)[0]!;
	}
}
