#!/usr/bin/env node
/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** `shelffield`: the operator's command line. */

import { commandRegistry, createCheckCommand, runCommandLine } from '../plugins/commandLine/commandLine.plugin.js';

commandRegistry.register(createCheckCommand(() => import('./allSettings.js')));
process.exitCode = await runCommandLine(process.argv.slice(2));
