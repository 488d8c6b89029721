/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Commands that submit an intent, for which the system drafts a plan. */

import type { Plan } from '../../configuration/common/intents.js';
import {
	type CommandArguments,
	type CommandOptions,
	ExitCode,
	type ICommand,
	REQUEST_OPTIONS,
	UsageError
} from '../common/command.js';
import { OperatorConnection, parseRequestNumber } from './operatorConnection.js';
import { describePlan, printResult } from './output.js';

const ALLOW_OPTION: CommandOptions = { 'allow-overload-on-region-loss': { type: 'boolean' } };

/** Submits an intent and prints the plan drafted for it. */
async function submitIntent(args: CommandArguments, intent: object): Promise<ExitCode> {
	const connection = new OperatorConnection(args);
	const allowOverloadOnRegionLoss = args.values['allow-overload-on-region-loss'] === true || undefined;
	const body = {
		operator: connection.operator,
		number: parseRequestNumber(args),
		intent: { ...intent, allowOverloadOnRegionLoss }
	};
	const plan = await connection.send<Plan>('POST', '/v1/intents', body);
	printResult(args, plan, () => describePlan(plan));
	return ExitCode.Done;
}

/** @throws UsageError if one of the named positional arguments is missing */
function requirePositionals(args: CommandArguments, names: readonly string[]): string[] {
	names.forEach((name, i) => {
		if (args.positionals[i] === undefined) {
			throw new UsageError(`${name} is missing`);
		}
	});
	return [...args.positionals];
}

function parseWholeNumber(text: string, name: string): number {
	if (!/^\d+$/.test(text)) {
		throw new UsageError(`${name} '${text}' is not allowed; allowed: a whole number`);
	}
	return Number(text);
}

function parseIntent(args: CommandArguments): object {
	const [kind, ...rest] = requirePositionals(args, ['KIND']);
	const intentArgs = { ...args, positionals: rest };
	switch (kind) {
		case 'share': {
			const [group, share] = requirePositionals(intentArgs, ['GROUP', 'SHARE']);
			return { kind, group, share: parseWholeNumber(share!, 'SHARE') };
		}
		case 'cap': {
			const [group, permille, windowMs] = requirePositionals(intentArgs, ['GROUP', 'PERMILLE', 'WINDOW-MS']);
			return {
				kind,
				group,
				permille: parseWholeNumber(permille!, 'PERMILLE'),
				windowMs: parseWholeNumber(windowMs!, 'WINDOW-MS')
			};
		}
		case 'prefer': {
			const [group, region, permille] = requirePositionals(intentArgs, ['GROUP', 'REGION']);
			return {
				kind,
				group,
				region,
				permille: permille === undefined ? undefined : parseWholeNumber(permille, 'PERMILLE')
			};
		}
		case 'drain':
		case 'restore': {
			const [scope, name] = requirePositionals(intentArgs, ['SCOPE', 'NAME']);
			return { kind, scope, name };
		}
		default:
			throw new UsageError(`KIND '${kind}' is not allowed; allowed: share, cap, prefer, drain, restore`);
	}
}

/** `shelffield intent`. */
export const intentCommand: ICommand = {
	name: 'intent',
	summary: 'submit an intent and show its plan; nothing changes until the plan is confirmed',
	usage: [
		'share GROUP SHARE | cap GROUP PERMILLE WINDOW-MS | prefer GROUP REGION [PERMILLE]',
		'| drain SCOPE NAME | restore SCOPE NAME   (SCOPE: target, instance, hall, region)'
	].join(' '),
	example: 'shelffield intent prefer growers south 300',
	options: { ...REQUEST_OPTIONS, ...ALLOW_OPTION },
	run: args => submitIntent(args, parseIntent(args))
};

/** `shelffield drain`. */
export const drainCommand: ICommand = {
	name: 'drain',
	summary: 'shorthand for: intent drain',
	usage: 'SCOPE NAME   (SCOPE: target, instance, hall, region)',
	example: 'shelffield drain hall south-1',
	options: { ...REQUEST_OPTIONS, ...ALLOW_OPTION },
	run: args => submitIntent(args, parseIntent({ ...args, positionals: ['drain', ...args.positionals] }))
};
