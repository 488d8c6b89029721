/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The limits of teams on a control instance, which holds credits for entry instances; the leader also keeps the ledger. */

import { randomUUID } from 'node:crypto';
import { Disposable } from '../../../base/disposable.js';
import type { Millis } from '../../../base/clock.js';
import { SuspensionDetector } from '../../../base/suspensionDetector.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import { IFleetControl } from '../../fleet/common/fleetControl.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';
import { ILimitPolicy } from '../common/limitPolicy.js';
import { type CreditGrant, renewMethod, type RenewRequest, takeMethod } from '../common/limitWire.js';
import { CreditMetrics } from './creditMetrics.js';
import { CreditHolder } from './creditHolder.js';
import { LeaderLedger } from './leaderLedger.js';

/** Holds credits at this instance, and keeps the ledger while it is the leader. */
export class LimitControlTask extends Disposable {
	private readonly _holder: CreditHolder;
	private readonly _ledger: LeaderLedger;

	constructor(
		@IPeerCalls private readonly _calls: IPeerCalls,
		@IAgreement private readonly _agreement: IAgreement,
		@IFleetControl fleet: IFleetControl,
		@ILimitPolicy policy: ILimitPolicy,
		@ILogService private readonly _log: ILogService,
		@IMetricsService metrics: IMetricsService
	) {
		super();
		const limitOf = (team: string): TeamLimit | undefined => fleet.team(team)?.limit;
		this._ledger = this._register(new LeaderLedger(_agreement, policy, limitOf, _log));
		this._holder = this._register(
			new CreditHolder(
				randomUUID(),
				(request, timeoutMs) => this._renewAtLeader(request, timeoutMs),
				limitOf,
				_log,
				new SuspensionDetector(),
				new CreditMetrics(metrics)
			)
		);
		_calls.handleUnary(renewMethod, request => this._ledger.renew(request));
		_calls.handleUnary(takeMethod, async request => this._holder.take(request));
	}

	/** Returns all credits before a planned stop, so that other instances can get them from the leader. */
	drain(): Promise<void> {
		return this._holder.release();
	}

	/** Requests credits from the leader; undefined if it could not be reached. */
	private async _renewAtLeader(request: RenewRequest, timeoutMs: Millis): Promise<readonly CreditGrant[] | undefined> {
		const { leader, id, members } = this._agreement.status();
		if (leader === id) {
			return (await this._ledger.renew(request)).grants;
		}
		const address = members.find(member => member.id === leader)?.address;
		if (address === undefined) {
			return undefined;
		}
		try {
			return (await this._calls.call(address, renewMethod, request, timeoutMs)).grants;
		} catch (error) {
			this._log.warn('cannot renew credits at the leader', {
				task: 'limits',
				leader,
				reason: (error as Error).message
			});
			return undefined;
		}
	}
}
