/** The record of a script, and its exit code. */

import { writeFileSync } from 'node:fs';

/** Exit code of a script that could not run. */
export const COULD_NOT_RUN = 2;

/** Whether the disruption is to be left out. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Lines with the seconds since the start. */
export class Record {
	constructor(file) {
		this._file = file;
		this._lines = [];
		this._startedAt = performance.now();
	}

	add(text) {
		const seconds = ((performance.now() - this._startedAt) / 1000).toFixed(3);
		this._lines.push(`${seconds.padStart(8)}  ${text}`);
		process.stdout.write(`${this._lines.at(-1)}\n`);
		writeFileSync(this._file, `${this._lines.join('\n')}\n`);
	}
}

/** Runs a case, which returns whether the rule was broken; ends the process with 1 if so, 0 if not, 2 if it could not run. */
export async function runCase(folderUrl, run, stop) {
	const record = new Record(new URL('record.txt', folderUrl));
	let code = COULD_NOT_RUN;
	const giveUp = reason => {
		record.add(`could not run: ${reason}`);
		void stop().finally(() => process.exit(COULD_NOT_RUN));
	};
	process.on('uncaughtException', error => giveUp(error.stack));
	process.on('unhandledRejection', error => giveUp(error?.stack ?? error));
	['SIGTERM', 'SIGINT', 'SIGHUP'].forEach(signal => process.on(signal, () => giveUp(signal)));
	const timer = setTimeout(() => giveUp('the time of the script is over'), 112000);
	try {
		code = (await run(record)) ? 1 : 0;
	} catch (error) {
		record.add(`could not run: ${error.stack}`);
	}
	clearTimeout(timer);
	await stop();
	record.add(['held', 'BROKEN', 'could not run'][code]);
	process.exit(code);
}
