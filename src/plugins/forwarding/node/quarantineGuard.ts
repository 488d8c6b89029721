/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Keeps requests that stop each target that runs them away from targets. Combines what control counted over all instances with what
 * this instance observed itself, since control may be unreachable.
 */

import { systemClock } from '../../../base/clock.js';
import { Disposable } from '../../../base/disposable.js';
import type { IFleetSession } from '../../fleet/common/fleetSession.js';
import { KnownQuarantine } from '../../fleet/common/knownQuarantine.js';
import { LossOrder } from '../../fleet/common/lossOrder.js';
import { QuarantinePhase, type SeenRun, told } from '../../fleet/common/quarantineTypes.js';
import { RequestQuarantine } from '../../fleet/common/requestQuarantine.js';
import type { AttemptOutcome } from '../common/attempt.js';
import { isFailure, type Journey } from './journey.js';
import type { LostRunWatch } from './lostRunWatch.js';
import { identityOf, pathHashOf } from './requestDigest.js';

/** Looks up and updates the quarantine phase of requests at this instance. */
export class QuarantineGuard extends Disposable {
	private readonly _localQuarantine = new RequestQuarantine();
	private readonly _localLossOrder = new LossOrder();
	private readonly _localView = new KnownQuarantine();

	constructor(
		private readonly _session: IFleetSession,
		lostRunDetector: LostRunWatch
	) {
		super();
		this._register(lostRunDetector.onDidLose(run => this._onRunLost(run)));
		this._register(_session.view.quarantine.onDidClear(digest => this._clear(digest)));
	}

	/** The quarantine phase of a request; computes no digest unless the path hash matches a suspected or quarantined request. */
	phase(context: Journey): QuarantinePhase {
		const { quarantine } = this._session.view;
		if (quarantine.isEmpty && this._localView.isEmpty) {
			return QuarantinePhase.Clear;
		}
		context.pathHash ??= pathHashOf(context.exchange);
		if (!quarantine.mayKnow(context.pathHash) && !this._localView.mayKnow(context.pathHash)) {
			return QuarantinePhase.Clear;
		}
		const { digest } = identityOf(context);
		return Math.max(quarantine.phase(digest), this._localView.phase(digest));
	}

	/**
	 * Clears a request that a target answered without a server error, and reports that to control. This includes requests not suspected
	 * yet that lost a target: when several data halls fail in a row, the same requests lose a target each time.
	 */
	noteOutcome(context: Journey, outcome: AttemptOutcome): void {
		if (outcome.type !== 'answer' || isFailure(outcome)) {
			return;
		}
		if (!context.hasEndedTarget && this.phase(context) === QuarantinePhase.Clear) {
			return;
		}
		const { digest } = identityOf(context);
		this._clear(digest);
		this._session.reportAnswer(digest);
	}

	private _onRunLost(run: SeenRun): void {
		this._session.reportRun(run);
		const now = systemClock.now();
		if (this._localLossOrder.admits(told(run, now), now) && this._localQuarantine.note(run)) {
			this._refreshLocalView();
		}
	}

	private _clear(digest: string): void {
		if (this._localQuarantine.clear(digest)) {
			this._refreshLocalView();
		}
	}

	private _refreshLocalView(): void {
		this._localView.apply({ revision: this._localView.revision + 1, records: this._localQuarantine.known });
	}
}
