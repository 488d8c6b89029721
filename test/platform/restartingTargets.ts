/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Targets that restart at the same address some time after a crash, under a new id, and send heartbeats. */

import type { PlatformTestSystem } from './platformTestSystem.js';
import { type ReceivedRequest, TestTarget } from './testTarget.js';

const PORT = 8080;
const SLOTS = 4;
const WORK_MS = 20;
const PADDING_BYTES = 100;
const HEARTBEAT_INTERVAL_MS = 1000;

/** A run of a request that crashed its target. */
export interface LostRun {
	readonly request: ReceivedRequest;
	readonly targetId: string;
	/** Time of the crash, on the monotonic clock. */
	readonly at: number;
}

/** Options of a pool of restarting targets. */
export interface RestartingTargetsOptions {
	readonly service: string;
	readonly count: number;
	/** Time from the crash of a target to its restart. */
	readonly restartDelayMs: number;
	/** Whether a request crashes the target that runs it. */
	readonly crashesOn: (request: ReceivedRequest) => boolean;
	/** Time that a particular request takes to run; the default where it is undefined. */
	readonly workMsOf?: (request: ReceivedRequest) => number | undefined;
}

/** A pool of restarting targets of one service. */
export class RestartingTargets {
	/** Runs that crashed their target, in order. */
	readonly lostRuns: LostRun[] = [];
	private readonly _runningTargets = new Map<number, TestTarget>();
	private readonly _restartTimers = new Set<NodeJS.Timeout>();
	private _startCount = 0;
	private _heartbeatTimer?: NodeJS.Timeout;
	private _isStopped = false;

	constructor(
		private readonly _system: PlatformTestSystem,
		private readonly _options: RestartingTargetsOptions
	) {}

	/** Starts all targets and their heartbeats. */
	async start(): Promise<void> {
		const indexes = Array.from({ length: this._options.count }, (_, i) => i + 1);
		await Promise.all(indexes.map(index => this._startTarget(index)));
		this._heartbeatTimer = setInterval(() => this._sendHeartbeats(), HEARTBEAT_INTERVAL_MS);
	}

	/** Stops all targets and their heartbeats. */
	stop(): void {
		this._isStopped = true;
		clearInterval(this._heartbeatTimer);
		this._restartTimers.forEach(timer => clearTimeout(timer));
		this._runningTargets.forEach(target => target.crash());
	}

	private async _startTarget(index: number): Promise<void> {
		const id = `i-${index}-${++this._startCount}`;
		const target: TestTarget = new TestTarget({
			id,
			host: this._system.targetHost(index),
			port: PORT,
			slots: SLOTS,
			workMs: WORK_MS,
			paddingBytes: PADDING_BYTES,
			workMsOf: this._options.workMsOf,
			crashesOn: request => this._recordIfLost(request, id),
			onCrashed: () => this._scheduleRestart(index)
		});
		await target.listen();
		this._runningTargets.set(index, target);
		await this._system.sendHeartbeat(target, this._options.service);
	}

	private _recordIfLost(request: ReceivedRequest, targetId: string): boolean {
		const isLost = this._options.crashesOn(request);
		if (isLost) {
			this.lostRuns.push({ request, targetId, at: performance.now() });
		}
		return isLost;
	}

	private _scheduleRestart(index: number): void {
		this._runningTargets.delete(index);
		const timer = setTimeout(() => {
			this._restartTimers.delete(timer);
			if (!this._isStopped) {
				void this._startTarget(index).catch(() => this._scheduleRestart(index));
			}
		}, this._options.restartDelayMs);
		this._restartTimers.add(timer);
	}

	private _sendHeartbeats(): void {
		for (const target of this._runningTargets.values()) {
			void this._system.sendHeartbeat(target, this._options.service).catch(() => undefined);
		}
	}
}
