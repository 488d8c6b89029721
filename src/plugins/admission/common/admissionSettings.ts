/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Section `[admission]`: whether ranks decide who is served during a shortage. */

import * as z from 'zod/mini';
import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { settingsRegistry } from '../../../kernel/common/settingsRegistry.js';

const RANK_MODES = ['deployment', 'on', 'off'] as const;

/** Section `[admission]`. */
export interface AdmissionSettings {
	/** Whether ranks and shares of teams decide; with `deployment`, where the deployment says that callers compete for slots. */
	readonly ranks: (typeof RANK_MODES)[number];
}

settingsRegistry.register({
	name: 'admission',
	named: false,
	kinds: [ProcessKind.Entry],
	description: 'Who is served while a service has fewer slots than its callers need.',
	keys: {
		ranks: {
			schema: z.enum(RANK_MODES, RANK_MODES.join(', ')),
			description:
				'Whether priorities and equal shares of teams decide during a shortage: on, off, or deployment for what the deployment asks for.',
			default: 'deployment'
		}
	}
});
