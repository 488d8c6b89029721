/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Target ownership on a control instance: renews leases and records takeovers from instances whose lease has expired. */

import { systemClock } from '../../../base/clock.js';
import { Disposable } from '../../../base/disposable.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import { ILeaderForwarder } from '../../agreement/common/leaderForwarder.js';
import { OWNERSHIP_LEASE_MS } from '../common/ownershipLease.js';
import { renewMethod, type RenewRequest, type RenewResponse } from '../common/ownershipWire.js';
import { TAKEOVER_PART, type TakeoverCommand, type TakeoverResult, TakeoverState } from '../common/takeoverState.js';

/** Added to the lease duration to allow for differences in clock rates. */
const CLOCK_DRIFT_MARGIN_MS = 200;
const NOT_RENEWED: RenewResponse = { isRenewed: false, isRecorded: false };

/** Handles renewals and takeover requests; only the leader grants them. */
export class TakeoverService extends Disposable {
	private readonly _state = new TakeoverState();
	private readonly _lastRenewedAt = new Map<string, number>();
	private _leaderSince = Number.POSITIVE_INFINITY;

	constructor(
		@ILeaderForwarder leaderForwarder: ILeaderForwarder,
		@IAgreement private readonly _agreement: IAgreement,
		@ILogService private readonly _log: ILogService
	) {
		super();
		this._agreement.addPart(this._state);
		this._register(
			this._agreement.onDidChangeLeadership(isLeader => {
				this._leaderSince = isLeader ? systemClock.now() : Number.POSITIVE_INFINITY;
				this._lastRenewedAt.clear();
			})
		);
		leaderForwarder.handle(renewMethod, request => this._handleRenewal(request), NOT_RENEWED);
	}

	private async _handleRenewal(request: RenewRequest): Promise<RenewResponse> {
		const { instance, takeOver, giveBack, base = 0 } = request;
		await this._endTakeoverIfExpired(instance);
		const isRenewed = this._state.ownership(instance).takenOverBy === undefined;
		if (isRenewed) {
			this._lastRenewedAt.set(instance, systemClock.now());
		}
		let isRecorded = false;
		if (giveBack !== undefined) {
			isRecorded = await this._propose({ type: 'giveBack', of: giveBack, by: instance, base });
		} else if (takeOver !== undefined && isRenewed && this._isLeaseExpired(takeOver)) {
			isRecorded = await this._propose({ type: 'takeOver', of: takeOver, by: instance, base });
			this._log.info('takeover requested', { task: 'ownership', of: takeOver, by: instance, isRecorded });
		}
		return { isRenewed, isRecorded, ownerships: this._state.ownerships };
	}

	/** Whether the lease of an instance has expired, even if the previous leader renewed it right before it lost leadership. */
	private _isLeaseExpired(instance: string): boolean {
		const now = systemClock.now();
		const lastPossibleRenewalAt = Math.max(
			this._lastRenewedAt.get(instance) ?? Number.NEGATIVE_INFINITY,
			this._leaderSince
		);
		return now - lastPossibleRenewalAt > OWNERSHIP_LEASE_MS + CLOCK_DRIFT_MARGIN_MS;
	}

	private async _endTakeoverIfExpired(instance: string): Promise<void> {
		const { takenOverBy, version } = this._state.ownership(instance);
		if (takenOverBy !== undefined && this._isLeaseExpired(takenOverBy)) {
			await this._propose({ type: 'giveBack', of: instance, by: takenOverBy, base: version });
		}
	}

	private async _propose(body: TakeoverCommand): Promise<boolean> {
		try {
			return (await this._agreement.propose<TakeoverResult>({ part: TAKEOVER_PART, body })).ok;
		} catch {
			return false;
		}
	}
}
