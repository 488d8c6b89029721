/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The leader's ledger of limits: begins with each leader, after the log says so, and answers the holders of credits. */

import { Disposable, toDisposable } from '../../../base/disposable.js';
import { systemClock } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IAgreement } from '../../agreement/common/agreement.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';
import { CreditLedger } from '../common/creditLedger.js';
import { LEDGER_PART, LedgerCeilings, type LedgerCommand } from '../common/ledgerCeilings.js';
import { type ILimitTerms, settleMs } from '../common/limitTerms.js';
import type { RenewRequest, RenewResponse } from '../common/limitWire.js';

/** Time between looks at the ceilings; a team that needs more than its ceiling waits for the log once. */
const CEILINGS_MS = 200;

/** The ledger of this instance while it leads. */
export class LeaderLedger extends Disposable {
	private readonly _ceilings = new LedgerCeilings();
	private _ledger: CreditLedger | undefined;
	private _term = 0;
	private _isWriting = false;
	private _settleTimer: NodeJS.Timeout | undefined;

	/** @param _limitOf the limit of a team by the table in force; undefined for none */
	constructor(
		private readonly _agreement: IAgreement,
		private readonly _terms: ILimitTerms,
		private readonly _limitOf: (team: string) => TeamLimit | undefined,
		private readonly _log: ILogService
	) {
		super();
		_agreement.addPart(this._ceilings);
		this._register(_agreement.onDidChangeLeadership(isLeader => this._onLeadership(isLeader)));
		const timer = setInterval(() => void this._writeCeilings(), CEILINGS_MS);
		this._register(toDisposable(() => clearInterval(timer)));
		this._register(toDisposable(() => clearTimeout(this._settleTimer)));
	}

	/** Takes a holder's reports in and gives it credits. */
	renew(request: RenewRequest): RenewResponse {
		return { grants: this._inForce()?.renew(request, systemClock.now()) };
	}

	private _inForce(): CreditLedger | undefined {
		return this._agreement.hasLease() ? this._ledger : undefined;
	}

	/** Each leader begins anew: of the one before it knows the ceilings only. */
	private _onLeadership(isLeader: boolean): void {
		this._ledger = undefined;
		clearTimeout(this._settleTimer);
		if (isLeader) {
			void this._begin(this._agreement.status().term);
		}
	}

	/** Nothing is given out before the log says that this ledger has begun. */
	private async _begin(term: number): Promise<void> {
		if (!(await this._propose({ type: 'begin', term })) || !this._leadsIn(term)) {
			return;
		}
		this._term = term;
		this._ledger = new CreditLedger(this._terms, this._ceilings, this._limitOf, systemClock.now());
		this._log.info('ledger of limits begun', { task: 'limits', term });
		this._settleTimer = setTimeout(() => void this._propose({ type: 'settle', term }), settleMs(this._terms));
	}

	private async _writeCeilings(): Promise<void> {
		const ledger = this._inForce();
		if (!ledger || this._isWriting) {
			return;
		}
		const ceilings = ledger.newCeilings(systemClock.now());
		if (Object.keys(ceilings).length > 0) {
			this._isWriting = true;
			await this._propose({ type: 'ceilings', term: this._term, ceilings });
			this._isWriting = false;
		}
	}

	private _leadsIn(term: number): boolean {
		const { leader, id, term: current } = this._agreement.status();
		return leader === id && current === term;
	}

	/** @returns false where the command may not be in the log */
	private async _propose(body: LedgerCommand): Promise<boolean> {
		try {
			await this._agreement.propose({ part: LEDGER_PART, body });
			return true;
		} catch (error) {
			const { type, term } = body;
			this._log.warn('ledger of limits not written', { task: 'limits', type, term, reason: (error as Error).message });
			return false;
		}
	}
}
