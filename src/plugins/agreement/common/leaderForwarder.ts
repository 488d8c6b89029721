/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Peer calls that only the leader answers: any other control instance forwards them to the leader, once. */

import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { UnaryMethod } from '../../../kernel/common/peerMethods.js';

/** A request that can be forwarded to the leader. */
export interface LeaderRequest {
	/** Set when a control instance forwards the request; it is not forwarded again. */
	readonly isForwarded?: boolean;
}

/** Registers peer methods that only the leader answers. */
export interface ILeaderForwarder {
	/**
	 * @param onLeader answers the request on a leader that holds its lease
	 * @param noLeaderResponse response if no other leader is known, the lease ended meanwhile, or the request was forwarded
	 * already
	 */
	handle<Q extends LeaderRequest, S>(
		method: UnaryMethod<Q, S>,
		onLeader: (request: Q) => Promise<S>,
		noLeaderResponse: S
	): void;
}

/** Service identifier of the leader forwarder. */
export const ILeaderForwarder = createServiceIdentifier<ILeaderForwarder>('leaderForwarder');
