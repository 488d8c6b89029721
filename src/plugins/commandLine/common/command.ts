/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Command interface, exit codes and registry of the command line. */

import type { ParseArgsConfig } from 'node:util';

/** Exit codes of the command line. */
export enum ExitCode {
	Done = 0,
	/** The system refused the request; nothing was changed. */
	Refused = 1,
	/** Invalid arguments or settings. */
	BadUsage = 2,
	/** No control instance gave a conclusive response; the request may have taken effect. */
	Unreachable = 3,
	/** The plan was confirmed, but did not come into force at every instance in time. */
	NotInForce = 4
}

/** Options of a command, as `util.parseArgs` takes them. */
export type CommandOptions = NonNullable<ParseArgsConfig['options']>;

/** Parsed command-line arguments. */
export interface CommandArguments {
	readonly values: Readonly<Record<string, string | boolean | undefined>>;
	readonly positionals: readonly string[];
}

/** A command of the command line. */
export interface ICommand {
	readonly name: string;
	/** Description in the list of commands; one line. */
	readonly summary: string;
	/** Arguments after the name, with placeholders in capitals. */
	readonly usage: string;
	/** Example of a valid command line. */
	readonly example: string;
	readonly options: CommandOptions;
	/** Runs the command. */
	run(args: CommandArguments): Promise<ExitCode>;
}

/** Invalid arguments; the message names the argument and the allowed values. */
export class UsageError extends Error {}

class CommandRegistry {
	private readonly _commands = new Map<string, ICommand>();

	register(command: ICommand): void {
		this._commands.set(command.name, command);
	}

	/** All commands in order of registration. */
	get all(): ICommand[] {
		return [...this._commands.values()];
	}

	get(name: string): ICommand | undefined {
		return this._commands.get(name);
	}
}

/** Commands of this program. */
export const commandRegistry = new CommandRegistry();

/** Options of all commands that call a control instance. */
export const CONNECTION_OPTIONS: CommandOptions = {
	settings: { type: 'string' },
	json: { type: 'boolean' },
	help: { type: 'boolean', short: 'h' }
};

/** Options of commands that send requests which are identified by a number. */
export const REQUEST_OPTIONS: CommandOptions = { ...CONNECTION_OPTIONS, number: { type: 'string' } };
