/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What the listener for callers sees of the part that carries requests to targets. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { CallerExchange } from './callerExchange.js';

/** Carries requests to targets. */
export interface IForwarding {
	/** Serves one request; never rejects, and leaves the exchange with its final answer. */
	serve(exchange: CallerExchange): Promise<void>;
}

/** Identifier of the part that carries requests. */
export const IForwarding = createServiceIdentifier<IForwarding>('forwarding');
