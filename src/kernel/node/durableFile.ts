/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Files that are still there, whole, after a loss of power: what is not synced, names included, may be lost. */

import { open, rename } from 'node:fs/promises';
import { join } from 'node:path';

/** Writes a new file beside the old one, syncs it and its folder, and puts it in place. */
export async function replaceFile(folder: string, name: string, content: Uint8Array | string): Promise<void> {
	const temporary = join(folder, `${name}.new`);
	const handle = await open(temporary, 'w');
	try {
		await handle.writeFile(content);
		await handle.sync();
	} finally {
		await handle.close();
	}
	await rename(temporary, join(folder, name));
	await syncFolder(folder);
}

/** Syncs the names in a folder. */
export async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}
