/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Queue, slots and retries of one service at one entry instance. */

import PQueue from 'p-queue';
import { type Millis, systemClock } from '../../../base/clock.js';
import { type IDisposable } from '../../../base/disposable.js';
import { RefusalReason, RequestError } from '../../../base/verdict.js';
import { AdmissionControl } from '../../admission/common/admissionControl.js';
import { FairQueue, type FairQueueOptions } from '../../admission/common/fairQueue.js';
import { RetryBudget } from '../../admission/common/retryBudget.js';
import type { CarriedRequest, DispatchResult, ResponseSink } from '../common/dispatch.js';
import type { ListedTarget } from '../common/target.js';
import { TargetChooser, TargetSlots, type TargetTiming } from '../common/targetSlots.js';
import { type AttemptOutcome, TargetConnection } from './targetConnection.js';
import { WaitingRequest } from './waitingRequest.js';

const MAX_ATTEMPTS = 3;
/** When to come back after a target was lost to another owner right before the first byte. */
const WITHHELD_RETRY_MS = 100;
const NEVER_COLD = Number.NEGATIVE_INFINITY;
const DEMAND_WEIGHT = 0.2;

/** Policy of one service. */
export interface ServicePolicy extends TargetTiming {
	readonly service: string;
	readonly maxQueued: number;
	readonly initialServiceMs: Millis;
	readonly retryRatio: number;
}

/** What the dispatcher asks of its surroundings. */
export interface ServiceSurroundings {
	/** Whether this instance owns a target now. */
	owns(target: string): boolean;
	/** Whether a confirmed drain names a target. */
	isDrained(target: string): boolean;
	/** Weight of a group. */
	weightOf(group: string): number;
}

/** One target with its connections. */
interface OwnedTarget {
	readonly slots: TargetSlots;
	readonly connection: TargetConnection;
}

/** Use of a group: a mean over time, and the requests that it has in flight now. */
interface GroupUse {
	inFlight: number;
	mean: number;
}

/** One service. */
export class ServiceDispatcher implements IDisposable {
	private readonly _targets = new Map<string, OwnedTarget>();
	private readonly _fairQueue: FairQueue;
	private readonly _queue: PQueue<FairQueue, FairQueueOptions>;
	private readonly _admission: AdmissionControl;
	private readonly _budgets = new Map<string, RetryBudget>();
	private readonly _use = new Map<string, GroupUse>();
	private readonly _chooser = new TargetChooser();
	private _hadList = false;
	private _answers = 0;
	private _failures = 0;

	constructor(
		private readonly _policy: ServicePolicy,
		private readonly _surroundings: ServiceSurroundings
	) {
		const fairQueue = new FairQueue(group => this._surroundings.weightOf(group));
		this._fairQueue = fairQueue;
		const queueClass = class {
			constructor() {
				return fairQueue;
			}
		} as unknown as new () => FairQueue;
		this._queue = new PQueue<FairQueue, FairQueueOptions>({ concurrency: 1, queueClass });
		this._admission = new AdmissionControl(_policy.maxQueued, _policy.initialServiceMs);
	}

	/** Takes the part of the platform's list that concerns this service and hall. */
	takeList(listed: readonly ListedTarget[]): void {
		const now = systemClock.now();
		for (const target of listed) {
			if (!this._targets.has(target.name)) {
				const slots = new TargetSlots(target, this._hadList ? now : NEVER_COLD, this._policy);
				this._targets.set(target.name, { slots, connection: new TargetConnection(target.url, target.slots) });
			}
		}
		for (const [name, target] of this._targets) {
			const entry = listed.find(item => item.name === name);
			target.slots.noteListed(entry?.state === 'live', now);
			if (!entry && target.slots.outstanding === 0) {
				target.connection.dispose();
				this._targets.delete(name);
			}
		}
		this._hadList = true;
		this.refresh();
	}

	/** Looks again at drains and ownership, and sets how many requests may run at once. */
	refresh(): void {
		const now = systemClock.now();
		let usable = 0;
		for (const { slots } of this._targets.values()) {
			slots.noteDrain(this._surroundings.isDrained(slots.listed.name), now);
			if (this._surroundings.owns(slots.listed.name)) {
				usable += slots.usableSlots(now);
			}
		}
		const concurrency = Math.max(1, usable);
		if (this._queue.concurrency !== concurrency) {
			this._queue.concurrency = concurrency;
		}
		for (const use of this._use.values()) {
			use.mean += (use.inFlight - use.mean) * DEMAND_WEIGHT;
		}
	}

	/** Slots of the owned targets that take work, and those in use. */
	capacity(): { slots: number; used: number } {
		const now = systemClock.now();
		const owned = this._owned();
		return {
			slots: owned.reduce((sum, target) => sum + target.slots.usableSlots(now), 0),
			used: owned.reduce((sum, target) => sum + target.slots.outstanding, 0)
		};
	}

	/** Whether a request could start at once. */
	hasFreeSlot(): boolean {
		const now = systemClock.now();
		return this._fairQueue.size === 0 && this._owned().some(target => target.slots.freeSlots(now) > 0);
	}

	/** Mean use of slots and waiting requests of each group. */
	demand(): { group: string; used: number; queued: number }[] {
		return [...this._use].map(([group, use]) => ({
			group,
			used: use.mean,
			queued: this._fairQueue.sizeOf(group)
		}));
	}

	/** Answers and failures since the last call. */
	takeCounts(): { answers: number; failures: number } {
		const counts = { answers: this._answers, failures: this._failures };
		this._answers = 0;
		this._failures = 0;
		return counts;
	}

	/**
	 * Carries one request.
	 * @throws RequestError before the sink was started
	 */
	async dispatch(request: CarriedRequest, sink: ResponseSink): Promise<DispatchResult> {
		const arrivedAt = systemClock.now();
		this._admit(request, arrivedAt);
		const waiting = new WaitingRequest(request);
		const run = async (): Promise<DispatchResult | undefined> => {
			if (waiting.isGivenUp) {
				return undefined;
			}
			this._refuseIfTooLate(request);
			waiting.begin();
			const queuedMs = systemClock.now() - arrivedAt;
			const { target, status } = await this._runAttempts(request, waiting.watch(sink), waiting.signal);
			return { target, status, queuedMs, totalMs: systemClock.now() - arrivedAt };
		};
		const queued = this._queue.add(run, {
			group: request.group,
			deadline: request.deadline,
			isAbandoned: () => waiting.isGivenUp
		});
		try {
			const result = await Promise.race([queued, waiting.givenUp]);
			return result as DispatchResult;
		} finally {
			waiting.dispose();
			queued.catch(() => undefined);
		}
	}

	dispose(): void {
		this._queue.clear();
		for (const target of this._targets.values()) {
			target.connection.dispose();
		}
	}

	private _owned(): OwnedTarget[] {
		return [...this._targets.values()].filter(target => this._surroundings.owns(target.slots.listed.name));
	}

	private _admit(request: CarriedRequest, now: Millis): void {
		const { slots, used } = this.capacity();
		const waitingWeight = this._fairQueue.waitingWeight(request.group);
		const decision = this._admission.decide({
			now,
			deadline: request.deadline,
			waitingInGroup: this._fairQueue.sizeOf(request.group),
			waiting: this._fairQueue.size,
			shareOfSlots: this._surroundings.weightOf(request.group) / waitingWeight,
			slots,
			freeSlots: Math.max(0, slots - used)
		});
		if (decision.kind === 'admit') {
			return;
		}
		const { reason, message } = REFUSALS[decision.cause];
		throw new RequestError('not-run', reason, 503, message, decision.retryAfterMs);
	}

	/** A request that waited and could not end before its deadline would only waste a slot. */
	private _refuseIfTooLate(request: CarriedRequest): void {
		const leftMs = request.deadline - systemClock.now();
		if (!request.isDeadlineStrict || leftMs >= this._admission.meanServiceMs) {
			return;
		}
		const { reason, message } = REFUSALS.deadline;
		const retryAfterMs = Math.ceil(this._admission.meanServiceMs);
		throw new RequestError('not-run', reason, 503, message, retryAfterMs);
	}

	private async _runAttempts(
		request: CarriedRequest,
		sink: ResponseSink,
		signal: AbortSignal
	): Promise<{ target: string; status: number }> {
		const budget = this._budgetOf(request.group);
		budget.recordFirstTry();
		let mayHaveRun = false;
		for (let tries = 1; ; tries++) {
			const target = this._chooser.choose(
				this._owned().map(owned => owned.slots),
				systemClock.now()
			);
			if (!target) {
				throw withDoubt(this._noCapacity(), mayHaveRun);
			}
			const mayTryAgain = (): boolean => tries < MAX_ATTEMPTS && !signal.aborted && budget.tryTake();
			const mayRetry = (): boolean => request.isRepeatable && mayTryAgain();
			const outcome = await this._attempt(target, request, sink, signal, mayRetry);
			if (outcome.kind === 'answered') {
				return { target: target.listed.name, status: outcome.status };
			}
			const wasNotRun = 'verdict' in outcome && outcome.verdict === 'not-run';
			const isRetried =
				(outcome.kind === 'withheld' && tries < MAX_ATTEMPTS && !signal.aborted) ||
				outcome.kind === 'shed' ||
				(outcome.kind === 'failed' && (wasNotRun || request.isRepeatable) && mayTryAgain());
			mayHaveRun ||= !wasNotRun;
			if (!isRetried) {
				throw withDoubt(toRequestError(outcome, target.listed.name), mayHaveRun);
			}
		}
	}

	private async _attempt(
		target: TargetSlots,
		request: CarriedRequest,
		sink: ResponseSink,
		signal: AbortSignal,
		mayRetry: () => boolean
	): Promise<AttemptOutcome> {
		const { name } = target.listed;
		const use = this._useOf(request.group);
		const startedAt = systemClock.now();
		target.take();
		use.inFlight++;
		const outcome = await this._targets.get(name)!.connection.attempt({
			request,
			sink,
			signal,
			mayRetry,
			mayWrite: () => this._surroundings.owns(name) && !target.isLeaving
		});
		use.inFlight--;
		this._releaseLater(target, outcome);
		this._record(target, outcome, systemClock.now() - startedAt);
		return outcome;
	}

	/** A cancelled request occupies its slot a little longer: the target may not have noticed yet. */
	private _releaseLater(target: TargetSlots, outcome: AttemptOutcome): void {
		const mayStillWork = outcome.kind === 'aborted' || outcome.kind === 'broken' || outcome.kind === 'failed';
		const isUntouched = 'verdict' in outcome && outcome.verdict === 'not-run';
		if (mayStillWork && !isUntouched) {
			setTimeout(() => target.release(), this._policy.cancelGraceMs);
		} else {
			target.release();
		}
	}

	private _record(target: TargetSlots, outcome: AttemptOutcome, durationMs: Millis): void {
		if (outcome.kind === 'answered') {
			this._answers++;
			this._failures += outcome.status >= 500 ? 1 : 0;
			this._admission.recordService(durationMs);
			target.recordAnswer(outcome.firstByteMs);
		}
		if (outcome.kind === 'failed' || outcome.kind === 'broken') {
			this._answers++;
			this._failures++;
			target.recordFailure(systemClock.now());
		}
		if ('isLeaving' in outcome && outcome.isLeaving) {
			target.noteOwnWord();
			this.refresh();
		}
	}

	private _budgetOf(group: string): RetryBudget {
		let budget = this._budgets.get(group);
		if (!budget) {
			budget = new RetryBudget(this._policy.retryRatio);
			this._budgets.set(group, budget);
		}
		return budget;
	}

	private _useOf(group: string): GroupUse {
		let use = this._use.get(group);
		if (!use) {
			use = { inFlight: 0, mean: 0 };
			this._use.set(group, use);
		}
		return use;
	}

	private _noCapacity(): RequestError {
		const retryAfterMs = Math.ceil(this._admission.meanServiceMs);
		return new RequestError('not-run', RefusalReason.NoCapacity, 503, REFUSALS['no-slots'].message, retryAfterMs);
	}
}

const REFUSALS = {
	'no-slots': { reason: RefusalReason.NoCapacity, message: 'no target of the service takes work here now' },
	'queue-full': { reason: RefusalReason.QueueFull, message: 'too many requests wait already' },
	deadline: { reason: RefusalReason.DeadlineUnreachable, message: 'it could not start before its deadline' }
} as const;

/** An earlier attempt may have reached a target: then nothing is certain any more. */
function withDoubt(error: RequestError, mayHaveRun: boolean): RequestError {
	if (!mayHaveRun || error.verdict !== 'not-run') {
		return error;
	}
	return new RequestError('may-have-run', error.reason, error.status, error.message, error.retryAfterMs);
}

function toRequestError(outcome: AttemptOutcome, target: string): RequestError {
	switch (outcome.kind) {
		case 'failed':
			return new RequestError(outcome.verdict, RefusalReason.TargetFailed, 502, `${target}: ${outcome.message}`);
		case 'withheld':
			return new RequestError(
				'not-run',
				RefusalReason.NoCapacity,
				503,
				`${target} is no longer ours`,
				WITHHELD_RETRY_MS
			);
		case 'aborted':
			return new RequestError(outcome.verdict, RefusalReason.Cancelled, 499, 'given up on');
		default:
			return new RequestError('may-have-run', RefusalReason.TargetFailed, 502, `${target}: the answer broke off`);
	}
}
