/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The first entry of a system whose instances learn of each other from seeds. Every seed writes the same entry on its
 * blank disk, so no instance has to found the system and none has to be up for another to begin: a majority of them does.
 */

import { EntryKind, type HardState, type LogEntry, type Member, MemberRole } from './agreementTypes.js';

/** Incarnation of a disk at the very first start. */
export const FIRST_INCARNATION = 'first';

/** What a seed persists before it takes part. */
export interface Genesis {
	readonly entries: readonly LogEntry[];
	readonly hardState: HardState;
}

/** @param seeds peer addresses of the seeds, alike on every instance at the first start */
export function createGenesis(seeds: readonly string[]): Genesis {
	const members: Member[] = [...seeds].sort().map(address => ({
		id: address,
		incarnation: FIRST_INCARNATION,
		address,
		role: MemberRole.Voter
	}));
	return { entries: [{ index: 1, term: 1, kind: EntryKind.Members, members }], hardState: { term: 1 } };
}
