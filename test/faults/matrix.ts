/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * `npm run faults`: injects each fault at each step into a system of real processes, checks the guarantees after each cell
 * and writes docs/FAULTS.md. `npm run faults -- WORD` runs only the cells whose name contains the word and writes no file.
 */

import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import { request } from 'undici';
import { type LocalControl, type LocalEntry, LocalSystem } from '../local/localSystem.js';
import { IMPOSSIBLE_CELLS, FAULTS, NOT_RUN_REASON, STEPS } from './matrixPlan.js';

const FAULT_DURATION_MS = 3000;
const DELAY_MS = 200;
const WORK_MS = 300;
const REPORT_FILE = 'docs/FAULTS.md';

/** Instances that a fault is injected into. */
interface AffectedInstances {
	readonly control: LocalControl;
	readonly entry: LocalEntry;
}

/** Injects a fault; resolves once the fault is removed. */
type FaultInjector = (system: LocalSystem, affected: AffectedInstances) => Promise<void>;
/** Executes the workload up to a step, calls `inject` there and checks the guarantees afterwards. */
type StepRunner = (cell: MatrixCell, inject: () => Promise<void>) => Promise<void>;

function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms));
}

async function changeLinksTemporarily(system: LocalSystem, control: LocalControl, change: object): Promise<void> {
	const isAffected = (link: { from: string; to: string }): boolean =>
		link.to === control.name || link.from === control.hall;
	await system.changeLinks(isAffected, change);
	await sleep(FAULT_DURATION_MS);
	await system.changeLinks(isAffected, { cutForward: false, cutBackward: false, delayMs: 0 });
}

async function killAndRestart(system: LocalSystem, instance: LocalControl | LocalEntry): Promise<void> {
	await instance.process.kill();
	await system.restart(instance);
}

async function suspendTemporarily(instance: LocalControl | LocalEntry): Promise<void> {
	instance.process.signal('SIGSTOP');
	await sleep(FAULT_DURATION_MS);
	instance.process.signal('SIGCONT');
}

const faultInjectors: Readonly<Record<string, FaultInjector>> = {
	'leader killed': (system, { control }) => killAndRestart(system, control),
	'leader frozen for longer than every lease': (_system, { control }) => suspendTemporarily(control),
	'leader cut off both ways in silence': (system, { control }) =>
		changeLinksTemporarily(system, control, { cutForward: true, cutBackward: true }),
	'leader cut off one way': (system, { control }) => changeLinksTemporarily(system, control, { cutForward: true }),
	'leader delayed by 200 ms': (system, { control }) => changeLinksTemporarily(system, control, { delayMs: DELAY_MS }),
	'connections of the leader reset': async (system, { control }) => {
		await system.changeLinks(link => link.to === control.name, { resetAfterBytes: 0 });
	},
	'entry instance killed': (system, { entry }) => killAndRestart(system, entry),
	'entry instance frozen for longer than every lease': (_system, { entry }) => suspendTemporarily(entry)
};

/** A running cell: one fault at one step. */
class MatrixCell {
	private static _nextId = 1;
	private readonly _id = MatrixCell._nextId++;

	constructor(
		readonly system: LocalSystem,
		readonly affected: AffectedInstances
	) {}

	/** Order key that no other cell of this run uses. */
	get orderKey(): string {
		return `${new Date().toISOString().slice(0, 10)}-cell-${this._id}`;
	}

	/** Group share that no other cell of this run uses, so that the change of this cell can be identified. */
	get share(): number {
		return 100 + this._id;
	}

	/** Sends an operator request to the control instances in turn until one returns a status other than 503. */
	async sendOperatorRequest(path: string, body: object): Promise<{ status: number; body: unknown }> {
		for (let i = 0; ; i++) {
			const control = this.system.controls[i % this.system.controls.length]!;
			const response = await this.system.sendOperatorRequest(control, 'POST', path, body).catch(() => undefined);
			if (response && response.status !== 503) {
				return response;
			}
			await sleep(20);
		}
	}

	async createPlan(): Promise<{ planId: string; digest: string }> {
		const intent = { kind: 'share', group: 'default', share: this.share };
		const response = await this.sendOperatorRequest('/v1/intents', { operator: 'cells', number: this._id * 2, intent });
		assert.equal(response.status, 200, JSON.stringify(response.body));
		return response.body as { planId: string; digest: string };
	}

	async confirmPlan(plan: { planId: string; digest: string }): Promise<void> {
		const body = { operator: 'cells', number: this._id * 2 + 1, digest: plan.digest };
		const response = await this.sendOperatorRequest(`/v1/plans/${plan.planId}/confirm`, body);
		assert.equal(response.status, 200, JSON.stringify(response.body));
	}

	/** Waits until the change of this cell is active at every entry instance. */
	async waitUntilActive(): Promise<void> {
		for (;;) {
			const leader = await this.system.leader();
			const response = await this.system.sendOperatorRequest(leader, 'GET', '/v1/status').catch(() => undefined);
			const status = response?.body as {
				revision: number;
				groups: { name: string; share: number }[];
				entries: { revisionInForce: number; silent: boolean }[];
			};
			const group = status?.groups?.find(item => item.name === 'default');
			const isActiveEverywhere = status?.entries?.every(
				entry => !entry.silent && entry.revisionInForce === status.revision
			);
			if (group?.share === this.share && isActiveEverywhere && status.entries.length === this.system.entries.length) {
				return;
			}
			await sleep(50);
		}
	}

	/** Sends the order of this cell. Returns the response of the system or the target; undefined if the connection was lost. */
	async sendOrder(entry: LocalEntry): Promise<{ verdict: string; requestId: string; reason?: string } | undefined> {
		try {
			const response = await request(`${entry.url}/s/grower/dose?workMs=${WORK_MS}`, {
				method: 'POST',
				headers: { 'shelffield-group': 'growers', 'shelffield-order-key': this.orderKey },
				body: 'dose'
			});
			const body = (await response.body.json()) as { requestId: string; reason?: string };
			const verdict = String(response.headers['shelffield-verdict']);
			return { verdict, requestId: String(response.headers['shelffield-request-id']), reason: body.reason };
		} catch {
			return undefined;
		}
	}

	async executedRequestIds(): Promise<string[]> {
		const journals = await this.system.journals();
		const executions = journals.flatMap(journal => journal.runs);
		return executions.filter(execution => execution.orderKey === this.orderKey).map(execution => execution.requestId);
	}

	/** Checks that a retry gets a final response, that the order was executed at most once, and that the verdicts are correct. */
	async checkOrder(firstResponse: { verdict: string; requestId: string } | undefined): Promise<void> {
		const otherEntry = this.system.entries.find(entry => entry !== this.affected.entry)!;
		let retryResponse = await this.sendOrder(otherEntry);
		while (!retryResponse || retryResponse.reason === 'no-quorum') {
			await sleep(100);
			retryResponse = await this.sendOrder(otherEntry);
		}
		const executedIds = await this.executedRequestIds();
		assert.ok(executedIds.length <= 1, `the order ran ${executedIds.length} times`);
		for (const response of [firstResponse, retryResponse]) {
			if (response?.verdict === 'not-run') {
				assert.ok(!executedIds.includes(response.requestId), 'the verdict is not-run, but a target executed the order');
			}
			if (response?.verdict === 'ran') {
				assert.equal(executedIds.length, 1, 'the verdict is ran, but no target executed the order');
			}
		}
	}
}

const stepRunners: Readonly<Record<string, StepRunner>> = {
	'intent sent': async (cell, inject) => {
		const planned = cell.createPlan();
		await inject();
		await cell.confirmPlan(await planned);
		await cell.waitUntilActive();
	},
	'plan answered': async (cell, inject) => {
		const plan = await cell.createPlan();
		const injected = inject();
		await cell.confirmPlan(plan);
		await injected;
		await cell.waitUntilActive();
	},
	'confirm sent': async (cell, inject) => {
		const plan = await cell.createPlan();
		const confirmed = cell.confirmPlan(plan);
		await inject();
		await confirmed;
		await cell.waitUntilActive();
	},
	'configuration pushed': async (cell, inject) => {
		await cell.confirmPlan(await cell.createPlan());
		await inject();
		await cell.waitUntilActive();
	},
	'claim sent': async (cell, inject) => {
		const ordered = cell.sendOrder(cell.affected.entry);
		await inject();
		await cell.checkOrder(await ordered);
	},
	'bytes to the target': async (cell, inject) => {
		const ordered = cell.sendOrder(cell.affected.entry);
		for (let i = 0; i < 100 && (await cell.executedRequestIds()).length === 0; i++) {
			await sleep(5);
		}
		await inject();
		await cell.checkOrder(await ordered);
	},
	'answer to the caller': async (cell, inject) => {
		const firstResponse = await cell.sendOrder(cell.affected.entry);
		await inject();
		await cell.checkOrder(firstResponse);
	}
};

/** Checks that no target exceeded its slots. */
async function checkSlotLimits(system: LocalSystem): Promise<void> {
	const journals = await system.journals();
	assert.ok(
		journals.every(journal => journal.overSlots === 0),
		'a target was over its slots'
	);
}

async function runCell(system: LocalSystem, step: string, fault: string): Promise<string> {
	const affected = { control: await system.leader(), entry: system.entries[1]! };
	const cell = new MatrixCell(system, affected);
	try {
		await stepRunners[step]!(cell, () => faultInjectors[fault]!(system, affected));
		await checkSlotLimits(system);
		return 'passed';
	} catch (error) {
		return `failed: ${(error as Error).message.split('\n')[0]}`;
	}
}

function resultOfSkippedCell(step: string, fault: string): string {
	return IMPOSSIBLE_CELLS.find(item => item.step === step && item.fault === fault)?.reason ?? NOT_RUN_REASON;
}

async function main(): Promise<void> {
	const nameFilter = process.argv[2] ?? '';
	const system = await LocalSystem.start({ lookupTtlMs: 1000, targetsPerService: 6, proxies: true });
	const rows: { step: string; fault: string; result: string }[] = [];
	try {
		for (const step of STEPS) {
			for (const fault of FAULTS) {
				const shouldRun = step in stepRunners && fault in faultInjectors && `${step} × ${fault}`.includes(nameFilter);
				const result = shouldRun ? await runCell(system, step, fault) : resultOfSkippedCell(step, fault);
				rows.push({ step, fault, result });
				if (shouldRun) {
					process.stdout.write(`${step} × ${fault}: ${result}\n`);
				}
			}
		}
	} finally {
		await system.stop();
	}
	const count = (prefix: string): number => rows.filter(row => row.result.startsWith(prefix)).length;
	const summary = `${count('passed')} passed, ${count('failed')} failed, ${count('cannot occur')} cannot occur, ${count('not run')} not run`;
	process.stdout.write(`${summary}\n`);
	process.exitCode = count('failed') > 0 ? 1 : 0;
	if (nameFilter === '') {
		const lines = rows.map(row => `| ${row.step} | ${row.fault} | ${row.result} |`);
		const head = ['# The fault matrix, as run', '', `Written by \`npm run faults\`: ${summary}.`, ''];
		const table = ['| step | fault | result |', '| --- | --- | --- |', ...lines, ''];
		writeFileSync(REPORT_FILE, [...head, ...table].join('\n'));
	}
}

await main();
