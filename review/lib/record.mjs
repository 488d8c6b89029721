/** What a run sent, got and saw, with times in milliseconds since its start; written to `record.txt`. */

import { writeFileSync } from 'node:fs';

const MAX_LINES = 4000;

export class Record {
	constructor(file) {
		this._file = file;
		this._lines = [];
		this._dropped = 0;
		this._startedAt = performance.now();
	}

	/** Milliseconds since the start of the run. */
	now() {
		return performance.now() - this._startedAt;
	}

	/** Adds a line and shows it. */
	say(text) {
		this.note(text);
		process.stdout.write(`${text}\n`);
	}

	/** Adds a line. */
	note(text) {
		if (this._lines.length >= MAX_LINES) {
			this._dropped++;
			return;
		}
		this._lines.push(`${this.now().toFixed(0).padStart(7)} ${text}`);
	}

	save() {
		const tail = this._dropped > 0 ? [`${this._dropped} further lines left out`] : [];
		writeFileSync(this._file, `${[...this._lines, ...tail].join('\n')}\n`);
	}
}
