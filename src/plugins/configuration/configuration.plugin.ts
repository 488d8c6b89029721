/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the replicated control state, the publisher of control instances and the receiver of entry instances. */

import { ContributionPhase, pluginRegistry, ProcessKind } from '../../kernel/common/pluginRegistry.js';
import { IControlStateService } from './common/controlStateService.js';
import { IEntryConfiguration } from './common/entryConfiguration.js';
import { ConfigurationPublisher } from './node/configurationPublisher.js';
import { ControlStateService } from './node/controlStateService.js';
import { EntryConfigurationTask } from './node/entryConfigurationTask.js';

pluginRegistry.registerSingleton(IControlStateService, ControlStateService);
pluginRegistry.registerSingleton(IEntryConfiguration, EntryConfigurationTask);
pluginRegistry.registerContribution([ProcessKind.Control], ContributionPhase.Service, ConfigurationPublisher);
