/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** File writes that survive a power loss. File contents and directory entries are only durable after they are synced. */

import { open, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';

/** Replaces a file atomically and durably: after a crash it has either the old or the new content. */
export async function replaceFile(folder: string, name: string, content: Uint8Array | string): Promise<void> {
	const temporaryPath = await writeTemporaryFile(folder, name, content);
	await rename(temporaryPath, join(folder, name));
	await syncFolder(folder);
}

/**
 * Writes and syncs the content that is to replace a file, under another name; removes it if that fails.
 * @returns the path of the temporary file, to be renamed
 */
export async function writeTemporaryFile(folder: string, name: string, content: Uint8Array | string): Promise<string> {
	const temporaryPath = join(folder, `${name}.new`);
	const handle = await open(temporaryPath, 'w');
	try {
		await handle.writeFile(content);
		await handle.sync();
	} catch (error) {
		await rm(temporaryPath, { force: true });
		throw error;
	} finally {
		await handle.close();
	}
	return temporaryPath;
}

/** Makes the creation, renaming and removal of files in a folder durable. */
export async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}
