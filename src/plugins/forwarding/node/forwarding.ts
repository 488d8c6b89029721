/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Interface of the service that forwards callers' requests to targets, as used by the listener for callers. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { CallerExchange } from './callerExchange.js';

/** Forwards requests to targets. */
export interface IForwarding {
	/** Serves one request and completes the exchange with a final response; never rejects. */
	serve(exchange: CallerExchange): Promise<void>;
}

/** Service identifier of {@link IForwarding}. */
export const IForwarding = createServiceIdentifier<IForwarding>('forwarding');
