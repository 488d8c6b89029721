/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the dispatch service. */

import {
	ContributionPhase,
	type IContribution,
	pluginRegistry,
	ProcessKind
} from '../../kernel/common/pluginRegistry.js';
import { IDispatch } from './common/dispatch.js';
import { DispatchService } from './node/dispatchService.js';

/** Starts and drains the dispatch service with the process. */
class DispatchContribution implements IContribution {
	constructor(@IDispatch private readonly _dispatch: DispatchService) {}

	start(): Promise<void> {
		return this._dispatch.start();
	}

	drain(): Promise<void> {
		return this._dispatch.drain();
	}
}

pluginRegistry.registerSingleton(IDispatch, DispatchService);
pluginRegistry.registerContribution([ProcessKind.Entry], ContributionPhase.Service, DispatchContribution);
