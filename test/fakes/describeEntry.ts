/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

import type { EntryDescription } from '../../src/plugins/fleet/common/fleetTypes.js';

/** Describes a ready entry instance, with the given fields replaced. */
export function describeEntry(changed: Partial<EntryDescription> = {}): EntryDescription {
	return {
		name: 'e',
		incarnation: 'i',
		sequence: 1,
		hall: 'h',
		region: 'r',
		callerAddress: '127.0.0.1:1',
		peerAddress: '127.0.0.1:2',
		isReady: true,
		revision: 4,
		demand: {},
		...changed
	};
}
