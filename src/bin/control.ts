#!/usr/bin/env node
/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** `shelffield-control`: the control instance, with the replicated log, plans and shifts. */

import '../plugins/agreement/agreement.plugin.js';
import '../plugins/configuration/configuration.plugin.js';
import '../plugins/ownership/ownership.plugin.js';
import '../plugins/once/once.plugin.js';
import '../plugins/membership/membership.plugin.js';
import '../plugins/shifts/shifts.plugin.js';
import '../plugins/operators/operators.plugin.js';
import { ProcessKind } from '../kernel/common/pluginRegistry.js';
import { provideGrpc } from '../kernel/node/grpcTransport.js';
import { runProcess } from '../kernel/node/processHost.js';

await runProcess(ProcessKind.Control, provideGrpc);
