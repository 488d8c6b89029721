/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** One soak test run: a system of real processes, its callers, and the fault schedule of a seed. */

import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { LocalProcess } from '../local/childProcess.js';
import { PlatformTestSystem, type Instance, waitFor } from '../platform/platformTestSystem.js';
import { generateFaults, type Fault, FaultKind } from './faultSchedule.js';
import { Observations } from './observations.js';
import { SoakCallers } from './soakCallers.js';
import { SoakOperator } from './soakOperator.js';
import { type Breach, checkRules } from './soakRules.js';
import { SoakTargets } from './soakTargets.js';

const CONTROL_COUNT = 5;
const ENTRY_COUNT = 3;
const TARGET_COUNT = 4;
const CALLER_COUNT = 8;
/** Time that the system has to recover after the last fault before requests must be served. */
const RECOVERY_MS = 9000;
const VERIFICATION_MS = 3000;
const SECOND_MS = 1000;
const LINK_DELAY_MS = 120;
const RESET_AFTER_BYTES = 2000;
const RESTART_DELAY_MS = 400;
const MEMORY_PAGE_BYTES = 4096;

/** Request and fault counts of one second. The fields are written to the report. */
export interface SoakSecond {
	readonly second: number;
	readonly served: number;
	readonly refused: number;
	readonly failed: number;
	readonly inFlight: number;
	readonly faults: number;
	/** Resident memory of all processes of the system, in megabytes. */
	readonly memoryMb: number;
}

/** Result of one soak test run. The fields are written to the report. */
export interface SoakResult {
	readonly seed: number;
	readonly lengthMs: number;
	readonly requests: number;
	readonly faults: readonly Fault[];
	readonly breaches: readonly Breach[];
	readonly seconds: readonly SoakSecond[];
}

/** Runs the soak test for one seed. */
export class SoakRun {
	private readonly _system = new PlatformTestSystem(CONTROL_COUNT, ENTRY_COUNT);
	private readonly _observations = new Observations();
	private readonly _callers = new SoakCallers(this._system, this._observations);
	private readonly _operator = new SoakOperator(this._system, this._observations);
	private readonly _folder = mkdtempSync(join(tmpdir(), 'shelffield-soak-'));
	private readonly _proxy = new LocalProcess('proxy', 'test/faults/faultProxy.js', [], join(this._folder, 'proxy.log'));
	private readonly _memorySamplesMb: number[] = [];
	private readonly _pendingFaults: Promise<void>[] = [];
	private _targets!: SoakTargets;
	private _isRecoveringFromDataLoss = false;

	constructor(
		private readonly _seed: number,
		private readonly _lengthMs: number
	) {}

	/** Injects the faults and checks the rules. Stops all processes, also on errors. */
	async run(): Promise<SoakResult> {
		try {
			await this._start();
			const startedAt = performance.now();
			const sampler = setInterval(() => this._memorySamplesMb.push(this._residentMb()), SECOND_MS);
			const faults = generateFaults(this._seed, this._lengthMs);
			await this._injectFaults(faults);
			await Promise.all(this._pendingFaults);
			const recoveryDeadline = performance.now() + RECOVERY_MS;
			await sleep(RECOVERY_MS + VERIFICATION_MS);
			await this._callers.stop();
			await this._operator.readFinalVersion();
			clearInterval(sampler);
			const breaches = checkRules(this._observations, this._targets.executions, this._targets.ids, recoveryDeadline);
			const { requests } = this._observations;
			return {
				seed: this._seed,
				lengthMs: this._lengthMs,
				requests: requests.length,
				faults,
				breaches,
				seconds: this._summarizeSeconds(startedAt, faults)
			};
		} finally {
			await this._stop();
		}
	}

	/** Returns the output of the instances, for diagnosing breaches. */
	logs(): string {
		return [...this._system.controls, ...this._system.entries].map(instance => instance.output).join('');
	}

	private async _start(): Promise<void> {
		const { url } = (await this._proxy.waitForLine(line => typeof line['url'] === 'string')) as { url: string };
		this._targets = new SoakTargets(this._system, url);
		this._system.startAll();
		await this._operator.publishInitial();
		await this._targets.start(TARGET_COUNT);
		for (const entry of this._system.entries) {
			await waitFor('an entry instance serves', async () =>
				(await this._callers.sendOnce(entry)).status === 200 ? true : undefined
			);
		}
		this._callers.start(CALLER_COUNT);
	}

	private async _stop(): Promise<void> {
		await this._callers.stop();
		this._targets?.stop();
		await this._system.stopAll();
		await this._proxy.kill();
		rmSync(this._folder, { recursive: true, force: true });
	}

	private async _injectFaults(faults: readonly Fault[]): Promise<void> {
		const startedAt = performance.now();
		for (const fault of faults) {
			await sleep(Math.max(0, startedAt + fault.atMs - performance.now()));
			this._observations.recordFault(fault.kind, fault.forMs);
			this._pendingFaults.push(this._inject(fault));
		}
		await sleep(Math.max(0, startedAt + this._lengthMs - performance.now()));
	}

	private async _inject(fault: Fault): Promise<void> {
		const { controls, entries } = this._system;
		const control = controls[Math.floor(fault.pick * controls.length)]!;
		const entry = entries[Math.floor(fault.pick * entries.length)]!;
		const targets = this._targets;
		switch (fault.kind) {
			case FaultKind.KillEntry:
				return this._killAndRestart(entry);
			case FaultKind.KillControl:
				return this._killAndRestart(control);
			case FaultKind.KillAllControls:
				await Promise.all(controls.map(each => this._killAndRestart(each)));
				return;
			case FaultKind.PauseEntry:
				return this._pauseFor(entry, fault.forMs);
			case FaultKind.PauseControl:
				return this._pauseFor(control, fault.forMs);
			case FaultKind.StopEntry:
				await this._system.stop(entry, 'SIGTERM');
				this._system.start(entry, false);
				return;
			case FaultKind.WipeControl:
				return this._deleteData(control);
			case FaultKind.ReloadSettings:
				entry.child?.kill('SIGHUP');
				return;
			case FaultKind.DelayLink:
				return targets.injectLinkFault(fault.pick, { delayMs: LINK_DELAY_MS }, { delayMs: 0 }, fault.forMs);
			case FaultKind.ResetLink:
				return targets.injectLinkFault(fault.pick, { resetAfterBytes: RESET_AFTER_BYTES }, {}, fault.forMs);
			case FaultKind.CutRequests:
				return targets.injectLinkFault(fault.pick, { cutForward: true }, { cutForward: false }, fault.forMs);
			case FaultKind.CutAnswers:
				return targets.injectLinkFault(fault.pick, { cutBackward: true }, { cutBackward: false }, fault.forMs);
			case FaultKind.CrashTarget:
				return targets.crash(fault.pick, fault.forMs);
			case FaultKind.DrainTarget:
				return targets.drain(fault.pick);
			case FaultKind.PublishTable:
				return this._operator.publishChange();
			case FaultKind.RaceTables:
				return this._operator.publishConcurrently();
		}
	}

	private async _killAndRestart(instance: Instance): Promise<void> {
		await this._system.stop(instance, 'SIGKILL');
		await sleep(RESTART_DELAY_MS);
		if (instance.child?.exitCode !== null || instance.child.signalCode !== null) {
			this._system.start(instance, false);
		}
	}

	private async _pauseFor(instance: Instance, durationMs: number): Promise<void> {
		instance.child?.kill('SIGSTOP');
		await sleep(durationMs);
		instance.child?.kill('SIGCONT');
	}

	/** Restarts a control instance without its data. Skipped while another one may still be catching up. */
	private async _deleteData(control: Instance): Promise<void> {
		if (this._isRecoveringFromDataLoss) {
			return;
		}
		this._isRecoveringFromDataLoss = true;
		await this._system.stop(control, 'SIGKILL');
		this._system.deleteData(control);
		this._system.start(control, false);
		await sleep(RECOVERY_MS);
		this._isRecoveringFromDataLoss = false;
	}

	private _residentMb(): number {
		const pids = [...this._system.controls, ...this._system.entries].map(instance => instance.child?.pid);
		return pids.reduce<number>((sum, pid) => sum + residentMb(pid), 0);
	}

	private _summarizeSeconds(startedAt: number, faults: readonly Fault[]): SoakSecond[] {
		return this._memorySamplesMb.map((memoryMb, second) => {
			const from = startedAt + second * SECOND_MS;
			const ended = this._observations.requests.filter(item => item.endedAt >= from && item.endedAt < from + SECOND_MS);
			const served = ended.filter(item => item.status === 200).length;
			const refused = ended.filter(item => item.status === 503).length;
			return {
				second,
				served,
				refused,
				failed: ended.length - served - refused,
				inFlight: this._observations.requests.filter(item => item.sentAt < from && item.endedAt >= from).length,
				faults: faults.filter(fault => Math.floor(fault.atMs / SECOND_MS) === second).length,
				memoryMb: Math.round(memoryMb)
			};
		});
	}
}

function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}

/** Returns the resident memory of a process in megabytes; 0 if the process is not running. */
function residentMb(pid: number | undefined): number {
	try {
		const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
		return (pages * MEMORY_PAGE_BYTES) / 2 ** 20;
	} catch {
		return 0;
	}
}
