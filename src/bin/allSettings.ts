/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Imports all plug-ins, so that the settings of all kinds of process are registered. */

import '../kernel/node/instanceSettings.js';
import '../plugins/agreement/agreement.plugin.js';
import '../plugins/configuration/configuration.plugin.js';
import '../plugins/ownership/ownership.plugin.js';
import '../plugins/once/once.plugin.js';
import '../plugins/membership/membership.plugin.js';
import '../plugins/shifts/shifts.plugin.js';
import '../plugins/operators/operators.plugin.js';
import '../plugins/steering/steering.plugin.js';
import '../plugins/dispatch/dispatch.plugin.js';
import '../plugins/burn/burn.plugin.js';
import '../plugins/callers/callers.plugin.js';
