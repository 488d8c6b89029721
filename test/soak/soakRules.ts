/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The promises of the system, checked by what callers and targets saw. Pure. */

import type { CallerRecord, Observations, RunRecord } from './observations.js';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503];
/** Part of the requests that must be served once the faults are over. */
const SERVED_AT_LAST = 0.9;

/** A broken promise. */
export interface Breach {
	readonly rule: string;
	readonly detail: string;
}

function runsById(runs: readonly RunRecord[]): Map<string, RunRecord[]> {
	const byId = new Map<string, RunRecord[]>();
	for (const run of runs) {
		byId.set(run.id, [...(byId.get(run.id) ?? []), run]);
	}
	return byId;
}

function checkRun(request: CallerRecord | undefined, run: RunRecord): Breach[] {
	if (!request) {
		return [{ rule: 'UNASKED', detail: `${run.id} ran at ${run.target}, and nobody had sent it` }];
	}
	if (request.method !== run.method || request.path !== run.path) {
		return [{ rule: 'UNASKED', detail: `${run.id} ran as ${run.method} ${run.path}, sent as ${request.path}` }];
	}
	return [];
}

function checkRequest(request: CallerRecord, runs: readonly RunRecord[], targets: ReadonlySet<string>): Breach[] {
	const { id, method, status } = request;
	const breaches: Breach[] = [];
	if (method === 'POST' && runs.length > 1) {
		breaches.push({ rule: 'TWICE', detail: `${id} ran ${runs.length} times` });
	}
	if (method === 'POST' && status !== undefined && PROMISES.includes(status) && runs.length > 0) {
		breaches.push({ rule: 'REFUSED', detail: `${id} was answered ${status} and ran at ${runs[0]!.target}` });
	}
	if (status === STATUS_NOT_FOUND) {
		breaches.push({ rule: 'DENIED', detail: `${id} was answered 404 by ${request.entry}` });
	}
	if (status === STATUS_OK && request.isWhole) {
		const isOwn = request.body?.startsWith(`${id}:`) === true && targets.has(request.stamp ?? '');
		if (!isOwn) {
			breaches.push({
				rule: 'MIXED',
				detail: `${id} got an answer of ${request.stamp}: ${request.body?.slice(0, 40)}`
			});
		}
	}
	return breaches;
}

function checkTables(seen: Observations): Breach[] {
	const taken = seen.published.filter(order => order.status === STATUS_OK);
	const byBase = new Map<number, Set<number>>();
	taken.forEach(({ base, version }) => byBase.set(base, (byBase.get(base) ?? new Set()).add(version)));
	const breaches = [...byBase]
		.filter(([, versions]) => versions.size > 1)
		.map(([base, versions]) => ({ rule: 'CONFIG', detail: `on ${base} were taken ${[...versions].join(', ')}` }));
	const newest = Math.max(0, ...taken.map(order => order.version));
	if (seen.finalVersion === undefined || seen.finalVersion < newest) {
		breaches.push({ rule: 'CONFIG', detail: `read ${seen.finalVersion} at the end, ${newest} was acknowledged` });
	}
	return breaches;
}

/**
 * Every broken promise.
 * @param quietFrom when the last fault was over and the system had time to recover
 */
export function checkRules(
	seen: Observations,
	runs: readonly RunRecord[],
	targets: ReadonlySet<string>,
	quietFrom: number
): Breach[] {
	const byId = runsById(runs);
	const sent = new Map(seen.requests.map(request => [request.id, request]));
	const breaches = runs.flatMap(run => checkRun(sent.get(run.id), run));
	seen.requests.forEach(request => breaches.push(...checkRequest(request, byId.get(request.id) ?? [], targets)));
	breaches.push(...checkTables(seen));
	const last = seen.requests.filter(request => request.sentAt >= quietFrom);
	const served = last.filter(request => request.status === STATUS_OK && request.isWhole).length;
	if (last.length === 0 || served < SERVED_AT_LAST * last.length) {
		breaches.push({ rule: 'RECOVER', detail: `${served} of ${last.length} were served after the faults` });
	}
	return breaches;
}
