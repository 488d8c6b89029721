/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers request forwarding and the listener for callers on entry instances. */

import { ContributionPhase, pluginRegistry, ProcessKind } from '../../kernel/common/pluginRegistry.js';
import { FrontListener } from './node/frontListener.js';
import { IForwarding } from './node/forwarding.js';
import { ForwardingTask } from './node/forwardingTask.js';

pluginRegistry.registerSingleton(IForwarding, ForwardingTask);

pluginRegistry.registerContribution([ProcessKind.Entry], ContributionPhase.Port, FrontListener);
