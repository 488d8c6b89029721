/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the listener for callers' connections on entry instances. */

import { pluginRegistry } from '../../kernel/common/pluginRegistry.js';
import { ICallerConnections } from './common/callerConnections.js';
import { CallerConnections } from './node/callerConnections.js';

pluginRegistry.registerSingleton(ICallerConnections, CallerConnections);
