/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Provides permits within the limits of targets to requests of this instance and to other entry instances. */

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
import type { LimitReport } from '../common/targetLimit.js';
import type { IPermit, ITargetLimits, LimitedTarget } from '../common/targetLimits.js';
import { type PermitProvider, TargetLimitTable } from '../common/targetLimitTable.js';

/** A request that waits longer for a permit is better sent to another target; a call to another region may take 70 ms. */
const PERMIT_TIMEOUT_MS: Millis = 150;
const REPORT_INTERVAL_MS: Millis = 250;

/** A permit granted by another instance; it is lost if it is not used. */
const REMOTE_PERMIT: IPermit = { giveBack: () => undefined };

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
		_calls.handleUnary(permitMethod, async request => this._table.grantPermit(request, systemClock.now()));
		this._register(this.onDidChange(({ source }) => source === 'target' && this._reportLimits(true)));
		const timer = setInterval(() => this._reportLimits(false), REPORT_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	get onDidChange(): TargetLimitTable['onDidChange'] {
		return this._table.onDidChange;
	}

	perSecond(record: TargetRecord, now: Millis): number | undefined {
		return this._table.perSecond(record, now);
	}

	hasCapacity(record: TargetRecord, mayAskOthers: boolean, now: Millis): boolean {
		return this._table.hasCapacity(record, mayAskOthers, now);
	}

	permitWaitMs(record: TargetRecord, now: Millis): Millis {
		return this._table.permitWaitMs(record, now);
	}

	applyReport(record: TargetRecord, report: LimitReport): void {
		this._table.applyReport(record, report, systemClock.now());
	}

	knownSince(record: TargetRecord): Millis {
		return this._table.knownSince(record);
	}

	acquirePermit(record: TargetRecord): IPermit | undefined | Promise<IPermit | undefined> {
		const now = systemClock.now();
		if (this._table.tryTakeOwnPermit(record, now)) {
			return { giveBack: () => this._table.giveBack(record) };
		}
		const provider = this._table.findPermitProvider(record, now);
		return provider && this._requestPermit(record, provider);
	}

	limitedTargets(): readonly LimitedTarget[] {
		return this._table.limited(systemClock.now());
	}

	/** Reports limits to control, which passes them to all instances. */
	private _reportLimits(isImmediate: boolean): void {
		this._session.reportLimits(this._table.unreportedLimits(systemClock.now()), isImmediate);
	}

	private async _requestPermit(record: TargetRecord, { name, address }: PermitProvider): Promise<IPermit | undefined> {
		const { id: targetId, bornAt } = record;
		try {
			const response = await this._calls.call(address, permitMethod, { targetId, bornAt }, PERMIT_TIMEOUT_MS);
			if (response.isGranted) {
				return REMOTE_PERMIT;
			}
			this._table.recordDenied(record, name, response.waitMs, systemClock.now());
		} catch (error) {
			const reason = (error as Error).message;
			this._log.warn('cannot get permit from sender', { task: 'limits', target: targetId, sender: name, reason });
			this._table.recordUnresponsive(name, systemClock.now());
		}
		return undefined;
	}
}
