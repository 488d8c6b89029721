/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Dispatches the requests of one service to the targets that this entry instance owns: queueing, slots and retries. */

import PQueue from 'p-queue';
import { type Millis, systemClock } from '../../../base/clock.js';
import { type IDisposable } from '../../../base/disposable.js';
import { AdmissionControl } from '../../admission/common/admissionControl.js';
import { FairQueue, type FairQueueOptions } from '../../admission/common/fairQueue.js';
import { RetryBudget } from '../../admission/common/retryBudget.js';
import type { DispatchRequest, DispatchResult, ResponseSink } from '../common/dispatch.js';
import { GroupUsage } from '../common/groupUsage.js';
import type { ListedTarget } from '../common/target.js';
import { TargetChooser, TargetSlots, type TargetTiming } from '../common/targetSlots.js';
import { attemptError, refusalError, withUncertainty } from './dispatchErrors.js';
import { PendingRequest } from './pendingRequest.js';
import { type AttemptOutcome, TargetConnectionPool } from './targetConnectionPool.js';

const MAX_ATTEMPTS = 3;
/** Start time for targets without a slow start. */
const SLOW_START_DONE = Number.NEGATIVE_INFINITY;

/** Settings of a service. */
export interface ServicePolicy extends TargetTiming {
	readonly service: string;
	readonly maxQueued: number;
	readonly initialServiceMs: Millis;
	readonly retryRatio: number;
}

/** Shared state that a service dispatcher reads. */
export interface ServiceContext {
	/** Whether this instance owns a target now. */
	owns(target: string): boolean;
	/** Whether an operator has drained a target or its data hall. */
	isDrained(target: string): boolean;
	/** Weight of a group, greater than 0. */
	weightOf(group: string): number;
}

interface TargetEntry {
	readonly slots: TargetSlots;
	readonly connections: TargetConnectionPool;
}

/** Dispatcher of one service. */
export class ServiceDispatcher implements IDisposable {
	private readonly _targets = new Map<string, TargetEntry>();
	private readonly _fairQueue: FairQueue;
	private readonly _queue: PQueue<FairQueue, FairQueueOptions>;
	private readonly _admission: AdmissionControl;
	private readonly _retryBudgets = new Map<string, RetryBudget>();
	private readonly _groupUsage = new GroupUsage();
	private readonly _chooser = new TargetChooser();
	private _hasReceivedList = false;
	private _responses = 0;
	private _failures = 0;

	constructor(
		private readonly _policy: ServicePolicy,
		private readonly _context: ServiceContext
	) {
		const fairQueue = new FairQueue(group => this._context.weightOf(group));
		this._fairQueue = fairQueue;
		// PQueue instantiates the queue class itself; the constructor returns the queue that this class also reads.
		const queueClass = class {
			constructor() {
				return fairQueue;
			}
		} as unknown as new () => FairQueue;
		this._queue = new PQueue<FairQueue, FairQueueOptions>({ concurrency: 1, queueClass });
		this._admission = new AdmissionControl(_policy.maxQueued, _policy.initialServiceMs);
	}

	/** @param listed targets of this service and data hall on the platform's list */
	updateTargets(listed: readonly ListedTarget[]): void {
		const now = systemClock.now();
		for (const target of listed) {
			if (!this._targets.has(target.name)) {
				const slots = new TargetSlots(target, this._hasReceivedList ? now : SLOW_START_DONE, this._policy);
				this._targets.set(target.name, { slots, connections: new TargetConnectionPool(target.url, target.slots) });
			}
		}
		for (const [name, target] of this._targets) {
			const entry = listed.find(item => item.name === name);
			target.slots.recordListedState(entry?.state === 'live', now);
			if (!entry && target.slots.outstanding === 0) {
				target.connections.dispose();
				this._targets.delete(name);
			}
		}
		this._hasReceivedList = true;
		this.refresh();
	}

	/** Applies changed drains and ownership, adjusts the concurrency of the queue, and samples the demand; called regularly. */
	refresh(): void {
		const now = systemClock.now();
		let usable = 0;
		for (const { slots } of this._targets.values()) {
			slots.setDrainedByOperator(this._context.isDrained(slots.listed.name), now);
			if (this._context.owns(slots.listed.name)) {
				usable += slots.usableSlots(now);
			}
		}
		const concurrency = Math.max(1, usable);
		if (this._queue.concurrency !== concurrency) {
			this._queue.concurrency = concurrency;
		}
		this._groupUsage.sample();
	}

	/** Usable and occupied slots of the owned targets. */
	capacity(): { slots: number; used: number } {
		const now = systemClock.now();
		const owned = this._ownedTargets();
		return {
			slots: owned.reduce((sum, target) => sum + target.slots.usableSlots(now), 0),
			used: owned.reduce((sum, target) => sum + target.slots.outstanding, 0)
		};
	}

	/** Whether a request could start without being queued. */
	hasFreeSlot(): boolean {
		const now = systemClock.now();
		return this._fairQueue.size === 0 && this._ownedTargets().some(target => target.slots.freeSlots(now) > 0);
	}

	/** Mean number of occupied slots and number of queued requests, by group. */
	demand(): { group: string; used: number; queued: number }[] {
		return this._groupUsage.means().map(([group, used]) => ({ group, used, queued: this._fairQueue.groupSize(group) }));
	}

	/** Responses and failures since the last call; failures count as responses too. */
	takeCounts(): { answers: number; failures: number } {
		const counts = { answers: this._responses, failures: this._failures };
		this._responses = 0;
		this._failures = 0;
		return counts;
	}

	/**
	 * Queues a request, sends it to a target and streams the response into the sink.
	 * @throws RequestError if the request was refused, cancelled or failed; the sink may have been started by then
	 */
	async dispatch(request: DispatchRequest, sink: ResponseSink): Promise<DispatchResult> {
		const arrivedAt = systemClock.now();
		this._admit(request, arrivedAt);
		const pending = new PendingRequest(request);
		const run = async (): Promise<DispatchResult | undefined> => {
			if (pending.isCancelled) {
				return undefined;
			}
			this._refuseIfDeadlineUnreachable(request);
			pending.markRunning();
			const queuedMs = systemClock.now() - arrivedAt;
			const { target, status } = await this._runAttempts(request, pending.wrapSink(sink), pending.signal);
			return { target, status, queuedMs, totalMs: systemClock.now() - arrivedAt };
		};
		const queued = this._queue.add(run, {
			group: request.group,
			deadline: request.deadline,
			isAbandoned: () => pending.isCancelled
		});
		try {
			const result = await Promise.race([queued, pending.cancellation]);
			return result as DispatchResult;
		} finally {
			pending.dispose();
			queued.catch(() => undefined);
		}
	}

	dispose(): void {
		this._queue.clear();
		for (const target of this._targets.values()) {
			target.connections.dispose();
		}
	}

	private _ownedTargets(): TargetEntry[] {
		return [...this._targets.values()].filter(target => this._context.owns(target.slots.listed.name));
	}

	private _admit(request: DispatchRequest, now: Millis): void {
		const { slots, used } = this.capacity();
		const activeWeight = this._fairQueue.totalActiveWeight(request.group);
		const decision = this._admission.decide({
			now,
			deadline: request.deadline,
			queuedInGroup: this._fairQueue.groupSize(request.group),
			queuedTotal: this._fairQueue.size,
			slotShare: this._context.weightOf(request.group) / activeWeight,
			slots,
			freeSlots: Math.max(0, slots - used)
		});
		if (decision.kind === 'refuse') {
			throw refusalError(decision.cause, decision.retryAfterMs);
		}
	}

	/** Refuses a request that is not expected to complete before its deadline, after the time it was queued. */
	private _refuseIfDeadlineUnreachable(request: DispatchRequest): void {
		const leftMs = request.deadline - systemClock.now();
		if (request.isDeadlineStrict && leftMs < this._admission.meanServiceMs) {
			throw refusalError('deadline', Math.ceil(this._admission.meanServiceMs));
		}
	}

	private async _runAttempts(
		request: DispatchRequest,
		sink: ResponseSink,
		signal: AbortSignal
	): Promise<{ target: string; status: number }> {
		const budget = this._getRetryBudget(request.group);
		budget.recordFirstAttempt();
		let mayHaveRun = false;
		for (let attemptNumber = 1; ; attemptNumber++) {
			const target = this._chooser.choose(
				this._ownedTargets().map(owned => owned.slots),
				systemClock.now()
			);
			if (!target) {
				throw withUncertainty(refusalError('no-slots', Math.ceil(this._admission.meanServiceMs)), mayHaveRun);
			}
			const tryTakeRetry = (): boolean => attemptNumber < MAX_ATTEMPTS && !signal.aborted && budget.tryTake();
			const mayRetry = (): boolean => request.isRepeatable && tryTakeRetry();
			const outcome = await this._attempt(target, request, sink, signal, mayRetry);
			if (outcome.kind === 'answered') {
				return { target: target.listed.name, status: outcome.status };
			}
			const wasNotRun = 'verdict' in outcome && outcome.verdict === 'not-run';
			const shouldRetry =
				(outcome.kind === 'withheld' && attemptNumber < MAX_ATTEMPTS && !signal.aborted) ||
				outcome.kind === 'shed' ||
				(outcome.kind === 'failed' && (wasNotRun || request.isRepeatable) && tryTakeRetry());
			mayHaveRun ||= !wasNotRun;
			if (!shouldRetry) {
				throw withUncertainty(attemptError(outcome, target.listed.name), mayHaveRun);
			}
		}
	}

	private async _attempt(
		target: TargetSlots,
		request: DispatchRequest,
		sink: ResponseSink,
		signal: AbortSignal,
		mayRetry: () => boolean
	): Promise<AttemptOutcome> {
		const { name } = target.listed;
		const startedAt = systemClock.now();
		target.acquire();
		const endUsage = this._groupUsage.start(request.group);
		const outcome = await this._targets.get(name)!.connections.attempt({
			request,
			sink,
			signal,
			mayRetry,
			maySend: () => this._context.owns(name) && !target.isDraining
		});
		endUsage();
		this._releaseSlot(target, outcome);
		this._recordOutcome(target, outcome, systemClock.now() - startedAt);
		return outcome;
	}

	/** Delays the release if the target may still be processing the request. */
	private _releaseSlot(target: TargetSlots, outcome: AttemptOutcome): void {
		const mayStillBeRunning = outcome.kind === 'aborted' || outcome.kind === 'broken' || outcome.kind === 'failed';
		const wasNotRun = 'verdict' in outcome && outcome.verdict === 'not-run';
		if (mayStillBeRunning && !wasNotRun) {
			setTimeout(() => target.release(), this._policy.cancelGraceMs);
		} else {
			target.release();
		}
	}

	private _recordOutcome(target: TargetSlots, outcome: AttemptOutcome, durationMs: Millis): void {
		if (outcome.kind === 'answered') {
			this._responses++;
			this._failures += outcome.status >= 500 ? 1 : 0;
			this._admission.recordServiceTime(durationMs);
			target.recordResponse(outcome.firstByteMs);
		}
		if (outcome.kind === 'failed' || outcome.kind === 'broken') {
			this._responses++;
			this._failures++;
			target.recordFailure(systemClock.now());
		}
		if ('isDraining' in outcome && outcome.isDraining) {
			target.recordShutdownAnnouncement();
			this.refresh();
		}
	}

	private _getRetryBudget(group: string): RetryBudget {
		let budget = this._retryBudgets.get(group);
		if (!budget) {
			budget = new RetryBudget(this._policy.retryRatio);
			this._retryBudgets.set(group, budget);
		}
		return budget;
	}
}
