/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the listener for operators and the service behind it. */

import { ContributionPhase, pluginRegistry, ProcessKind } from '../../kernel/common/pluginRegistry.js';
import { OperatorServer } from './node/operatorServer.js';
import { IOperatorService, OperatorService } from './node/operatorService.js';

pluginRegistry.registerSingleton(IOperatorService, OperatorService);
pluginRegistry.registerContribution([ProcessKind.Control], ContributionPhase.Port, OperatorServer);
