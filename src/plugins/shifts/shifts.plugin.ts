/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the service that carries out confirmed plans. */

import { pluginRegistry } from '../../kernel/common/pluginRegistry.js';
import './common/shiftSettings.js';
import { IShifts } from './common/shifts.js';
import { ShiftTask } from './node/shiftTask.js';

pluginRegistry.registerSingleton(IShifts, ShiftTask);
