/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Tells a reset from an orderly end. Node.js reports an end for both where a reset arrives while received data waits to be read: libuv
 * takes the hang-up behind the last data for the end of the stream.
 */

import type { Socket } from 'node:net';
import koffi from 'koffi';
import { descriptorOf } from './abortiveClose.js';

/** Constants of `<sys/socket.h>` on Linux. */
const SOL_SOCKET = 1;
const SO_ERROR = 4;
const VALUE_BYTES = 4;

type GetSocketOption = (fd: number, level: number, name: number, value: Int32Array, length: Uint32Array) => number;

function loadGetSocketOption(): GetSocketOption | undefined {
	try {
		const library = koffi.load('libc.so.6');
		return library.func(
			'int getsockopt(int fd, int level, int name, void *value, void *length)'
		) as unknown as GetSocketOption;
	} catch {
		// Without the C library of Linux, an end is taken for what Node.js says.
		return undefined;
	}
}

const getSocketOption = loadGetSocketOption();

/** Whether a connection whose end was read was reset; to be called while its socket is open, and once: the answer is cleared. */
export function takeReset(socket: Socket): boolean {
	const fd = descriptorOf(socket);
	if (fd === undefined || !getSocketOption) {
		return false;
	}
	const value = new Int32Array(1);
	const hasValue = getSocketOption(fd, SOL_SOCKET, SO_ERROR, value, Uint32Array.of(VALUE_BYTES)) === 0;
	return hasValue && value[0] !== 0;
}
