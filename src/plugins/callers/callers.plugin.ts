/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the HTTP server for callers. */

import { ContributionPhase, pluginRegistry, ProcessKind } from '../../kernel/common/pluginRegistry.js';
import { CallerServer } from './node/callerServer.js';

pluginRegistry.registerContribution([ProcessKind.Entry], ContributionPhase.Port, CallerServer);
