/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the target ownership of entry instances and the takeover records of control instances. */

import {
	ContributionPhase,
	type IContribution,
	pluginRegistry,
	ProcessKind
} from '../../kernel/common/pluginRegistry.js';
import { ITargetOwnership } from '../dispatch/common/targetOwnership.js';
import { HallOwnershipTask } from './node/hallOwnershipTask.js';
import { TakeoverService } from './node/takeoverService.js';

/** Starts the renewal of the lease. */
class OwnershipContribution implements IContribution {
	constructor(@ITargetOwnership private readonly _ownership: HallOwnershipTask) {}

	async start(): Promise<void> {
		this._ownership.start();
	}
}

pluginRegistry.registerSingleton(ITargetOwnership, HallOwnershipTask);
pluginRegistry.registerContribution([ProcessKind.Entry], ContributionPhase.Service, OwnershipContribution);
pluginRegistry.registerContribution([ProcessKind.Control], ContributionPhase.Service, TakeoverService);
