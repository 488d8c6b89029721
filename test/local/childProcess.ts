/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Processes of a local system: started, waited for by what they print, ended by their own id. */

import { type ChildProcess, fork } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const START_TIMEOUT_MS = 15000;
const KEPT_OUTPUT = 2000;

/** Folder of the compiled project. */
export const OUT_FOLDER = fileURLToPath(new URL('../../', import.meta.url));

/** A line that a process printed, parsed. */
export type PrintedLine = Record<string, unknown>;

/** One process. */
export class LocalProcess {
	private readonly _child: ChildProcess;
	private readonly _waiters: { accepts: (line: PrintedLine) => boolean; resolve: (line: PrintedLine) => void }[] = [];
	private readonly _exited: Promise<number | null>;
	private _hasExited = false;
	/** The last it wrote, to explain an end that was not expected. */
	private _lastOutput = '';

	/**
	 * @param script path below the compiled project
	 * @param logFile where its output goes
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
			this._keepLast(data.toString('utf8'));
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

	/** Id of the process. */
	get pid(): number {
		return this._child.pid!;
	}

	/** Whether it has ended. */
	get hasExited(): boolean {
		return this._hasExited;
	}

	/** Resolves with its exit code. */
	get exited(): Promise<number | null> {
		return this._exited;
	}

	/** Waits for a line that it prints; rejects when it ends before. */
	async waitForLine(accepts: (line: PrintedLine) => boolean): Promise<PrintedLine> {
		let timer: NodeJS.Timeout | undefined;
		const printed = new Promise<PrintedLine>(resolve => this._waiters.push({ accepts, resolve }));
		const ended = this._exited.then(code => {
			throw new Error(`${this.name} ended with ${code} before it was ready; it wrote last:\n${this._lastOutput}`);
		});
		const late = new Promise<never>((_resolve, reject) => {
			timer = setTimeout(() => reject(new Error(`${this.name} was not ready in time`)), START_TIMEOUT_MS);
		});
		ended.catch(() => undefined);
		try {
			return await Promise.race([printed, ended, late]);
		} finally {
			clearTimeout(timer);
		}
	}

	/** Sends a signal, if it still runs. */
	signal(signal: NodeJS.Signals): void {
		if (!this._hasExited) {
			this._child.kill(signal);
		}
	}

	/** Sends it a message. */
	send(message: string): void {
		this._child.send(message);
	}

	/** Ends it without ceremony and waits. */
	async kill(): Promise<void> {
		this.signal('SIGKILL');
		await this._exited;
	}

	/** Asks it to stop as planned and returns its exit code. */
	async stop(): Promise<number | null> {
		this.signal('SIGTERM');
		return this._exited;
	}

	private _keepLast(text: string): void {
		this._lastOutput = (this._lastOutput + text).slice(-KEPT_OUTPUT);
	}

	private _onLine(text: string): void {
		this._keepLast(`${text}\n`);
		let line: PrintedLine;
		try {
			line = JSON.parse(text) as PrintedLine;
		} catch {
			return;
		}
		for (const waiter of this._waiters.filter(item => item.accepts(line))) {
			this._waiters.splice(this._waiters.indexOf(waiter), 1);
			waiter.resolve(line);
		}
	}
}
