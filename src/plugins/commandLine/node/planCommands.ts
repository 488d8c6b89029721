/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Commands for plans, status, explanations and the membership of the replicated log. */

import { readFile } from 'node:fs/promises';
import type { PlanRecord } from '../../configuration/common/intents.js';
import type { ConfirmResponse, InForceStatus, StatusResponse } from '../../operators/common/operatorApi.js';
import {
	type CommandArguments,
	CONNECTION_OPTIONS,
	ExitCode,
	type ICommand,
	REQUEST_OPTIONS,
	UsageError
} from '../common/command.js';
import { explainRequest } from '../common/requestExplanation.js';
import { OperatorConnection, parseRequestNumber } from './operatorConnection.js';
import { describePlan, describeStatus, formatTable, printResult } from './output.js';

const POLL_INTERVAL_MS = 300;
const IN_FORCE_TIMEOUT_MS = 10000;

type PlanWithInForceStatus = PlanRecord & { readonly inForce: InForceStatus };

function parsePlanId(args: CommandArguments): string {
	const id = args.positionals[0];
	if (!id || !/^[0-9a-f]+$/.test(id)) {
		throw new UsageError('PLAN is missing or not allowed; allowed: the id that `shelffield intent` printed');
	}
	return id;
}

function describeInForce(inForce: InForceStatus): string {
	const missing = inForce.missing.length > 0 ? `; missing: ${inForce.missing.join(', ')}` : '';
	return `in force at ${inForce.count} of ${inForce.of} instances${missing}`;
}

function describeProgress(record: PlanWithInForceStatus): string {
	const held = record.holdReason ? `, held: ${record.holdReason}` : '';
	const stages = `${record.stagesBegun} of ${record.plan.stages.length} stages begun`;
	return `${record.status}, ${stages}${held}; ${describeInForce(record.inForce)}`;
}

/**
 * Waits until the latest stage of a plan is in force or a timeout elapses; with `--follow`, until the plan is done or stopped.
 * Prints each change of its progress unless `--json` is set.
 */
async function waitUntilInForce(
	connection: OperatorConnection,
	id: string,
	args: CommandArguments
): Promise<PlanWithInForceStatus> {
	const deadline = Date.now() + IN_FORCE_TIMEOUT_MS;
	let lastProgress = '';
	for (;;) {
		const record = await connection.send<PlanWithInForceStatus>('GET', `/v1/plans/${id}`);
		const progress = describeProgress(record);
		if (progress !== lastProgress && !args.values['json']) {
			process.stdout.write(`${progress}\n`);
			lastProgress = progress;
		}
		const isActive = record.status === 'running' || record.status === 'holding';
		const shouldWait = args.values['follow'] ? isActive : record.inForce.missing.length > 0 && Date.now() < deadline;
		if (!shouldWait) {
			return record;
		}
		await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
	}
}

/** `shelffield confirm`. */
export const confirmCommand: ICommand = {
	name: 'confirm',
	summary: 'put a plan into force, and show its progress',
	usage: 'PLAN [--follow]',
	example: 'shelffield confirm 0a1b2c3d4e5f6071 --follow',
	options: { ...REQUEST_OPTIONS, follow: { type: 'boolean' } },
	run: async args => {
		const id = parsePlanId(args);
		const connection = new OperatorConnection(args);
		const { plan } = await connection.send<PlanWithInForceStatus>('GET', `/v1/plans/${id}`);
		const body = { operator: connection.operator, number: parseRequestNumber(args), digest: plan.digest };
		const confirmed = await connection.send<ConfirmResponse>('POST', `/v1/plans/${id}/confirm`, body);
		if (!args.values['json']) {
			process.stdout.write(`confirmed as revision ${confirmed.revision}\n`);
		}
		const record = await waitUntilInForce(connection, id, args);
		if (args.values['json']) {
			printResult(args, { ...confirmed, inForce: record.inForce, status: record.status }, () => '');
		}
		return record.inForce.missing.length === 0 ? ExitCode.Done : ExitCode.NotInForce;
	}
};

/** `shelffield plan`. */
export const planCommand: ICommand = {
	name: 'plan',
	summary: 'show a plan and its progress',
	usage: 'PLAN',
	example: 'shelffield plan 0a1b2c3d4e5f6071',
	options: CONNECTION_OPTIONS,
	run: async args => {
		const record = await new OperatorConnection(args).send<PlanWithInForceStatus>(
			'GET',
			`/v1/plans/${parsePlanId(args)}`
		);
		printResult(args, record, () => `${describePlan(record.plan)}\nNow: ${describeProgress(record)}`);
		return ExitCode.Done;
	}
};

/** `shelffield stop`. */
export const stopCommand: ICommand = {
	name: 'stop',
	summary: 'stop a running plan; stages that have begun are not undone',
	usage: 'PLAN',
	example: 'shelffield stop 0a1b2c3d4e5f6071',
	options: CONNECTION_OPTIONS,
	run: async args => {
		const path = `/v1/plans/${parsePlanId(args)}/stop`;
		const stopped = await new OperatorConnection(args).send<{ status: string; stagesBegun: number }>('POST', path);
		printResult(args, stopped, () => `${stopped.status} after ${stopped.stagesBegun} stages`);
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
		printResult(args, status, () => describeStatus(status));
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
	const explanation = explainRequest(lines, id);
	const notFoundMessage =
		'No log line for this request: none of these instances received it, or its log line was dropped by sampling.';
	printResult(args, { requestId: id, told: explanation }, () =>
		explanation.length > 0 ? explanation.join('\n') : notFoundMessage
	);
	return ExitCode.Done;
}

interface DecisionList {
	readonly decisions: readonly { at: string; planId: string; decision: string }[];
}

/** `shelffield explain`. */
export const explainCommand: ICommand = {
	name: 'explain',
	summary: 'show the recorded decisions about plans, or how a request was processed according to logs',
	usage: '[plan PLAN] | request ID LOGFILE...',
	example: 'shelffield explain plan 0a1b2c3d4e5f6071',
	options: CONNECTION_OPTIONS,
	run: async args => {
		const [kind, id, ...files] = args.positionals;
		if (kind === 'request' && id !== undefined && files.length > 0) {
			return explainFromLogs(args, id, files);
		}
		if (kind !== undefined && (kind !== 'plan' || id === undefined)) {
			throw new UsageError('allowed: no arguments, `plan PLAN`, or `request ID LOGFILE...`');
		}
		const query = kind === undefined ? '' : `?${new URLSearchParams({ [kind]: id! }).toString()}`;
		const explanation = await new OperatorConnection(args).send<DecisionList>('GET', `/v1/explain${query}`);
		const rows = explanation.decisions.map(item => [item.at, item.planId, item.decision]);
		printResult(args, explanation, () =>
			rows.length > 0 ? formatTable(['at', 'what', 'decision'], rows) : 'No decisions are recorded.'
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
		printResult(args, { removed: name }, () => `${name} is no longer a member`);
		return ExitCode.Done;
	}
};
