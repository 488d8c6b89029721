/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Chunks of a body, copied together where they are many: a chunk of a few bytes costs a hundred times as much as an object of its own. */

/** Chunks that are kept as objects of their own. */
const MAX_CHUNKS = 256;

/** Collects chunks. */
export class ChunkList {
	private _chunks: Buffer[] = [];
	private _bytes = 0;

	/** Bytes that were added and not taken. */
	get bytes(): number {
		return this._bytes;
	}

	/** Adds a chunk. */
	add(chunk: Buffer): void {
		this._bytes += chunk.length;
		this._chunks.push(chunk);
		if (this._chunks.length > MAX_CHUNKS) {
			this._chunks = [Buffer.concat(this._chunks)];
		}
	}

	/** Removes the bytes and returns them. */
	take(): Buffer {
		const [first, ...others] = this._chunks;
		const bytes = first && others.length === 0 ? first : Buffer.concat(this._chunks);
		this._chunks = [];
		this._bytes = 0;
		return bytes;
	}
}
