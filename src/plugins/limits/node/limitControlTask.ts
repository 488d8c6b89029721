/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The limits of teams on a control instance: the leader keeps the ledger. */

import { Disposable } from '../../../base/disposable.js';
import { systemClock } from '../../../base/clock.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import { ILeaderGate } from '../../agreement/common/leaderGate.js';
import { IFleetControl } from '../../fleet/common/fleetControl.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';
import { CreditLedger } from '../common/creditLedger.js';
import { ILimitTerms } from '../common/limitTerms.js';
import {
	needMethod,
	type NeedRequest,
	type NeedResponse,
	renewMethod,
	type RenewRequest,
	type RenewResponse
} from '../common/limitWire.js';

/** Answers renewals while this instance leads. */
export class LimitControlTask extends Disposable {
	private _ledger: CreditLedger | undefined;
	private readonly _limitOf = (team: string): TeamLimit | undefined => this._fleet.team(team)?.limit;

	constructor(
		@ILeaderGate gate: ILeaderGate,
		@IAgreement agreement: IAgreement,
		@IFleetControl private readonly _fleet: IFleetControl,
		@ILimitTerms private readonly _terms: ILimitTerms,
		@ILogService private readonly _log: ILogService
	) {
		super();
		gate.handle(renewMethod, async request => this._renew(request), {});
		gate.handle(needMethod, async request => this._need(request), {});
		this._register(agreement.onDidChangeLeadership(isLeader => this._startLedger(isLeader)));
	}

	/** Each leader begins anew: what the one before gave lapses by itself. */
	private _startLedger(isLeader: boolean): void {
		this._ledger = isLeader ? new CreditLedger(this._terms, systemClock.now()) : undefined;
		if (isLeader) {
			this._log.info('ledger of limits begun', { task: 'limits' });
		}
	}

	private _renew({ holder, sequence, asks }: RenewRequest): RenewResponse {
		return { grants: this._ledger?.renew(holder, sequence, asks, this._limitOf, systemClock.now()) };
	}

	private _need({ holder, needs }: NeedRequest): NeedResponse {
		return { grants: this._ledger?.need(holder, needs, this._limitOf, systemClock.now()) };
	}
}
