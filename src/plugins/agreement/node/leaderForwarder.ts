/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Forwards peer calls of a control instance to the leader. */

import type { UnaryMethod } from '../../../kernel/common/peerMethods.js';
import type { ControlPeerSettings } from '../../../kernel/node/instanceSettings.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IAgreement } from '../common/agreement.js';
import type { ILeaderForwarder, LeaderRequest } from '../common/leaderForwarder.js';

const FORWARD_TIMEOUT_MS = 1500;

/** Answers calls if this replica is the leader, and forwards them to the leader otherwise. */
export class LeaderForwarder implements ILeaderForwarder {
	private readonly _controls: ReadonlyMap<string, ControlPeerSettings>;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IPeerCalls private readonly _peerCalls: IPeerCalls,
		@IAgreement private readonly _agreement: IAgreement
	) {
		this._controls = settings.namedSections<ControlPeerSettings>('control');
	}

	handle<Q extends LeaderRequest, S>(
		method: UnaryMethod<Q, S>,
		onLeader: (request: Q) => Promise<S>,
		noLeaderResponse: S
	): void {
		this._peerCalls.handleUnary(method, async request => {
			if (this._agreement.hasLease()) {
				const response = await onLeader(request);
				return this._agreement.hasLease() ? response : noLeaderResponse;
			}
			const { leader, id } = this._agreement.status();
			const peer = leader === undefined || leader === id ? undefined : this._controls.get(leader);
			if (!peer || request.isForwarded) {
				return noLeaderResponse;
			}
			return this._peerCalls.call(peer.address, method, { ...request, isForwarded: true }, FORWARD_TIMEOUT_MS);
		});
	}
}
