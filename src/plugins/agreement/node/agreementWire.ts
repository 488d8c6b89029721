/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Peer methods between replicas. */

import { defineUnary } from '../../../kernel/common/peerMethods.js';
import type { AgreementMessage, MemberListVersion } from '../common/agreementTypes.js';
import type { ReplicaIdentity } from '../common/agreementCore.js';

/** Protocol messages for the called replica, in order. */
export interface DeliverRequest {
	readonly messages: readonly AgreementMessage[];
}

/** Acknowledges receipt only; replies of the protocol are sent as separate messages. */
export interface DeliverResponse {
	readonly received: true;
}

/** Introduces the caller and, if it is not a member, asks for admission. */
export interface HelloRequest {
	readonly identity: ReplicaIdentity;
	readonly isBlank: boolean;
	/** Whether the caller asks the leader to admit it as a member. */
	readonly asksToJoin: boolean;
	/** Member list that the called replica sent last; absent before its first response. */
	readonly memberList?: MemberListVersion;
}

/** Identity of the called replica, and whether its log is empty. */
export interface HelloResponse {
	readonly identity: ReplicaIdentity;
	readonly isBlank: boolean;
	/** Addresses of the members known to the called replica; may be outdated. */
	readonly memberAddresses: readonly string[];
	/** Identifies the member list, for requests to join; absent from older replicas. */
	readonly memberList?: MemberListVersion;
}

/** Delivers protocol messages to a replica. */
export const deliverMethod = defineUnary<DeliverRequest, DeliverResponse>('agreement', 'Deliver');
/** Introduces the caller to a replica. */
export const helloMethod = defineUnary<HelloRequest, HelloResponse>('agreement', 'Hello');
