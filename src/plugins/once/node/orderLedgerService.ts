/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Order keys on a control instance: proposes claims and outcomes to the replicated log. */

import { systemClock } from '../../../base/clock.js';
import { type IContribution, ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { integerSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import { ILeaderForwarder } from '../../agreement/common/leaderForwarder.js';
import { claimMethod, type ClaimRequest, outcomeMethod, type OutcomeRequest } from '../common/atMostOnceDispatch.js';
import {
	type ClaimCommand,
	type ClaimResult,
	ORDER_PART,
	OrderLedger,
	type OutcomeCommand
} from '../common/orderLedger.js';

const DAY_MS = 24 * 60 * 60 * 1000;

/** Section `[orders]`. */
interface OrderSettings {
	readonly keepDays: number;
}

settingsRegistry.register({
	name: 'orders',
	named: false,
	kinds: [ProcessKind.Control],
	description: 'Keys of requests that must run at most once.',
	keys: {
		keepDays: {
			schema: integerSchema(1, 400),
			description: 'Retention of order keys in days, 1 to 400; older keys are refused.',
			default: '7'
		}
	}
});

/** Handles claims and outcomes forwarded to the leader. */
export class OrderLedgerService implements IContribution {
	private readonly _ledger = new OrderLedger();
	private readonly _keepDays: number;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IAgreement private readonly _agreement: IAgreement,
		@ILeaderForwarder leaderForwarder: ILeaderForwarder
	) {
		this._keepDays = settings.section<OrderSettings>('orders').keepDays;
		this._agreement.addPart(this._ledger);
		leaderForwarder.handle(claimMethod, request => this._claim(request), { kind: 'no-quorum' });
		leaderForwarder.handle(outcomeMethod, request => this._recordOutcome(request), { isRecorded: false });
	}

	/** Does nothing: the constructor registers the handlers. */
	async start(): Promise<void> {}

	private async _claim(request: ClaimRequest): Promise<ClaimResult> {
		const { key, digest, requestId } = request;
		const oldest = new Date(systemClock.wallNow() - this._keepDays * DAY_MS);
		const oldestDate = oldest.toISOString().slice(0, 'YYYY-MM-DD'.length);
		const body: ClaimCommand = { type: 'claim', key, digest, requestId, oldestDate };
		try {
			return await this._agreement.propose<ClaimResult>({ part: ORDER_PART, body });
		} catch {
			return { kind: 'no-quorum' };
		}
	}

	private async _recordOutcome(request: OutcomeRequest): Promise<{ isRecorded: boolean }> {
		const { key, requestId, outcome } = request;
		const body: OutcomeCommand = { type: 'outcome', key, requestId, outcome };
		try {
			await this._agreement.propose({ part: ORDER_PART, body });
			return { isRecorded: true };
		} catch {
			return { isRecorded: false };
		}
	}
}
