/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the limits of teams and targets on entry instances. */

import {
	ContributionPhase,
	type IContribution,
	pluginRegistry,
	ProcessKind
} from '../../kernel/common/pluginRegistry.js';
import { ITargetLimits } from './common/targetLimits.js';
import { ITeamLimits } from './common/teamLimits.js';
import { TargetLimitsTask } from './node/targetLimitsTask.js';
import { TeamLimitsTask } from './node/teamLimitsTask.js';

pluginRegistry.registerSingleton(ITeamLimits, TeamLimitsTask);
pluginRegistry.registerSingleton(ITargetLimits, TargetLimitsTask);

/** Opens the peer listener for the other entry instances of the data hall. */
class TeamLimitsContribution implements IContribution {
	constructor(@ITeamLimits private readonly _limits: TeamLimitsTask) {}

	start(): Promise<void> {
		return this._limits.start();
	}
}

pluginRegistry.registerContribution([ProcessKind.Entry], ContributionPhase.Service, TeamLimitsContribution);
