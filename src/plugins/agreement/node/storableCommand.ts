/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Keeps commands out of the log that no replica could store, or read again after a restart. */

import { decode, encode } from '@msgpack/msgpack';
import { InvalidCommandError } from '../common/agreement.js';
import type { PartCommand } from '../common/replicatedState.js';

/** @throws InvalidCommandError if the command can't be encoded and decoded again */
export function assertStorable(command: PartCommand): void {
	try {
		decode(encode(command, { ignoreUndefined: true }));
	} catch (error) {
		throw new InvalidCommandError(error as Error);
	}
}
