/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Entry point of the command line: parses the arguments, runs a command and reports its errors. */

import { parseArgs } from 'node:util';
import { SettingsError } from '../../../kernel/node/settingsService.js';
import { type CommandArguments, commandRegistry, ExitCode, type ICommand, UsageError } from '../common/command.js';
import { RefusedError, UnreachableError } from './operatorConnection.js';

const EXIT_CODE_HELP = [
	'Exit codes: 0 success; 1 refused, nothing changed; 2 invalid arguments or settings;',
	'3 no conclusive response from a control instance; 4 confirmed, but not in force at every instance.'
].join('\n');

function formatGeneralHelp(): string {
	const lines = commandRegistry.all.map(command => `  ${command.name.padEnd(10)} ${command.summary}`);
	return ['usage: shelffield COMMAND [--settings FILE] [--json] [--help]', '', ...lines, '', EXIT_CODE_HELP].join('\n');
}

function formatCommandHelp(command: ICommand): string {
	const options = Object.keys(command.options).map(name => `--${name}`);
	return [
		`usage: shelffield ${command.name} ${command.usage}`,
		`  ${command.summary}`,
		`options: ${options.join(' ')}`,
		`example: ${command.example}`,
		EXIT_CODE_HELP
	].join('\n');
}

function parseArguments(command: ICommand, argv: readonly string[]): CommandArguments {
	try {
		const parsed = parseArgs({ args: [...argv], options: command.options, allowPositionals: true });
		return parsed as CommandArguments;
	} catch (error) {
		throw new UsageError((error as Error).message);
	}
}

/** Writes an error to stderr and returns the exit code for it. */
function reportError(error: Error, asJson: boolean): ExitCode {
	const body = error instanceof RefusedError ? error.body : { message: error.message };
	process.stderr.write(`${asJson ? JSON.stringify(body) : describeError(error)}\n`);
	if (error instanceof UsageError || error instanceof SettingsError) {
		return ExitCode.BadUsage;
	}
	return error instanceof RefusedError ? ExitCode.Refused : ExitCode.Unreachable;
}

function describeError(error: Error): string {
	if (!(error instanceof RefusedError)) {
		return error.message;
	}
	const { code, message, field, allowed, plan } = error.body;
	const fieldHint = field ? ` (${field}${allowed ? `; allowed: ${allowed}` : ''})` : '';
	const newPlanHint = plan ? `\nNew plan: ${plan.planId}; to show it: shelffield plan ${plan.planId}` : '';
	return `${code}: ${message}${fieldHint}${newPlanHint}`;
}

/** Runs the command that the first argument names. */
export async function runCommandLine(argv: readonly string[]): Promise<ExitCode> {
	const [name, ...rest] = argv;
	const command = name === undefined ? undefined : commandRegistry.get(name);
	if (!command) {
		const isHelpRequested = name === undefined || name === '--help' || name === '-h';
		const errorLine = isHelpRequested ? '' : `unknown command '${name}'\n`;
		process[isHelpRequested ? 'stdout' : 'stderr'].write(`${errorLine}${formatGeneralHelp()}\n`);
		return isHelpRequested ? ExitCode.Done : ExitCode.BadUsage;
	}
	try {
		const args = parseArguments(command, rest);
		if (args.values['help']) {
			process.stdout.write(`${formatCommandHelp(command)}\n`);
			return ExitCode.Done;
		}
		return await command.run(args);
	} catch (error) {
		const expectedErrors = [UsageError, SettingsError, RefusedError, UnreachableError];
		if (!expectedErrors.some(type => error instanceof type)) {
			throw error;
		}
		return reportError(error as Error, rest.includes('--json'));
	}
}
