/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What the task of a replica handles, in the order of arrival. */

import type { ReplicaIdentity } from '../common/agreementCore.js';
import type { AgreementMessage, LogIndex, MemberId, MemberListVersion } from '../common/agreementTypes.js';
import type { Proposal } from './appendedProposals.js';

/** A message in the mailbox of the task. */
export type TaskMessage =
	| { readonly type: 'tick' }
	| { readonly type: 'received'; readonly message: AgreementMessage }
	| { readonly type: 'propose'; readonly proposal: Proposal }
	| { readonly type: 'join'; readonly identity: ReplicaIdentity; readonly memberList: MemberListVersion | undefined }
	| {
			readonly type: 'remove';
			readonly id: MemberId;
			readonly admittedAt: LogIndex;
			readonly resolve: (done: boolean) => void;
	  }
	| { readonly type: 'bootstrap' };
