/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the listener for callers' connections and the account of held memory on entry instances. */

import { pluginRegistry } from '../../kernel/common/pluginRegistry.js';
import { ICallerConnections } from './common/callerConnections.js';
import { IMemoryAccount } from './common/memoryAccount.js';
import { CallerConnections } from './node/callerConnections.js';
import { MemoryAccountService } from './node/memoryAccountService.js';

pluginRegistry.registerSingleton(ICallerConnections, CallerConnections);
pluginRegistry.registerSingleton(IMemoryAccount, MemoryAccountService);
