/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Reads the log lines of processes and tells how one request went. */

interface LoggedPassedTarget {
	readonly target: string;
	readonly restLeftMs?: number;
	readonly limitPerSecond?: number;
}

interface LoggedAttempt {
	readonly target: string;
	readonly region: string;
	readonly atMs: number;
	readonly load: number;
	readonly slots: number;
	readonly isCold: boolean;
	readonly passedOver?: LoggedPassedTarget;
	readonly outcome: string;
	readonly tookMs: number;
}

interface LoggedLine {
	readonly time?: string;
	readonly instance?: string;
	readonly message?: string;
	readonly requestId?: string;
	readonly route?: string;
	readonly service?: string;
	readonly end?: string;
	readonly status?: number;
	readonly reason?: string;
	readonly heldMs?: number;
	readonly remainingMs?: number;
	readonly viewAgeMs?: number;
	readonly tableVersion?: number;
	readonly object?: string;
	readonly attempts?: readonly LoggedAttempt[];
}

function parseLine(line: string): LoggedLine | undefined {
	const start = line.indexOf('{');
	if (start < 0) {
		return undefined;
	}
	try {
		return JSON.parse(line.slice(start)) as LoggedLine;
	} catch {
		return undefined;
	}
}

function describePassed({ target, restLeftMs, limitPerSecond }: LoggedPassedTarget): string {
	return limitPerSecond === undefined
		? `${target} wanted ${restLeftMs} ms more of rest`
		: `${target} was at its limit of ${limitPerSecond} requests a second`;
}

function describeAttempt(attempt: LoggedAttempt, number: number): string {
	const cold = attempt.isCold ? ', cold' : '';
	const passed = attempt.passedOver ? `; its object's target ${describePassed(attempt.passedOver)}` : '';
	return (
		`  attempt ${number} after ${attempt.atMs} ms: target ${attempt.target} in ${attempt.region}, ` +
		`${attempt.load} requests at ${attempt.slots} slots${cold}; ${attempt.outcome} after ${attempt.tookMs} ms${passed}`
	);
}

function describe(line: LoggedLine): string[] {
	const what = [line.status, line.reason].filter(part => part !== undefined).join(' ');
	return [
		`${line.time ?? '?'} ${line.instance ?? '?'}: ${line.end ?? '?'} ${what}`.trimEnd(),
		`  route ${line.route}, service ${line.service}, object ${line.object ?? 'none'}, table ${line.tableVersion}`,
		`  held ${line.heldMs} ms of ${line.remainingMs} ms; the fleet was known as of ${line.viewAgeMs} ms before`,
		...(line.attempts ?? []).map((attempt, i) => describeAttempt(attempt, i + 1)),
		...((line.attempts ?? []).length === 0 ? ['  no target was asked'] : [])
	];
}

/**
 * What the lines say of a request; empty where they say nothing.
 * @param lines log lines, with or without something before their JSON
 */
export function explainRequest(lines: Iterable<string>, requestId: string): string[] {
	const told: string[] = [];
	for (const text of lines) {
		const line = text.includes(requestId) ? parseLine(text) : undefined;
		if (line?.requestId === requestId && line.message === 'request') {
			told.push(...describe(line));
		}
	}
	return told;
}
