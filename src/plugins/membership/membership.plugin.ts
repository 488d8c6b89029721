/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the entry membership service. */

import { pluginRegistry } from '../../kernel/common/pluginRegistry.js';
import { IEntryMembership } from './common/entryMembership.js';
import { EntryMembershipTask } from './node/entryMembershipTask.js';

pluginRegistry.registerSingleton(IEntryMembership, EntryMembershipTask);
