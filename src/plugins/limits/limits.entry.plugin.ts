/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the limits of teams on entry instances. */

import { pluginRegistry } from '../../kernel/common/pluginRegistry.js';
import { ITeamLimits } from './common/teamLimits.js';
import { TeamLimitsTask } from './node/teamLimitsTask.js';

pluginRegistry.registerSingleton(ITeamLimits, TeamLimitsTask);
