/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Service that gives access to the control part of the replicated state. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { ControlState } from './controlState.js';

/** Holds the control state of this replica. */
export interface IControlStateService {
	readonly state: ControlState;
}

/** Service identifier of the control state. */
export const IControlStateService = createServiceIdentifier<IControlStateService>('controlStateService');
