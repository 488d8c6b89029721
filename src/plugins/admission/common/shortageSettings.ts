/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Settings of admission under shortage. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';

/** What the deployment asks for while callers compete for slots. */
export interface IShortageSettings {
	/** Whether ranks and shares of teams decide who gets scarce slots; without it all requests count alike. */
	readonly isRanked: boolean;
}

/** Service identifier of {@link IShortageSettings}. */
export const IShortageSettings = createServiceIdentifier<IShortageSettings>('shortageSettings');
