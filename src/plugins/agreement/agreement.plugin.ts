/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the services of the replicated log and starts its replica on control instances. */

import {
	ContributionPhase,
	type IContribution,
	pluginRegistry,
	ProcessKind
} from '../../kernel/common/pluginRegistry.js';
import './node/agreementSettings.js';
import { IAgreement } from './common/agreement.js';
import { ILeaderForwarder } from './common/leaderForwarder.js';
import { AgreementTask } from './node/agreementTask.js';
import { LeaderForwarder } from './node/leaderForwarder.js';

pluginRegistry.registerSingleton(IAgreement, AgreementTask);
pluginRegistry.registerSingleton(ILeaderForwarder, LeaderForwarder);

/** Starts the replica in the foundation phase, before the contributions that depend on it. */
class AgreementContribution implements IContribution {
	constructor(@IAgreement private readonly _agreement: IAgreement) {}

	start(): Promise<void> {
		return this._agreement.start();
	}
}

pluginRegistry.registerContribution([ProcessKind.Control], ContributionPhase.Foundation, AgreementContribution);
