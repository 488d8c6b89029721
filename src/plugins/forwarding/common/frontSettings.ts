/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Section `[front]`: listening addresses of an entry instance, the bandwidth of its link and its memory. */

import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import {
	addressSchema,
	integerSchema,
	numberSchema,
	settingsRegistry
} from '../../../kernel/common/settingsRegistry.js';

/** Section `[front]`. */
export interface FrontSettings {
	readonly callerAddress: string;
	readonly readyAddress: string;
	readonly maxConnections: number;
	/** Bandwidth of the instance's network link in one direction, in Mbit/s. */
	readonly linkMbit: number;
}

settingsRegistry.register({
	name: 'front',
	named: false,
	kinds: [ProcessKind.Entry],
	description: 'Listening addresses for callers and health checks, and bounds on their traffic.',
	keys: {
		callerAddress: { schema: addressSchema, description: 'IPv4 address and port for caller requests.' },
		readyAddress: { schema: addressSchema, description: 'IPv4 address and port for /readyz, /healthz and /metrics.' },
		maxConnections: {
			schema: integerSchema(1, 100000),
			description:
				'Maximum number of concurrent caller connections, 1 to 100000; beyond it, those without a request make room.',
			default: '2400'
		},
		linkMbit: {
			schema: numberSchema(0.1, 1000000),
			description: 'Bandwidth of the network link in Mbit/s, 0.1 to 1000000; large responses are paced to fit it.',
			default: '1000'
		}
	}
});
