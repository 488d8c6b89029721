/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Has a connection end with a reset in place of an orderly close, whatever ends this process. Node.js sets `SO_LINGER` only while it
 * closes a socket, which a process that is killed does not do.
 */

import type { Socket } from 'node:net';
import koffi from 'koffi';

/** Constants of `<sys/socket.h>` on Linux. */
const SOL_SOCKET = 1;
const SO_LINGER = 13;
/** Size of `struct linger`: two integers. */
const LINGER_BYTES = 8;
const LINGER_OFF = new Int32Array([0, 0]);
const LINGER_RESET = new Int32Array([1, 0]);

type SetSocketOption = (fd: number, level: number, name: number, value: Int32Array, length: number) => number;

function loadSetSocketOption(): SetSocketOption | undefined {
	try {
		const library = koffi.load('libc.so.6');
		return library.func(
			'int setsockopt(int fd, int level, int name, const void *value, uint32_t length)'
		) as unknown as SetSocketOption;
	} catch {
		// The callers of `trySetAbortiveClose` learn that it has no effect.
		return undefined;
	}
}

const setSocketOption = loadSetSocketOption();

/** Whether {@link trySetAbortiveClose} can have an effect here: it needs the C library of Linux. */
export const isAbortiveCloseSupported = setSocketOption !== undefined;

/** The descriptor of a socket; undefined where it has none, as when it is closed. */
export function descriptorOf(socket: Socket): number | undefined {
	const fd = (socket as unknown as { _handle?: { fd?: number } | null })._handle?.fd;
	return fd !== undefined && fd >= 0 ? fd : undefined;
}

/**
 * Sets whether the connection is reset when its socket is closed, also by the operating system after the end of this process. Data that
 * the peer has not acknowledged by then is discarded.
 * @returns false where the operating system has not taken the option
 */
export function trySetAbortiveClose(socket: Socket, isAbortive: boolean): boolean {
	const fd = descriptorOf(socket);
	if (fd === undefined || !setSocketOption) {
		return false;
	}
	return setSocketOption(fd, SOL_SOCKET, SO_LINGER, isAbortive ? LINGER_RESET : LINGER_OFF, LINGER_BYTES) === 0;
}
