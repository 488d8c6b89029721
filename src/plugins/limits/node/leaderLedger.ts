/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The credit ledger of the leading control instance. Each leader starts a new one, once its start is committed to the log. */

import { Disposable, toDisposable } from '../../../base/disposable.js';
import { systemClock } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IAgreement } from '../../agreement/common/agreement.js';
import type { TeamLimit } from '../../routes/common/routeTable.js';
import { CreditLedger } from '../common/creditLedger.js';
import { LEDGER_PART, LedgerCeilings, type LedgerCommand } from '../common/ledgerCeilings.js';
import { type ILimitPolicy, settlementMs } from '../common/limitPolicy.js';
import type { RenewRequest, RenewResponse } from '../common/limitWire.js';

/** Interval at which ceilings are raised ahead of need. */
const CEILING_UPDATE_INTERVAL_MS = 200;
/** Commits that a call waits for: the one in flight, which may lack its teams, and the next one. */
const MAX_CEILING_WAITS = 2;

/** The ledger of this instance while it is the leader. */
export class LeaderLedger extends Disposable {
	private readonly _ceilings: LedgerCeilings;
	private _ledger: CreditLedger | undefined;
	private _term = 0;
	private _ceilingUpdate: Promise<void> | undefined;
	private _settleTimer: NodeJS.Timeout | undefined;

	/** @param _limitOf limit of a team in the current route table; undefined for none */
	constructor(
		private readonly _agreement: IAgreement,
		private readonly _policy: ILimitPolicy,
		private readonly _limitOf: (team: string) => TeamLimit | undefined,
		private readonly _log: ILogService
	) {
		super();
		this._ceilings = new LedgerCeilings(_policy, () => systemClock.now());
		_agreement.addPart(this._ceilings);
		this._register(_agreement.onDidChangeLeadership(isLeader => this._onLeadershipChange(isLeader)));
		const timer = setInterval(() => void this._updateCeilings(), CEILING_UPDATE_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
		this._register(toDisposable(() => clearTimeout(this._settleTimer)));
	}

	/**
	 * Applies a holder's reports and grants credits; without grants in the response if this instance is not the leader. Requests that
	 * lack only a higher ceiling wait until it is committed.
	 */
	async renew(request: RenewRequest): Promise<RenewResponse> {
		const ledger = this._activeLedger();
		let grants = ledger?.renew(request, systemClock.now());
		for (let i = 0; i < MAX_CEILING_WAITS && grants && ledger?.needsCeiling(request, grants); i++) {
			await this._updateCeilings();
			if (this._activeLedger() !== ledger) {
				break;
			}
			grants = ledger.grantRemaining(request, grants, systemClock.now());
		}
		return { grants };
	}

	private _activeLedger(): CreditLedger | undefined {
		return this._agreement.hasLease() ? this._ledger : undefined;
	}

	/** Each leader starts a new ledger: it knows only the ceilings of earlier ones. */
	private _onLeadershipChange(isLeader: boolean): void {
		this._ledger = undefined;
		clearTimeout(this._settleTimer);
		if (isLeader) {
			void this._begin(this._agreement.status().term);
		}
	}

	/** Grants nothing before the start of this ledger is committed to the log. */
	private async _begin(term: number): Promise<void> {
		if (!(await this._propose({ type: 'begin', term })) || !this._isLeaderInTerm(term)) {
			return;
		}
		this._term = term;
		this._ledger = new CreditLedger(this._policy, this._ceilings, this._limitOf);
		this._log.info('credit ledger started', { task: 'limits', term });
		this._settleTimer = setTimeout(() => void this._propose({ type: 'settle', term }), settlementMs(this._policy));
	}

	/** Raises ceilings; a call during another update resolves with that one. */
	private _updateCeilings(): Promise<void> {
		this._ceilingUpdate ??= this._commitCeilings().finally(() => (this._ceilingUpdate = undefined));
		return this._ceilingUpdate;
	}

	private async _commitCeilings(): Promise<void> {
		const ledger = this._activeLedger();
		const update = ledger?.takeNewCeilings(systemClock.now());
		if (update && Object.keys(update.ceilings).length > 0) {
			if (await this._propose({ type: 'ceilings', term: this._term, ...update })) {
				ledger?.recordCommitted();
			}
		}
	}

	private _isLeaderInTerm(term: number): boolean {
		const { leader, id, term: current } = this._agreement.status();
		return leader === id && current === term;
	}

	/** @returns false if the command may not be committed */
	private async _propose(body: LedgerCommand): Promise<boolean> {
		try {
			await this._agreement.propose({ part: LEDGER_PART, body });
			return true;
		} catch (error) {
			const { type, term } = body;
			this._log.warn('cannot commit command of credit ledger', {
				task: 'limits',
				type,
				term,
				reason: (error as Error).message
			});
			return false;
		}
	}
}
