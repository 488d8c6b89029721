/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A message that tells how many chunks it consists of, and whether its reader keeps up. */

import { IncomingMessage } from 'node:http';

/** A message of a server whose connections a `ReadPacer` reads. */
export class PacedMessage extends IncomingMessage {
	private _chunkCount = 0;
	private _isBlocked = false;

	/** Chunks received so far. */
	get chunkCount(): number {
		return this._chunkCount;
	}

	/** Whether the reader has to take some of the message before more of it is parsed. */
	get isBlocked(): boolean {
		return this._isBlocked;
	}

	override push(chunk: unknown, encoding?: BufferEncoding): boolean {
		const hasRoom = super.push(chunk, encoding);
		this._chunkCount++;
		this._isBlocked = !hasRoom && chunk !== null;
		return hasRoom;
	}

	override _read(size: number): void {
		this._isBlocked = false;
		super._read(size);
	}
}
