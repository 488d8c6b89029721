/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Starts garbage collections. V8 counts the memory of buffers outside its heap, but collects them only after 64 MiB of them have been
 * allocated, which is more than a small machine has to spare.
 */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Access to the collector of this process. */
export class GarbageCollector {
	private _collections = 0;
	private _run: (() => void) | undefined;

	/** Collections that were started here. */
	get collections(): number {
		return this._collections;
	}

	/** Releases all memory that is no longer referenced; blocks the event loop meanwhile. */
	collect(): void {
		this._run ??= this._expose();
		this._collections++;
		this._run();
	}

	/** V8 has the function only in contexts that are created after the flag was set. */
	private _expose(): () => void {
		setFlagsFromString('--expose-gc');
		return runInNewContext('gc') as () => void;
	}
}
