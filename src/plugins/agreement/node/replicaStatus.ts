/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Status of a replica for operators, metrics and other parts of the process. */

import type { ReplicaStatus } from '../common/agreement.js';
import type { AgreementCore, ReplicaIdentity } from '../common/agreementCore.js';
import { type MemberId, ReplicaRole } from '../common/agreementTypes.js';

/** Status while the log is being opened, which other parts may query already. */
export function statusBeforeOpen(id: MemberId): ReplicaStatus {
	const emptyLog = { commitIndex: 0, lastIndex: 0, snapshotIndex: 0, members: [] };
	return { id, incarnation: '', role: ReplicaRole.Follower, term: 0, ...emptyLog };
}

/** Status of a replica whose log is open. */
export function statusOf({ id, incarnation }: ReplicaIdentity, core: AgreementCore): ReplicaStatus {
	const { role, term, leader, commitIndex, lastIndex, snapshotIndex, members } = core;
	return { id, incarnation, role, term, leader, commitIndex, lastIndex, snapshotIndex, members };
}
