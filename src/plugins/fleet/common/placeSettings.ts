/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Settings that assign data halls to regions. */

import * as z from 'zod/mini';
import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { listSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';

/** Section `[places]`. */
export interface PlaceSettings {
	/** Region by hall. */
	readonly halls: ReadonlyMap<string, string>;
}

const HALL_PATTERN = /^[^:,]+:[^:,]+$/;

settingsRegistry.register({
	name: 'places',
	named: false,
	kinds: [ProcessKind.Control, ProcessKind.Entry],
	description: 'The data halls of the system and their regions.',
	keys: {
		halls: {
			schema: z.pipe(
				listSchema(z.string().check(z.regex(HALL_PATTERN, 'must be a comma-separated list of HALL:REGION'))),
				z.transform(parts => new Map(parts.map(part => part.split(':') as [string, string])))
			),
			description: 'Comma-separated list of HALL:REGION, one for each hall.',
			default: ''
		}
	}
});
