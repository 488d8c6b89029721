/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Interface of the service that tells how late the event loop of this process reads. */

import type { Millis } from '../../base/clock.js';
import { createServiceIdentifier } from './serviceIdentifier.js';

/** The event loop of this process. */
export interface IEventLoopMonitor {
	/**
	 * How long input that is read now may have waited because the loop was busy or the process did not run, to within two ticks of the
	 * measuring timer; 0 where it is on time.
	 */
	readDelayMs(): Millis;
}

/** Service identifier of {@link IEventLoopMonitor}. */
export const IEventLoopMonitor = createServiceIdentifier<IEventLoopMonitor>('eventLoopMonitor');
