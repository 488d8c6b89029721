/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Entry instances for tests. */

import type { EntryDescription } from '../../src/plugins/fleet/common/fleetTypes.js';

/** An entry instance that is ready, with what a test changes of it. */
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
