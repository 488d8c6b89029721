/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The commands about plans and the state of the system. */

import { readFile } from 'node:fs/promises';
import type { PlanRecord } from '../../configuration/common/intents.js';
import type { ConfirmResponse, InForce, StatusResponse } from '../../operators/common/operatorApi.js';
import {
	type CommandArguments,
	CONNECTION_OPTIONS,
	ExitCode,
	type ICommand,
	REQUEST_OPTIONS,
	UsageError
} from '../common/command.js';
import { explainRequest } from '../common/requestExplanation.js';
import { OperatorConnection, requestNumber } from './operatorConnection.js';
import { describePlan, describeStatus, print, table } from './output.js';

const POLL_MS = 300;
const IN_FORCE_TIMEOUT_MS = 10000;

type PlanWithForce = PlanRecord & { readonly inForce: InForce };

function planId(args: CommandArguments): string {
	const id = args.positionals[0];
	if (!id || !/^[0-9a-f]+$/.test(id)) {
		throw new UsageError('PLAN is missing or not allowed; allowed: the id that `shelffield intent` printed');
	}
	return id;
}

function describeForce(inForce: InForce): string {
	const missing = inForce.missing.length > 0 ? `; missing: ${inForce.missing.join(', ')}` : '';
	return `in force at ${inForce.count} of ${inForce.of} instances${missing}`;
}

function describeProgress(record: PlanWithForce): string {
	const held = record.holdReason ? `, held: ${record.holdReason}` : '';
	const stages = `${record.stagesBegun} of ${record.plan.stages.length} stages begun`;
	return `${record.status}, ${stages}${held}; ${describeForce(record.inForce)}`;
}

/** Waits until a plan's latest stage is in force; tells each change. */
async function waitInForce(connection: OperatorConnection, id: string, args: CommandArguments): Promise<PlanWithForce> {
	const until = Date.now() + IN_FORCE_TIMEOUT_MS;
	let told = '';
	for (;;) {
		const record = await connection.send<PlanWithForce>('GET', `/v1/plans/${id}`);
		const progress = describeProgress(record);
		if (progress !== told && !args.values['json']) {
			process.stdout.write(`${progress}\n`);
			told = progress;
		}
		const isOpen = record.status === 'running' || record.status === 'holding';
		const isWaiting = args.values['follow'] ? isOpen : record.inForce.missing.length > 0 && Date.now() < until;
		if (!isWaiting) {
			return record;
		}
		await new Promise(resolve => setTimeout(resolve, POLL_MS));
	}
}

/** `shelffield confirm`. */
export const confirmCommand: ICommand = {
	name: 'confirm',
	summary: 'put a plan into force, and show until it is',
	usage: 'PLAN [--follow]',
	example: 'shelffield confirm 0a1b2c3d4e5f6071 --follow',
	options: { ...REQUEST_OPTIONS, follow: { type: 'boolean' } },
	run: async args => {
		const id = planId(args);
		const connection = new OperatorConnection(args);
		const { plan } = await connection.send<PlanWithForce>('GET', `/v1/plans/${id}`);
		const body = { operator: connection.operator, number: requestNumber(args), digest: plan.digest };
		const confirmed = await connection.send<ConfirmResponse>('POST', `/v1/plans/${id}/confirm`, body);
		if (!args.values['json']) {
			process.stdout.write(`confirmed as revision ${confirmed.revision}\n`);
		}
		const record = await waitInForce(connection, id, args);
		if (args.values['json']) {
			print(args, { ...confirmed, inForce: record.inForce, status: record.status }, () => '');
		}
		return record.inForce.missing.length === 0 ? ExitCode.Done : ExitCode.NotInForce;
	}
};

/** `shelffield plan`. */
export const planCommand: ICommand = {
	name: 'plan',
	summary: 'show a plan and how far it is',
	usage: 'PLAN',
	example: 'shelffield plan 0a1b2c3d4e5f6071',
	options: CONNECTION_OPTIONS,
	run: async args => {
		const record = await new OperatorConnection(args).send<PlanWithForce>('GET', `/v1/plans/${planId(args)}`);
		print(args, record, () => `${describePlan(record.plan)}\nNow: ${describeProgress(record)}`);
		return ExitCode.Done;
	}
};

/** `shelffield stop`. */
export const stopCommand: ICommand = {
	name: 'stop',
	summary: 'stop a running shift where it stands',
	usage: 'PLAN',
	example: 'shelffield stop 0a1b2c3d4e5f6071',
	options: CONNECTION_OPTIONS,
	run: async args => {
		const path = `/v1/plans/${planId(args)}/stop`;
		const stopped = await new OperatorConnection(args).send<{ status: string; stagesBegun: number }>('POST', path);
		print(args, stopped, () => `${stopped.status} after ${stopped.stagesBegun} stages`);
		return ExitCode.Done;
	}
};

/** `shelffield status`. */
export const statusCommand: ICommand = {
	name: 'status',
	summary: 'show the control instances, the entry instances, the groups and the plans',
	usage: '',
	example: 'shelffield status --json',
	options: CONNECTION_OPTIONS,
	run: async args => {
		const status = await new OperatorConnection(args).send<StatusResponse>('GET', '/v1/status');
		print(args, status, () => describeStatus(status));
		return ExitCode.Done;
	}
};

async function explainFromLogs(args: CommandArguments, id: string, files: readonly string[]): Promise<ExitCode> {
	const lines: string[] = [];
	for (const file of files) {
		const text = await readFile(file, 'utf8').catch((error: Error) => {
			throw new UsageError(`LOGFILE '${file}' cannot be read: ${error.message}`);
		});
		lines.push(...text.split('\n'));
	}
	const told = explainRequest(lines, id);
	const nothing = 'The logs say nothing of it: it came to no instance whose log this is, or its line was left out.';
	print(args, { requestId: id, told }, () => (told.length > 0 ? told.join('\n') : nothing));
	return ExitCode.Done;
}

interface Explanation {
	readonly decisions: readonly { at: string; planId: string; decision: string }[];
}

/** `shelffield explain`. */
export const explainCommand: ICommand = {
	name: 'explain',
	summary: 'say why a shift went as it did, from recorded decisions, or a request, from logs',
	usage: '[plan PLAN] | request ID LOGFILE...',
	example: 'shelffield explain plan 0a1b2c3d4e5f6071',
	options: CONNECTION_OPTIONS,
	run: async args => {
		const [kind, id, ...files] = args.positionals;
		if (kind === 'request' && id !== undefined && files.length > 0) {
			return explainFromLogs(args, id, files);
		}
		if (kind !== undefined && (kind !== 'plan' || id === undefined)) {
			throw new UsageError('allowed: nothing, `plan PLAN`, or `request ID LOGFILE...`');
		}
		const query = kind === undefined ? '' : `?${new URLSearchParams({ [kind]: id! }).toString()}`;
		const explanation = await new OperatorConnection(args).send<Explanation>('GET', `/v1/explain${query}`);
		const rows = explanation.decisions.map(item => [item.at, item.planId, item.decision]);
		print(args, explanation, () =>
			rows.length > 0 ? table(['at', 'what', 'decision'], rows) : 'No decision about it is recorded.'
		);
		return ExitCode.Done;
	}
};

/** `shelffield member`. */
export const memberCommand: ICommand = {
	name: 'member',
	summary: 'remove a control instance from the replicated log',
	usage: 'remove NAME',
	example: 'shelffield member remove c3',
	options: CONNECTION_OPTIONS,
	run: async args => {
		const [action, name] = args.positionals;
		if (action !== 'remove' || !name) {
			throw new UsageError('allowed: `member remove NAME`; a new one joins by itself when its settings list it');
		}
		await new OperatorConnection(args).send('POST', `/v1/members/${name}/remove`);
		print(args, { removed: name }, () => `${name} is no longer a member`);
		return ExitCode.Done;
	}
};
