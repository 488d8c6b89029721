/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Makes the writes and syncs of all file handles of this process fail, as a full or broken disk would. */

import { type FileHandle, open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

type WriteArguments = [buffer: Buffer, offset: number, length: number, position: number];
type WriteResult = { bytesWritten: number; buffer: Buffer };
type Method = (this: FileHandle, ...args: unknown[]) => Promise<unknown>;
type Methods = Record<string, Method>;

const PATCHED_METHODS = ['write', 'writeFile', 'datasync', 'sync'];

function diskError(code: string, syscall: string): Error {
	return Object.assign(new Error(`${code}: injected by a test, ${syscall}`), { code, syscall });
}

/** Faults of the disk; none at first. */
export class FaultyDisk {
	/** Whether writes fail with ENOSPC. */
	isFull: () => boolean = () => false;
	/** How many bytes the next write takes of those given to it; undefined for all. */
	nextWriteBytes: number | undefined;
	/** Whether each of the next syncs fails with EIO; later ones succeed. */
	syncFaults: boolean[] = [];
	private readonly _originals: Methods = {};
	private _prototype!: Methods;

	/** Puts the faults in place of the methods of file handles. */
	static async install(): Promise<FaultyDisk> {
		const disk = new FaultyDisk();
		const handle = await open(join(tmpdir(), `shelffield-disk-${process.pid}`), 'a');
		disk._prototype = Object.getPrototypeOf(handle) as Methods;
		await handle.close();
		for (const name of PATCHED_METHODS) {
			disk._originals[name] = disk._prototype[name]!;
			disk._prototype[name] = disk._createMethod(name);
		}
		return disk;
	}

	/** Puts the original methods back. */
	uninstall(): void {
		Object.assign(this._prototype, this._originals);
	}

	private _createMethod(name: string): Method {
		const call = (handle: FileHandle, args: unknown[]): Promise<unknown> => this._call(name, handle, args);
		return function (this: FileHandle, ...args: unknown[]) {
			return call(this, args);
		};
	}

	private async _call(name: string, handle: FileHandle, args: unknown[]): Promise<unknown> {
		const isSync = name.endsWith('sync');
		if (isSync && this.syncFaults.shift()) {
			throw diskError('EIO', name);
		}
		if (!isSync && this.isFull()) {
			throw diskError('ENOSPC', name);
		}
		if (name === 'write' && this.nextWriteBytes !== undefined) {
			return this._writePart(handle, args as WriteArguments);
		}
		return this._originals[name]!.apply(handle, args);
	}

	private _writePart(handle: FileHandle, [buffer, offset, length, position]: WriteArguments): Promise<WriteResult> {
		const partLength = Math.min(length, this.nextWriteBytes!);
		this.nextWriteBytes = undefined;
		return this._originals['write']!.call(handle, buffer, offset, partLength, position) as Promise<WriteResult>;
	}
}
