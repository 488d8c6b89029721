/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Ownership of targets: each target of a data hall gets requests from one instance of the hall at a time. */

import type { Event } from '../../../base/event.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';

/** Tells which targets of its data hall this instance owns. */
export interface ITargetOwnership {
	/** Fires when the result of `owns` may have changed. */
	readonly onDidChange: Event<void>;
	/** Whether this instance owns the target now; also checked right before the first byte of a request is sent. */
	owns(target: string): boolean;
}

/** Service identifier. */
export const ITargetOwnership = createServiceIdentifier<ITargetOwnership>('targetOwnership');
