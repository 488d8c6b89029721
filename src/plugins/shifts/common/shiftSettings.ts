/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Steering settings of control instances. */

import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { integerSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';

/** Section `[steering]` of a control instance. */
export interface ControlSteeringSettings {
	readonly lookupTtlMs: number;
}

settingsRegistry.register({
	name: 'steering',
	named: false,
	kinds: [ProcessKind.Control],
	description: 'Settings of look-ups that control instances need.',
	keys: {
		lookupTtlMs: {
			schema: integerSchema(100, 3600000),
			description: 'Maximum time for which entry instances let callers cache a look-up, 100 to 3600000 ms.',
			default: '2000'
		}
	}
});
