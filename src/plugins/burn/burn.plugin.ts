/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the recorder of request outcomes for the error budget report. */

import { pluginRegistry } from '../../kernel/common/pluginRegistry.js';
import { IBurnRecorder } from './common/burnRecorder.js';
import { BurnRecorderService } from './node/burnRecorderService.js';

pluginRegistry.registerSingleton(IBurnRecorder, BurnRecorderService);
