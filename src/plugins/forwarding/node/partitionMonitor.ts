/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Detects that this instance is partitioned from all targets, although callers, control and other instances reach it. Attempts of
 * requests make the links suspect, health checks of other targets confirm it, and such checks show when it ends.
 */

import { setTimeout as delay } from 'node:timers/promises';
import { Gauge } from 'prom-client';
import { type Millis, systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { Emitter } from '../../../base/event.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../kernel/node/metricsService.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { FleetView, KnownTarget } from '../../fleet/common/fleetView.js';
import { type AttemptOutcome, NotRunCause } from '../common/attempt.js';
import { type AttemptHandle, TargetContact } from '../common/targetContact.js';
import { respondsToHealthCheck } from './targets/targetProbe.js';

const POLL_INTERVAL_MS: Millis = 100;
/** Interval between checks while partitioned. */
const CHECK_INTERVAL_MS: Millis = 500;
/** Targets of one check; in as many data halls as possible. */
const TARGETS_PER_CHECK = 4;
/** With fewer targets than this, their failure tells nothing about the links. */
const MIN_KNOWN_TARGETS = 2;
/** A target that accepts no connection within this time does not count as reached. */
const CONNECT_TIMEOUT_MS: Millis = 500;
/** For a target whose service is not in the route table; any response counts. */
const DEFAULT_HEALTH_PATH = '/';

/** Links that fail together are noticed within this time. */
const LOSS_SETTLE_MS: Millis = 50;
/** A response that arrives this long after a link has failed was sent afterwards. */
const MAX_UNDER_WAY_MS: Millis = 200;
/** Control knows by then whether a target has gone silent, after three missed heartbeats. */
const MAX_LOSS_WAIT_MS: Millis = 7000;

/** Detects a partition of this instance from all targets. */
export class PartitionMonitor extends Disposable {
	private readonly _onDidChange = this._register(new Emitter<boolean>());
	/** Fires with true when this instance is found to be partitioned from all targets, with false when it reaches one again. */
	readonly onDidChange = this._onDidChange.event;
	private readonly _contact = new TargetContact(systemClock.now());
	private _partitionedSince: Millis | undefined;
	/** End of the last partition. */
	private _partitionedUntil: Millis = Number.NEGATIVE_INFINITY;
	private _isChecking = false;
	private _checkedAt: Millis = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly _view: FleetView,
		private readonly _log: ILogService,
		{ registry }: IMetricsService
	) {
		super();
		const isPartitioned = (): boolean => this.isPartitioned;
		new Gauge({
			name: 'shelffield_partitioned_from_targets',
			help: 'Whether this instance reaches no target: 1 or 0.',
			registers: [registry],
			collect() {
				this.set(isPartitioned() ? 1 : 0);
			}
		});
		const timer = setInterval(() => this._poll(), POLL_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	/** Whether this instance reaches no target. */
	get isPartitioned(): boolean {
		return this._partitionedSince !== undefined;
	}

	/** Records an attempt at a target that is about to be made. */
	recordStart(targetId: string): AttemptHandle {
		return this._contact.begin(targetId, systemClock.now());
	}

	/** Records that a target has responded to an attempt, before the whole response is there. */
	recordResponse(handle: AttemptHandle): void {
		this._contact.recordResponse(handle, systemClock.now());
	}

	/**
	 * Records how an attempt ended.
	 * @param hasCallerLeft whether it was given up because its caller disconnected
	 */
	recordOutcome(handle: AttemptHandle, outcome: AttemptOutcome, hasCallerLeft: boolean): void {
		const now = systemClock.now();
		if (outcome.type === 'answer' || (outcome.type === 'not-run' && outcome.hasArrived)) {
			this._contact.recordResponse(handle, now);
		} else if (hasCallerLeft || (outcome.type === 'not-run' && outcome.cause !== NotRunCause.NoConnection)) {
			this._contact.discard(handle);
		} else {
			this._contact.recordFailure(handle, now);
		}
	}

	/**
	 * Whether a run that broke off was lost by its target, which stopped, and not by the links of this instance. Decided once that is
	 * known: links that fail take the runs of several targets at once, and then only what becomes of the target tells.
	 * @param target the incarnation of the target that ran the request
	 * @param lostAt when the run was lost
	 */
	async confirmsLoss(target: TargetRecord, lostAt: Millis): Promise<boolean> {
		await delay(LOSS_SETTLE_MS);
		const giveUpAt = systemClock.now() + MAX_LOSS_WAIT_MS;
		while (systemClock.now() < giveUpAt) {
			if (this._isLinkSound(lostAt) || this._view.hasStopped(target, lostAt)) {
				return true;
			}
			if ((this._view.answeredAt(target.id) ?? Number.NEGATIVE_INFINITY) > lostAt) {
				return false;
			}
			await delay(POLL_INTERVAL_MS);
		}
		return false;
	}

	/** Whether the links of this instance worked when a run was lost. */
	private _isLinkSound(lostAt: Millis): boolean {
		if (this.isPartitioned || this._partitionedUntil >= lostAt) {
			return false;
		}
		const isSingle = this._contact.failedTargetsSince(lostAt - LOSS_SETTLE_MS) < MIN_KNOWN_TARGETS;
		return isSingle || this._contact.contactAt >= lostAt + MAX_UNDER_WAY_MS;
	}

	private _poll(): void {
		const now = systemClock.now();
		const isDue = this.isPartitioned
			? now - this._checkedAt >= CHECK_INTERVAL_MS
			: this._contact.isSuspect(now) && now - this._checkedAt >= POLL_INTERVAL_MS;
		if (isDue && !this._isChecking) {
			void this._check(now);
		}
	}

	/** Checks some targets; none that responds means that this instance is partitioned. */
	private async _check(now: Millis): Promise<void> {
		const targets = this._selectTargets();
		if (targets.length < MIN_KNOWN_TARGETS) {
			this._setPartitioned(false);
			return;
		}
		this._isChecking = true;
		this._checkedAt = now;
		const isReached = await this._anyResponds(targets);
		this._isChecking = false;
		if (isReached) {
			this._contact.recordContact(systemClock.now());
		}
		const hasContact = this._contact.contactAt >= now;
		this._setPartitioned(!hasContact);
	}

	/** Random targets that control hears, of different data halls as long as there are any; those whose attempts failed come last. */
	private _selectTargets(): KnownTarget[] {
		const heard = [...this._view.servingTargets].filter(({ isSilent }) => !isSilent);
		const hasFailed = ({ record }: KnownTarget): boolean => this._contact.hasFailed(record.id);
		const remaining = [...shuffle(heard.filter(target => !hasFailed(target))), ...shuffle(heard.filter(hasFailed))];
		const selected: KnownTarget[] = [];
		const halls = new Set<string>();
		for (const target of remaining) {
			if (!halls.has(target.record.hall)) {
				halls.add(target.record.hall);
				selected.push(target);
			}
		}
		const others = remaining.filter(target => !selected.includes(target));
		return [...selected, ...others].slice(0, TARGETS_PER_CHECK);
	}

	private _anyResponds(targets: readonly KnownTarget[]): Promise<boolean> {
		const checks = targets.map(async ({ record }) => {
			const hasResponded = await respondsToHealthCheck(record.address, {
				healthPath: this._view.routes?.service(record.service)?.healthPath ?? DEFAULT_HEALTH_PATH,
				connectTimeoutMs: CONNECT_TIMEOUT_MS,
				responseTimeoutMs: this._contact.overdueMs
			});
			if (!hasResponded) {
				throw new Error(`${record.id} does not respond`);
			}
		});
		return Promise.any(checks).then(
			() => true,
			() => false
		);
	}

	private _setPartitioned(isPartitioned: boolean): void {
		if (isPartitioned === this.isPartitioned) {
			return;
		}
		const now = systemClock.now();
		if (isPartitioned) {
			this._partitionedSince = now;
			const quietMs = Math.round(now - this._contact.contactAt);
			this._log.warn('partitioned from all targets', { task: 'forwarding', quietMs });
		} else {
			const lastedMs = Math.round(now - this._partitionedSince!);
			this._partitionedSince = undefined;
			this._partitionedUntil = now;
			this._log.info('targets reached again', { task: 'forwarding', lastedMs });
		}
		this._onDidChange.fire(isPartitioned);
	}
}

function shuffle<T>(items: readonly T[]): T[] {
	return items
		.map(item => ({ item, order: Math.random() }))
		.sort((a, b) => a.order - b.order)
		.map(({ item }) => item);
}
