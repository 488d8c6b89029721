/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Preloaded into a process: its disk takes no writes while a file with the name of its settings file and `.full` exists. */

import { existsSync } from 'node:fs';
import { FaultyDisk } from '../../src/plugins/agreement/test/faultyDisk.js';

const flagFile = `${process.argv.at(-1)}.full`;
const disk = await FaultyDisk.install();
disk.isFull = () => existsSync(flagFile);
