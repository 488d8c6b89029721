/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Schedules the chunks of large bodies on the network link: the oldest body first, since round-robin would make all of them late under load. */

import { systemClock } from '../../../base/clock.js';
import type { LinkPacer } from '../common/linkPacer.js';

interface WaitingChunk {
	/** Increases with each body; the lowest goes first. */
	readonly bodyNumber: number;
	readonly bytes: number;
	readonly release: () => void;
}

/** Shares the link bandwidth for large bodies among them. */
export class LinkScheduler {
	private readonly _waiting: WaitingChunk[] = [];
	private _timer?: NodeJS.Timeout;
	private _lastBodyNumber = 0;
	private _isReleasing = false;

	constructor(private readonly _pacer: LinkPacer) {}

	/** A number for a new body. */
	nextBodyNumber(): number {
		return ++this._lastBodyNumber;
	}

	/** Calls `release` when a chunk may be sent; a body has at most one chunk waiting. */
	request(bodyNumber: number, bytes: number, release: () => void): void {
		this._waiting.push({ bodyNumber, bytes, release });
		this._releaseChunks();
	}

	private _releaseChunks(): void {
		if (this._isReleasing) {
			return;
		}
		this._isReleasing = true;
		while (this._timer === undefined && this._waiting.length > 0) {
			const chunk = this._takeOldest();
			chunk.release();
			const waitMs = this._pacer.reserve(chunk.bytes, systemClock.now());
			if (waitMs > 0) {
				this._timer = setTimeout(() => this._onTimer(), waitMs);
			}
		}
		this._isReleasing = false;
	}

	private _onTimer(): void {
		this._timer = undefined;
		this._releaseChunks();
	}

	private _takeOldest(): WaitingChunk {
		let oldestIndex = 0;
		for (let i = 1; i < this._waiting.length; i++) {
			if (this._waiting[i]!.bodyNumber < this._waiting[oldestIndex]!.bodyNumber) {
				oldestIndex = i;
			}
		}
		return this._waiting.splice(oldestIndex, 1)[0]!;
	}
}
