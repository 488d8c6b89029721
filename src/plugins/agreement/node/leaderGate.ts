/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The leader gate of a control instance. */

import type { UnaryMethod } from '../../../kernel/common/peerMethods.js';
import type { ControlPeerSettings } from '../../../kernel/node/instanceSettings.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IAgreement } from '../common/agreement.js';
import type { ILeaderGate, LeaderRequest } from '../common/leaderGate.js';

const FORWARD_TIMEOUT_MS = 1500;

/** Hands calls to the leader. */
export class LeaderGate implements ILeaderGate {
	private readonly _controls: ReadonlyMap<string, ControlPeerSettings>;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IPeerCalls private readonly _wire: IPeerCalls,
		@IAgreement private readonly _agreement: IAgreement
	) {
		this._controls = settings.namedSections<ControlPeerSettings>('control');
	}

	handle<Q extends LeaderRequest, S>(method: UnaryMethod<Q, S>, onLeader: (request: Q) => Promise<S>, nobody: S): void {
		this._wire.handleUnary(method, async request => {
			if (this._agreement.hasLease()) {
				const answer = await onLeader(request);
				return this._agreement.hasLease() ? answer : nobody;
			}
			const { leader, id } = this._agreement.status();
			const peer = leader === undefined || leader === id ? undefined : this._controls.get(leader);
			if (!peer || request.isForwarded) {
				return nobody;
			}
			return this._wire.call(peer.address, method, { ...request, isForwarded: true }, FORWARD_TIMEOUT_MS);
		});
	}
}
