/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the fleet service of control instances. */

import {
	ContributionPhase,
	type IContribution,
	pluginRegistry,
	ProcessKind
} from '../../kernel/common/pluginRegistry.js';
import { IFleetControl } from './common/fleetControl.js';
import './common/placeSettings.js';
import { QuarantinePages } from './node/quarantinePages.js';
import { FleetControlTask } from './node/fleetControlTask.js';

pluginRegistry.registerSingleton(IFleetControl, FleetControlTask);

/** Starts the periodic exchange between control instances. */
class FleetControlContribution implements IContribution {
	constructor(@IFleetControl private readonly _fleet: FleetControlTask) {}

	async start(): Promise<void> {
		await this._fleet.start();
	}
}

pluginRegistry.registerContribution([ProcessKind.Control], ContributionPhase.Service, FleetControlContribution);
pluginRegistry.registerContribution([ProcessKind.Control], ContributionPhase.Service, QuarantinePages);
