/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** One soak: a whole system of real processes, its callers, and the faults of a seed. */

import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { LocalProcess } from '../local/childProcess.js';
import { DiscoveredSystem, type Instance, until } from '../platform/discoveredSystem.js';
import { drawFaults, type Fault, FaultKind } from './faultScript.js';
import { Observations } from './observations.js';
import { SoakCallers } from './soakCallers.js';
import { SoakOperator } from './soakOperator.js';
import { type Breach, checkRules } from './soakRules.js';
import { SoakTargets } from './soakTargets.js';

const CONTROLS = 5;
const ENTRIES = 3;
const TARGETS = 4;
const CALLERS = 8;
/** Time for the system to be whole again after the last fault, before it must serve. */
const RECOVERY_MS = 9000;
const QUIET_MS = 3000;
const SECOND_MS = 1000;
const LINK_DELAY_MS = 120;
const RESET_AFTER_BYTES = 2000;
const KILLED_FOR_MS = 400;
const PAGE_BYTES = 4096;

/** The state in one second, for the plots. */
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

/** What came of one soak. */
export interface SoakResult {
	readonly seed: number;
	readonly lengthMs: number;
	readonly requests: number;
	readonly faults: readonly Fault[];
	readonly breaches: readonly Breach[];
	readonly seconds: readonly SoakSecond[];
}

/** Runs one seed. */
export class SoakRun {
	private readonly _system = new DiscoveredSystem(CONTROLS, ENTRIES);
	private readonly _seen = new Observations();
	private readonly _callers = new SoakCallers(this._system, this._seen);
	private readonly _operator = new SoakOperator(this._system, this._seen);
	private readonly _folder = mkdtempSync(join(tmpdir(), 'shelffield-soak-'));
	private readonly _proxy = new LocalProcess('proxy', 'test/faults/faultProxy.js', [], join(this._folder, 'proxy.log'));
	private readonly _memory: number[] = [];
	private readonly _pending: Promise<void>[] = [];
	private _targets!: SoakTargets;
	private _isWiping = false;

	constructor(
		private readonly _seed: number,
		private readonly _lengthMs: number
	) {}

	/** Plays the faults and checks the rules; always ends its processes. */
	async play(): Promise<SoakResult> {
		try {
			await this._begin();
			const startedAt = performance.now();
			const sampler = setInterval(() => this._memory.push(this._residentMb()), SECOND_MS);
			const faults = drawFaults(this._seed, this._lengthMs);
			await this._playFaults(faults);
			await Promise.all(this._pending);
			const quietFrom = performance.now() + RECOVERY_MS;
			await pause(RECOVERY_MS + QUIET_MS);
			await this._callers.stop();
			await this._operator.readBack();
			clearInterval(sampler);
			const breaches = checkRules(this._seen, this._targets.runs, this._targets.ids, quietFrom);
			const { requests } = this._seen;
			return {
				seed: this._seed,
				lengthMs: this._lengthMs,
				requests: requests.length,
				faults,
				breaches,
				seconds: this._seconds(startedAt, faults)
			};
		} finally {
			await this._end();
		}
	}

	/** What the processes of the system wrote, to explain a breach. */
	logs(): string {
		return [...this._system.controls, ...this._system.entries].map(instance => instance.output).join('');
	}

	private async _begin(): Promise<void> {
		const { url } = (await this._proxy.waitForLine(line => typeof line['url'] === 'string')) as { url: string };
		this._targets = new SoakTargets(this._system, url);
		this._system.startAll();
		await this._operator.begin();
		await this._targets.start(TARGETS);
		for (const entry of this._system.entries) {
			await until('an entry instance serves', async () =>
				(await this._callers.askOnce(entry)).status === 200 ? true : undefined
			);
		}
		this._callers.start(CALLERS);
	}

	private async _end(): Promise<void> {
		await this._callers.stop();
		this._targets?.stop();
		await this._system.stopAll();
		await this._proxy.kill();
		rmSync(this._folder, { recursive: true, force: true });
	}

	private async _playFaults(faults: readonly Fault[]): Promise<void> {
		const startedAt = performance.now();
		for (const fault of faults) {
			await pause(Math.max(0, startedAt + fault.atMs - performance.now()));
			this._seen.disturb(fault.kind, fault.forMs);
			this._pending.push(this._inflict(fault));
		}
		await pause(Math.max(0, startedAt + this._lengthMs - performance.now()));
	}

	private async _inflict(fault: Fault): Promise<void> {
		const { controls, entries } = this._system;
		const control = controls[Math.floor(fault.pick * controls.length)]!;
		const entry = entries[Math.floor(fault.pick * entries.length)]!;
		const targets = this._targets;
		switch (fault.kind) {
			case FaultKind.KillEntry:
				return this._killAndStart(entry);
			case FaultKind.KillControl:
				return this._killAndStart(control);
			case FaultKind.KillAllControls:
				await Promise.all(controls.map(each => this._killAndStart(each)));
				return;
			case FaultKind.PauseEntry:
				return this._pauseFor(entry, fault.forMs);
			case FaultKind.PauseControl:
				return this._pauseFor(control, fault.forMs);
			case FaultKind.StopEntry:
				await this._system.end(entry, 'SIGTERM');
				this._system.start(entry, false);
				return;
			case FaultKind.WipeControl:
				return this._wipe(control);
			case FaultKind.ReloadSettings:
				entry.child?.kill('SIGHUP');
				return;
			case FaultKind.DelayLink:
				return targets.disturbLink(fault.pick, { delayMs: LINK_DELAY_MS }, { delayMs: 0 }, fault.forMs);
			case FaultKind.ResetLink:
				return targets.disturbLink(fault.pick, { resetAfterBytes: RESET_AFTER_BYTES }, {}, fault.forMs);
			case FaultKind.CutRequests:
				return targets.disturbLink(fault.pick, { cutForward: true }, { cutForward: false }, fault.forMs);
			case FaultKind.CutAnswers:
				return targets.disturbLink(fault.pick, { cutBackward: true }, { cutBackward: false }, fault.forMs);
			case FaultKind.CrashTarget:
				return targets.crash(fault.pick, fault.forMs);
			case FaultKind.DrainTarget:
				return targets.drain(fault.pick);
			case FaultKind.PublishTable:
				return this._operator.change();
			case FaultKind.RaceTables:
				return this._operator.race();
		}
	}

	private async _killAndStart(instance: Instance): Promise<void> {
		await this._system.end(instance, 'SIGKILL');
		await pause(KILLED_FOR_MS);
		if (instance.child?.exitCode !== null || instance.child.signalCode !== null) {
			this._system.start(instance, false);
		}
	}

	private async _pauseFor(instance: Instance, forMs: number): Promise<void> {
		instance.child?.kill('SIGSTOP');
		await pause(forMs);
		instance.child?.kill('SIGCONT');
	}

	/** One disk is lost at a time: the next one only when the last is a whole member again. */
	private async _wipe(control: Instance): Promise<void> {
		if (this._isWiping) {
			return;
		}
		this._isWiping = true;
		await this._system.end(control, 'SIGKILL');
		this._system.wipe(control);
		this._system.start(control, false);
		await pause(RECOVERY_MS);
		this._isWiping = false;
	}

	private _residentMb(): number {
		const pids = [...this._system.controls, ...this._system.entries].map(instance => instance.child?.pid);
		return pids.reduce<number>((sum, pid) => sum + residentMb(pid), 0);
	}

	private _seconds(startedAt: number, faults: readonly Fault[]): SoakSecond[] {
		return this._memory.map((memoryMb, second) => {
			const from = startedAt + second * SECOND_MS;
			const ended = this._seen.requests.filter(item => item.endedAt >= from && item.endedAt < from + SECOND_MS);
			const served = ended.filter(item => item.status === 200).length;
			const refused = ended.filter(item => item.status === 503).length;
			return {
				second,
				served,
				refused,
				failed: ended.length - served - refused,
				inFlight: this._seen.requests.filter(item => item.sentAt < from && item.endedAt >= from).length,
				faults: faults.filter(fault => Math.floor(fault.atMs / SECOND_MS) === second).length,
				memoryMb: Math.round(memoryMb)
			};
		});
	}
}

function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}

/** Resident memory of a process; 0 when it has ended or is not known here. */
function residentMb(pid: number | undefined): number {
	try {
		const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
		return (pages * PAGE_BYTES) / 2 ** 20;
	} catch {
		return 0;
	}
}
