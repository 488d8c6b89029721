/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Keeps requests that stop each target that runs them away from targets. Combines what control counted over all instances with what
 * this instance observed itself, since control may be unreachable.
 */

import { type IClock, type Millis, systemClock } from '../../../base/clock.js';
import { Disposable } from '../../../base/disposable.js';
import type { IFleetSession } from '../../fleet/common/fleetSession.js';
import { QuarantineView } from '../../fleet/common/quarantineView.js';
import { RecentAnswers } from '../../fleet/common/recentAnswers.js';
import { LossEvidence } from '../../fleet/common/lossEvidence.js';
import { QuarantinePhase, type ObservedLostRun, toReportedRun } from '../../fleet/common/quarantineTypes.js';
import { RequestQuarantine } from '../../fleet/common/requestQuarantine.js';
import { type AttemptOutcome, isServerError } from '../common/attempt.js';
import type { RequestContext } from './requestContext.js';
import type { LostRunDetector } from './lostRunDetector.js';
import { identityOf, pathHashOf } from './requestDigest.js';

/** With a view older than this, control does not count in time what instances report. */
const MAX_VIEW_AGE_MS = 1500;

/** While no target stops, answers are not remembered, since the digest of each request costs time. */
const LOSS_MEMORY_MS = 30000;

/** Looks up and updates the quarantine phase of requests at this instance. */
export class QuarantineGuard extends Disposable {
	private readonly _localQuarantine = new RequestQuarantine();
	private readonly _localEvidence = new LossEvidence();
	private readonly _localView = new QuarantineView();
	private readonly _recentAnswers = new RecentAnswers();
	/** When this instance last noticed a lost run; answers are remembered only for some time after that. */
	private _lastLossAt: Millis = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly _session: IFleetSession,
		lostRunDetector: LostRunDetector,
		private readonly _clock: IClock = systemClock
	) {
		super();
		this._register(lostRunDetector.onDidLose(run => this._onRunLost(run)));
		this._register(_session.view.quarantine.onDidClear(digest => this._clear(digest)));
		this._register(_session.view.quarantine.onDidList(digest => this._reportEarlierAnswer(digest)));
	}

	/** The quarantine phase of a request; computes no digest unless the path hash matches a suspected or quarantined request. */
	phase(context: RequestContext): QuarantinePhase {
		const { quarantine } = this._session.view;
		if (quarantine.isEmpty && this._localView.isEmpty) {
			return QuarantinePhase.Clear;
		}
		context.pathHash ??= pathHashOf(context.exchange);
		if (!quarantine.mayContain(context.pathHash) && !this._localView.mayContain(context.pathHash)) {
			return QuarantinePhase.Clear;
		}
		const { digest } = identityOf(context);
		return Math.max(quarantine.phase(digest), this._localPhase(digest));
	}

	/** While control counts, a request that only this instance has seen lost is not refused: others may have seen answers to it. */
	private _localPhase(digest: string): QuarantinePhase {
		const phase = this._localView.phase(digest);
		return this._session.ageMs() > MAX_VIEW_AGE_MS ? phase : Math.min(phase, QuarantinePhase.Suspected);
	}

	/**
	 * Clears a request that a target answered without a server error, and reports that to control. This includes requests not suspected
	 * yet that lost a target: when several data halls fail in a row, the same requests lose a target each time.
	 */
	recordOutcome(context: RequestContext, outcome: AttemptOutcome): void {
		if (outcome.type !== 'answer' || isServerError(outcome)) {
			return;
		}
		if (outcome.remainingBody) {
			outcome.remainingBody.once('end', () => this._recordAnswer(context));
		} else {
			this._recordAnswer(context);
		}
	}

	private _recordAnswer(context: RequestContext): void {
		const now = this._clock.now();
		if (now - this._lastLossAt > LOSS_MEMORY_MS && this._session.view.quarantine.isEmpty) {
			return;
		}
		const { digest } = identityOf(context);
		this._recentAnswers.add(digest, now);
		if (!context.wasLostWithTarget && this.phase(context) === QuarantinePhase.Clear) {
			return;
		}
		this._clear(digest);
		this._session.reportAnswer(digest);
	}

	private _onRunLost(lostRun: ObservedLostRun): void {
		const now = this._clock.now();
		this._lastLossAt = now;
		const run = { ...lostRun, answeredAt: this._recentAnswers.answeredAt(lostRun.digest, now) };
		this._session.reportRun(run);
		if (run.runningAt !== undefined) {
			// Without the answers that other instances get, this instance would accuse whatever callers abandon.
			return;
		}
		this._localEvidence.add(toReportedRun(run, now), now);
		const counted = this._localQuarantine.get(run.digest)?.runs ?? [];
		const uncounted = this._localEvidence.uncountedRuns(run.digest, counted, now);
		if (uncounted.filter(other => this._localQuarantine.recordRun(other)).length > 0) {
			this._refreshLocalView();
		}
	}

	/** Reports an answer from before the request became suspected, which was not known to control then. */
	private _reportEarlierAnswer(digest: string): void {
		const answeredAt = this._recentAnswers.answeredAt(digest, this._clock.now());
		if (answeredAt !== undefined) {
			this._session.reportEarlierAnswer(digest, answeredAt);
		}
	}

	private _clear(digest: string): void {
		this._localEvidence.recordAnswer(digest, this._clock.now());
		if (this._localQuarantine.clear(digest)) {
			this._refreshLocalView();
		}
	}

	private _refreshLocalView(): void {
		this._localView.apply({ revision: this._localView.revision + 1, records: this._localQuarantine.activeRecords });
	}
}
