/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the limits of teams on control instances. */

import { ContributionPhase, pluginRegistry, ProcessKind } from '../../kernel/common/pluginRegistry.js';
import { LimitControlTask } from './node/limitControlTask.js';

pluginRegistry.registerContribution([ProcessKind.Control], ContributionPhase.Service, LimitControlTask);
