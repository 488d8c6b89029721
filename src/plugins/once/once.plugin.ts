/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers at-most-once dispatch of requests with an order key. */

import { ContributionPhase, pluginRegistry, ProcessKind } from '../../kernel/common/pluginRegistry.js';
import { IAtMostOnceDispatch } from './common/atMostOnceDispatch.js';
import { AtMostOnceDispatchService } from './node/atMostOnceDispatchService.js';
import { OrderLedgerService } from './node/orderLedgerService.js';

pluginRegistry.registerSingleton(IAtMostOnceDispatch, AtMostOnceDispatchService);
pluginRegistry.registerContribution([ProcessKind.Control], ContributionPhase.Service, OrderLedgerService);
