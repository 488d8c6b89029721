#!/usr/bin/env node
/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** `shelffield-entry`: the entry instance, with look-ups, request forwarding and admission control. */

import '../plugins/configuration/configuration.plugin.js';
import '../plugins/steering/steering.plugin.js';
import '../plugins/dispatch/dispatch.plugin.js';
import '../plugins/ownership/ownership.plugin.js';
import '../plugins/once/once.plugin.js';
import '../plugins/burn/burn.plugin.js';
import '../plugins/callers/callers.plugin.js';
import { ProcessKind } from '../kernel/common/pluginRegistry.js';
import { provideGrpc } from '../kernel/node/grpcTransport.js';
import { runProcess } from '../kernel/node/processHost.js';

await runProcess(ProcessKind.Entry, provideGrpc);
