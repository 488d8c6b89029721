/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Section `[front]`: where callers come in, and how much the link to them bears. */

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
	/** Megabits a second of the instance's link, in one direction. */
	readonly linkMbit: number;
}

settingsRegistry.register({
	name: 'front',
	named: false,
	kinds: [ProcessKind.Entry],
	description: 'Where callers and checks of readiness come in.',
	keys: {
		callerAddress: { schema: addressSchema, description: 'IPv4 address and port for requests of callers.' },
		readyAddress: { schema: addressSchema, description: 'IPv4 address and port for /readyz, /healthz and /metrics.' },
		maxConnections: {
			schema: integerSchema(1, 100000),
			description: 'Most connections of callers at once, 1 to 100000.',
			default: '3000'
		},
		linkMbit: {
			schema: numberSchema(0.1, 1000000),
			description: 'Megabits a second of the link of the instance, 0.1 to 1000000; large answers leave room on it.',
			default: '1000'
		}
	}
});
