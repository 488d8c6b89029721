/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Logging: JSON lines on standard output, written by `winston`. */

import winston from 'winston';
import { BoundedOutput } from './boundedOutput.js';
import { createServiceIdentifier } from '../common/serviceIdentifier.js';

/** Structured fields of a log line. */
export interface LogFields {
	readonly task?: string;
	readonly revision?: number;
	readonly requestId?: string;
	readonly [field: string]: unknown;
}

/** Writes log lines; tokens and bodies must not be logged. */
export interface ILogService {
	debug(message: string, fields?: LogFields): void;
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
}

/** Identifier of the log service. */
export const ILogService = createServiceIdentifier<ILogService>('logService');

/** Creates the log of a process; the fields of `context` are added to every line. */
export function createLog(level: string, context: LogFields): ILogService {
	return winston.createLogger({
		level,
		defaultMeta: context,
		format: winston.format.combine(
			winston.format(info => Object.assign(info, { time: new Date().toISOString() }))(),
			winston.format.json()
		),
		transports: [new winston.transports.Stream({ stream: new BoundedOutput(process.stdout) })]
	});
}
