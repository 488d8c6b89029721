/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the commands of the command line. */

import { commandRegistry } from './common/command.js';
import { drainCommand, intentCommand } from './node/intentCommands.js';
import {
	confirmCommand,
	explainCommand,
	memberCommand,
	planCommand,
	statusCommand,
	stopCommand
} from './node/planCommands.js';
import { quarantineCommand } from './node/quarantineCommand.js';
import { reportCommand } from './node/reportCommand.js';

commandRegistry.register(intentCommand);
commandRegistry.register(planCommand);
commandRegistry.register(confirmCommand);
commandRegistry.register(stopCommand);
commandRegistry.register(drainCommand);
commandRegistry.register(statusCommand);
commandRegistry.register(explainCommand);
commandRegistry.register(memberCommand);
commandRegistry.register(reportCommand);
commandRegistry.register(quarantineCommand);

export { createCheckCommand } from './node/checkCommand.js';
export { runCommandLine } from './node/commandLine.js';
export { commandRegistry } from './common/command.js';
