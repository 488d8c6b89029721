/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the replicated log. */

import {
	ContributionPhase,
	type IContribution,
	pluginRegistry,
	ProcessKind
} from '../../kernel/common/pluginRegistry.js';
import './node/agreementSettings.js';
import { IAgreement } from './common/agreement.js';
import { ILeaderGate } from './common/leaderGate.js';
import { AgreementTask } from './node/agreementTask.js';
import { LeaderGate } from './node/leaderGate.js';

pluginRegistry.registerSingleton(IAgreement, AgreementTask);
pluginRegistry.registerSingleton(ILeaderGate, LeaderGate);

/** Starts the replica, first of all contributions of a control instance. */
class AgreementContribution implements IContribution {
	constructor(@IAgreement private readonly _agreement: IAgreement) {}

	start(): Promise<void> {
		return this._agreement.start();
	}
}

pluginRegistry.registerContribution([ProcessKind.Control], ContributionPhase.Foundation, AgreementContribution);
