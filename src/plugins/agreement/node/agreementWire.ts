/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The methods between replicas. */

import { defineUnary } from '../../../kernel/common/peerMethods.js';
import type { AgreementMessage } from '../common/agreementTypes.js';
import type { ReplicaIdentity } from '../common/agreementCore.js';

/** Messages for the replica at the other end, in order. */
export interface DeliverRequest {
	readonly messages: readonly AgreementMessage[];
}

/** Nothing: answers travel as messages of their own. */
export interface DeliverResponse {
	readonly received: true;
}

/** Says who is there; a blank replica asks to be admitted by it. */
export interface HelloRequest {
	readonly identity: ReplicaIdentity;
	readonly isBlank: boolean;
	/** Whether the caller is no member yet, or no longer, and asks the leader to admit it. */
	readonly asksToJoin: boolean;
}

/** Who answered, and whether it holds anything. */
export interface HelloResponse {
	readonly identity: ReplicaIdentity;
	readonly isBlank: boolean;
	/** Addresses of the members that the answerer knows; none of them may be right any more. */
	readonly memberAddresses: readonly string[];
}

/** Hands messages to a replica. */
export const deliverMethod = defineUnary<DeliverRequest, DeliverResponse>('agreement', 'Deliver');
/** Introduces a replica. */
export const helloMethod = defineUnary<HelloRequest, HelloResponse>('agreement', 'Hello');
