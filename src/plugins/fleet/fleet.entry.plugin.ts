/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the fleet session of entry instances. */

import {
	ContributionPhase,
	type IContribution,
	pluginRegistry,
	ProcessKind
} from '../../kernel/common/pluginRegistry.js';
import { IFleetSession } from './common/fleetSession.js';
import { FleetSessionTask } from './node/fleetSessionTask.js';

pluginRegistry.registerSingleton(IFleetSession, FleetSessionTask);

/** Starts the session with the control instances. */
class FleetEntryContribution implements IContribution {
	constructor(@IFleetSession private readonly _session: FleetSessionTask) {}

	async start(): Promise<void> {
		this._session.start();
	}
}

pluginRegistry.registerContribution([ProcessKind.Entry], ContributionPhase.Service, FleetEntryContribution);
