/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Checks the guarantees of the system against what callers, targets and the operator observed. */

import type { CallerRecord, Observations, ExecutionRecord } from './observations.js';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
/** Statuses that guarantee that the request was not executed and will not be. */
const NOT_EXECUTED_STATUSES = [408, 421, 429, 503];
/** Minimum fraction of requests that must be served after recovery. */
const MIN_SERVED_FRACTION = 0.9;

/** A violation of a rule. The fields are written to the report. */
export interface Breach {
	readonly rule: string;
	readonly detail: string;
}

function groupExecutionsById(executions: readonly ExecutionRecord[]): Map<string, ExecutionRecord[]> {
	const byId = new Map<string, ExecutionRecord[]>();
	for (const execution of executions) {
		byId.set(execution.id, [...(byId.get(execution.id) ?? []), execution]);
	}
	return byId;
}

function checkExecution(request: CallerRecord | undefined, execution: ExecutionRecord): Breach[] {
	if (!request) {
		return [{ rule: 'UNASKED', detail: `${execution.id} ran at ${execution.target}, but no caller sent it` }];
	}
	if (request.method !== execution.method || request.path !== execution.path) {
		return [
			{
				rule: 'UNASKED',
				detail: `${execution.id} ran as ${execution.method} ${execution.path}, sent as ${request.path}`
			}
		];
	}
	return [];
}

function checkRequest(
	request: CallerRecord,
	executions: readonly ExecutionRecord[],
	targetIds: ReadonlySet<string>
): Breach[] {
	const { id, method, status } = request;
	const breaches: Breach[] = [];
	if (method === 'POST' && executions.length > 1) {
		breaches.push({ rule: 'TWICE', detail: `${id} ran ${executions.length} times` });
	}
	if (method === 'POST' && status !== undefined && NOT_EXECUTED_STATUSES.includes(status) && executions.length > 0) {
		breaches.push({ rule: 'REFUSED', detail: `${id} got status ${status}, but ran at ${executions[0]!.target}` });
	}
	if (status === STATUS_NOT_FOUND) {
		breaches.push({ rule: 'DENIED', detail: `${id} got status 404 from ${request.entry}` });
	}
	if (status === STATUS_OK && request.isComplete) {
		const isExpectedResponse = request.body?.startsWith(`${id}:`) === true && targetIds.has(request.serverStamp ?? '');
		if (!isExpectedResponse) {
			breaches.push({
				rule: 'MIXED',
				detail: `${id} got a response of ${request.serverStamp}: ${request.body?.slice(0, 40)}`
			});
		}
	}
	return breaches;
}

function checkPublishedVersions(observations: Observations): Breach[] {
	const accepted = observations.published.filter(publication => publication.status === STATUS_OK);
	const versionsByBase = new Map<number, Set<number>>();
	accepted.forEach(({ base, version }) =>
		versionsByBase.set(base, (versionsByBase.get(base) ?? new Set()).add(version))
	);
	const breaches = [...versionsByBase]
		.filter(([, versions]) => versions.size > 1)
		.map(([base, versions]) => ({
			rule: 'CONFIG',
			detail: `several versions based on ${base} were accepted: ${[...versions].join(', ')}`
		}));
	const newest = Math.max(0, ...accepted.map(publication => publication.version));
	if (observations.finalVersion === undefined || observations.finalVersion < newest) {
		breaches.push({
			rule: 'CONFIG',
			detail: `final version is ${observations.finalVersion}, but ${newest} was acknowledged`
		});
	}
	return breaches;
}

/**
 * Returns all violations.
 * @param recoveryDeadline time from which requests must be served again, in milliseconds of `performance.now()`
 */
export function checkRules(
	observations: Observations,
	executions: readonly ExecutionRecord[],
	targetIds: ReadonlySet<string>,
	recoveryDeadline: number
): Breach[] {
	const executionsById = groupExecutionsById(executions);
	const requestsById = new Map(observations.requests.map(request => [request.id, request]));
	const breaches = executions.flatMap(execution => checkExecution(requestsById.get(execution.id), execution));
	observations.requests.forEach(request =>
		breaches.push(...checkRequest(request, executionsById.get(request.id) ?? [], targetIds))
	);
	breaches.push(...checkPublishedVersions(observations));
	const requestsAfterRecovery = observations.requests.filter(request => request.sentAt >= recoveryDeadline);
	const served = requestsAfterRecovery.filter(request => request.status === STATUS_OK && request.isComplete).length;
	if (requestsAfterRecovery.length === 0 || served < MIN_SERVED_FRACTION * requestsAfterRecovery.length) {
		breaches.push({
			rule: 'RECOVER',
			detail: `${served} of ${requestsAfterRecovery.length} were served after the faults`
		});
	}
	return breaches;
}
