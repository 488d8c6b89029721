/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the steering service. */

import { pluginRegistry } from '../../kernel/common/pluginRegistry.js';
import { ISteering } from './common/steering.js';
import { SteeringService } from './node/steeringService.js';

pluginRegistry.registerSingleton(ISteering, SteeringService);
