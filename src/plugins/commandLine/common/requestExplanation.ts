/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Describes how one request was processed, from the request log lines of the entry instances. */

interface LoggedSkippedTarget {
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
	readonly passedOver?: LoggedSkippedTarget;
	readonly outcome: string;
	readonly tookMs: number;
}

interface RequestLogEntry {
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

function parseLine(line: string): RequestLogEntry | undefined {
	const start = line.indexOf('{');
	if (start < 0) {
		return undefined;
	}
	try {
		return JSON.parse(line.slice(start)) as RequestLogEntry;
	} catch {
		return undefined;
	}
}

function describeSkippedTarget({ target, restLeftMs, limitPerSecond }: LoggedSkippedTarget): string {
	return limitPerSecond === undefined
		? `${target} was backing off for another ${restLeftMs} ms`
		: `${target} had reached its rate limit of ${limitPerSecond} requests per second`;
}

function describeAttempt(attempt: LoggedAttempt, number: number): string {
	const cold = attempt.isCold ? ', cold' : '';
	const skipped = attempt.passedOver
		? `; the object's preferred target ${describeSkippedTarget(attempt.passedOver)}`
		: '';
	return (
		`  attempt ${number} after ${attempt.atMs} ms: target ${attempt.target} in ${attempt.region}, ` +
		`estimated load ${attempt.load} requests, ${attempt.slots} slots${cold}; ${attempt.outcome} after ${attempt.tookMs} ms${skipped}`
	);
}

function describeRequest(entry: RequestLogEntry): string[] {
	const status = [entry.status, entry.reason].filter(part => part !== undefined).join(' ');
	return [
		`${entry.time ?? '?'} ${entry.instance ?? '?'}: ${entry.end ?? '?'} ${status}`.trimEnd(),
		`  route ${entry.route}, service ${entry.service}, object ${entry.object ?? 'none'}, table ${entry.tableVersion}`,
		`  took ${entry.heldMs} ms of the allowed ${entry.remainingMs} ms; the view of the fleet was ${entry.viewAgeMs} ms old`,
		...(entry.attempts ?? []).map((attempt, i) => describeAttempt(attempt, i + 1)),
		...((entry.attempts ?? []).length === 0 ? ['  no attempt was made'] : [])
	];
}

/**
 * Describes a request in text lines; returns none if no log line is about it.
 * @param lines log lines; text before the JSON object of a line is ignored
 */
export function explainRequest(lines: Iterable<string>, requestId: string): string[] {
	const explanation: string[] = [];
	for (const line of lines) {
		const entry = line.includes(requestId) ? parseLine(line) : undefined;
		if (entry?.requestId === requestId && entry.message === 'request') {
			explanation.push(...describeRequest(entry));
		}
	}
	return explanation;
}
