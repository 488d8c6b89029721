/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Initial log of a system whose members are discovered from seeds. Every seed writes the same first entry to its empty
 * disk, so no single instance has to bootstrap the system: any majority of the seeds can start it.
 */

import { EntryKind, type HardState, type LogEntry, type Member, MemberRole } from './agreementTypes.js';

/** Incarnation of every seed at the first start of the system. */
export const INITIAL_INCARNATION = 'first';

/** What a seed writes to its disk before it takes part in the protocol. */
export interface BootstrapState {
	readonly entries: readonly LogEntry[];
	readonly hardState: HardState;
}

/** @param seeds peer addresses of the seeds; must be the same on every seed */
export function createBootstrapState(seeds: readonly string[]): BootstrapState {
	const members: Member[] = [...seeds].sort().map(address => ({
		id: address,
		incarnation: INITIAL_INCARNATION,
		address,
		role: MemberRole.Voter
	}));
	return { entries: [{ index: 1, term: 1, kind: EntryKind.Members, members }], hardState: { term: 1 } };
}
