/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Child processes of a local system. */

import { type ChildProcess, fork } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const START_TIMEOUT_MS = 15000;
const MAX_OUTPUT_CHARS = 2000;

/** Output folder of the compiler, with a trailing slash. */
export const OUT_FOLDER = fileURLToPath(new URL('../../', import.meta.url));

/** A line of standard output, parsed as JSON. */
export type OutputLine = Record<string, unknown>;

/** A child process that logs JSON lines to standard output. */
export class LocalProcess {
	private readonly _child: ChildProcess;
	private readonly _waiters: { matches: (line: OutputLine) => boolean; resolve: (line: OutputLine) => void }[] = [];
	private readonly _exited: Promise<number | null>;
	private _hasExited = false;
	/** End of its output, for the error message on an unexpected exit. */
	private _recentOutput = '';

	/**
	 * @param script path relative to the output folder of the compiler
	 * @param logFile file that standard output and standard error are appended to
	 */
	constructor(
		readonly name: string,
		script: string,
		args: readonly string[],
		logFile: string
	) {
		const log = createWriteStream(logFile, { flags: 'a' });
		this._child = fork(OUT_FOLDER + script, [...args], { silent: true });
		this._child.stderr!.on('data', (data: Buffer) => {
			log.write(data);
			this._appendOutput(data.toString('utf8'));
		});
		createInterface({ input: this._child.stdout! }).on('line', text => {
			log.write(`${text}\n`);
			this._onLine(text);
		});
		this._exited = new Promise(resolve => {
			this._child.once('exit', code => {
				this._hasExited = true;
				log.end();
				resolve(code);
			});
		});
	}

	get pid(): number {
		return this._child.pid!;
	}

	get hasExited(): boolean {
		return this._hasExited;
	}

	/** Resolves with the exit code, or null if a signal ended the process. */
	get exited(): Promise<number | null> {
		return this._exited;
	}

	/** Waits for a matching line on standard output; rejects if the process exits first or on timeout. */
	async waitForLine(matches: (line: OutputLine) => boolean): Promise<OutputLine> {
		let timer: NodeJS.Timeout | undefined;
		const printed = new Promise<OutputLine>(resolve => this._waiters.push({ matches, resolve }));
		const exitedEarly = this._exited.then(code => {
			throw new Error(`${this.name} exited with code ${code} before it was ready; last output:\n${this._recentOutput}`);
		});
		const timedOut = new Promise<never>((_resolve, reject) => {
			timer = setTimeout(
				() => reject(new Error(`${this.name} was not ready within ${START_TIMEOUT_MS} ms`)),
				START_TIMEOUT_MS
			);
		});
		exitedEarly.catch(() => undefined);
		try {
			return await Promise.race([printed, exitedEarly, timedOut]);
		} finally {
			clearTimeout(timer);
		}
	}

	/** Sends a signal unless the process has exited. */
	signal(signal: NodeJS.Signals): void {
		if (!this._hasExited) {
			this._child.kill(signal);
		}
	}

	/** Sends a message over the IPC channel. */
	send(message: string): void {
		this._child.send(message);
	}

	/** Sends SIGKILL and waits for the exit. */
	async kill(): Promise<void> {
		this.signal('SIGKILL');
		await this._exited;
	}

	/** Sends SIGTERM for a graceful shutdown and returns the exit code. */
	async stop(): Promise<number | null> {
		this.signal('SIGTERM');
		return this._exited;
	}

	private _appendOutput(text: string): void {
		this._recentOutput = (this._recentOutput + text).slice(-MAX_OUTPUT_CHARS);
	}

	private _onLine(text: string): void {
		this._appendOutput(`${text}\n`);
		let line: OutputLine;
		try {
			line = JSON.parse(text) as OutputLine;
		} catch {
			return;
		}
		for (const waiter of this._waiters.filter(item => item.matches(line))) {
			this._waiters.splice(this._waiters.indexOf(waiter), 1);
			waiter.resolve(line);
		}
	}
}
