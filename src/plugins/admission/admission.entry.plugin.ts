/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers admission under shortage on entry instances. */

import { pluginRegistry } from '../../kernel/common/pluginRegistry.js';
import { IReturnTimes } from './common/returnTimes.js';
import { ReturnTimesService } from './common/returnTimesService.js';
import { IShortageAdmission, UnrankedAdmission } from './common/shortageAdmission.js';

pluginRegistry.registerSingleton(IShortageAdmission, UnrankedAdmission);
pluginRegistry.registerSingleton(IReturnTimes, ReturnTimesService);
