/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers admission under shortage on entry instances. */

import './common/admissionSettings.js';
import { pluginRegistry } from '../../kernel/common/pluginRegistry.js';
import { IReturnTimes } from './common/returnTimes.js';
import { ReturnTimesService } from './common/returnTimesService.js';
import { IShortageAdmission } from './common/shortageAdmission.js';
import { ShortageAdmissionService } from './node/shortageAdmissionService.js';

pluginRegistry.registerSingleton(IShortageAdmission, ShortageAdmissionService);
pluginRegistry.registerSingleton(IReturnTimes, ReturnTimesService);
