/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Gives permits within the limits of targets to the requests of this instance, and to other entry instances. */

import { type Millis, systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IFleetSession } from '../../fleet/common/fleetSession.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import { PaceShare } from '../../fleet/common/paceShare.js';
import { permitMethod } from '../common/permitWire.js';
import type { LimitWord } from '../common/targetLimit.js';
import type { IPermit, ITargetLimits, LimitedTarget } from '../common/targetLimits.js';
import { type Lender, TargetLimitTable } from '../common/targetLimitTable.js';

/** A permit that takes longer to get is worth less than the next target; one of another region may take 70 ms. */
const PERMIT_ANSWER_MS: Millis = 150;
const TELL_INTERVAL_MS: Millis = 250;

/** What another instance gave is used at once, or lost. */
const BORROWED: IPermit = { giveBack: () => undefined };

/** The limits of targets at this instance. */
export class TargetLimitsTask extends Disposable implements ITargetLimits {
	private readonly _table: TargetLimitTable;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IFleetSession private readonly _session: IFleetSession,
		@IPeerCalls private readonly _calls: IPeerCalls,
		@ILogService private readonly _log: ILogService
	) {
		super();
		const { name } = settings.section<InstanceSettings>('instance');
		this._table = new TargetLimitTable(_session.view, new PaceShare(name, () => _session.ageMs()));
		_calls.handleUnary(permitMethod, async request => this._table.lend(request, systemClock.now()));
		this._register(this.onDidChange(({ source }) => source === 'target' && this._tell(true)));
		const timer = setInterval(() => this._tell(false), TELL_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	get onDidChange(): TargetLimitTable['onDidChange'] {
		return this._table.onDidChange;
	}

	perSecond(record: TargetRecord, now: Millis): number | undefined {
		return this._table.perSecond(record, now);
	}

	isOpen(record: TargetRecord, mayAsk: boolean, now: Millis): boolean {
		return this._table.isOpen(record, mayAsk, now);
	}

	permitInMs(record: TargetRecord, now: Millis): Millis {
		return this._table.permitInMs(record, now);
	}

	hear(record: TargetRecord, word: LimitWord): void {
		this._table.hear(record, word, systemClock.now());
	}

	knownSince(record: TargetRecord): Millis {
		return this._table.knownSince(record);
	}

	take(record: TargetRecord): IPermit | undefined | Promise<IPermit | undefined> {
		const now = systemClock.now();
		if (this._table.takeOwn(record, now)) {
			return { giveBack: () => this._table.giveBack(record) };
		}
		const lender = this._table.lender(record, now);
		return lender && this._borrow(record, lender);
	}

	limited(): readonly LimitedTarget[] {
		return this._table.limited(systemClock.now());
	}

	/** What targets named to this instance is to be known to all of them. */
	private _tell(hasNews: boolean): void {
		this._session.reportLimits(this._table.untold(systemClock.now()), hasNews);
	}

	private async _borrow(record: TargetRecord, { name, address }: Lender): Promise<IPermit | undefined> {
		const { id: targetId, bornAt } = record;
		try {
			const answer = await this._calls.call(address, permitMethod, { targetId, bornAt }, PERMIT_ANSWER_MS);
			if (answer.isGranted) {
				return BORROWED;
			}
			this._table.noteDenied(record, name, answer.waitMs, systemClock.now());
		} catch (error) {
			const reason = (error as Error).message;
			this._log.warn('no permit got of a sender', { task: 'limits', target: targetId, sender: name, reason });
			this._table.noteSilent(name, systemClock.now());
		}
		return undefined;
	}
}
