/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Interface of the service that forwards callers' requests to targets, as used by the listener for callers. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { CallerExchange } from './callerExchange.js';

/** How a request reached this instance that another entry instance relayed. */
export interface RelayOrigin {
	/** Whether the other instance has counted it as a first attempt. */
	readonly isCounted: boolean;
	/** Number of attempts that the other instance may have written to targets. */
	readonly writtenAttempts: number;
	/** Whether the other instance has taken a retry for the next attempt. */
	readonly hasRetry: boolean;
}

/** Forwards requests to targets. */
export interface IForwarding {
	/** Whether this instance reaches no target. */
	readonly isPartitioned: boolean;
	/**
	 * Serves one request and completes the exchange with a final response; never rejects.
	 * @param origin for a request that another entry instance relayed
	 */
	serve(exchange: CallerExchange, origin?: RelayOrigin): Promise<void>;
	/**
	 * From now on, refuses requests that cannot be expected to be answered in time.
	 * @param endsAt when the process ends, on the monotonic clock
	 */
	beginDrain(endsAt: Millis): void;
}

/** Service identifier of {@link IForwarding}. */
export const IForwarding = createServiceIdentifier<IForwarding>('forwarding');
