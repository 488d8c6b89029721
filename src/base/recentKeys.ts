/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Remembers the keys of messages that were handled, to recognize repeated and delayed copies. */

/** The most recently added keys, up to a maximum number. */
export class RecentKeys {
	/** In the order in which they were added. */
	private readonly _keys = new Set<string>();

	constructor(private readonly _maxKeys: number) {}

	has(key: string): boolean {
		return this._keys.has(key);
	}

	/** @returns false if the key is among the recent ones */
	add(key: string): boolean {
		if (this._keys.has(key)) {
			return false;
		}
		this._keys.add(key);
		if (this._keys.size > this._maxKeys) {
			this._keys.delete(this._keys.keys().next().value!);
		}
		return true;
	}

	clear(): void {
		this._keys.clear();
	}
}
