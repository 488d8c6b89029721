/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Output of the command line: text and tables, or JSON with `--json`. */

import Table from 'cli-table3';
import type { Plan } from '../../configuration/common/intents.js';
import type { StatusResponse } from '../../operators/common/operatorApi.js';
import type { CommandArguments } from '../common/command.js';

/** Prints the value as JSON with `--json`, otherwise the text. */
export function printResult(args: CommandArguments, value: unknown, toText: () => string): void {
	process.stdout.write(`${args.values['json'] ? JSON.stringify(value, undefined, 2) : toText()}\n`);
}

/** Formats rows as a text table with the given column headings. */
export function formatTable(head: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
	const result = new Table({ head: [...head], style: { head: [], border: [] } });
	result.push(...rows.map(row => row.map(String)));
	return result.toString();
}

/** Describes a plan: its stages, the headroom after it, the groups that yield capacity, and warnings. */
export function describePlan(plan: Plan): string {
	const stages = plan.stages.map((stage, i) => [i + 1, stage.move, stage.pace, `${stage.at / 1000} s`]);
	const sections = [
		`Plan ${plan.planId} for ${JSON.stringify(plan.intent)}, from revision ${plan.baseRevision}`,
		formatTable(['stage', 'what moves', 'pace', 'not before'], stages)
	];
	if (plan.headroomAfter.length > 0) {
		const rows = plan.headroomAfter.map(entry => [
			entry.region,
			entry.service,
			entry.slots,
			entry.usedNow,
			entry.usedAfter,
			Math.round((entry.slots - entry.usedAfter) * 100) / 100
		]);
		sections.push(formatTable(['region', 'service', 'slots', 'used now', 'used after', 'headroom after'], rows));
	}
	const yields = plan.yields.map(
		item => `  ${item.group} yields up to ${item.slots} slots of ${item.service} in ${item.region}`
	);
	sections.push(
		yields.length > 0
			? `Groups that yield capacity if a region runs short:\n${yields.join('\n')}`
			: 'No group has to yield capacity.'
	);
	sections.push(...plan.warnings.map(warning => `Warning: ${warning}`));
	sections.push(`Nothing has changed yet. To put the plan into force: shelffield confirm ${plan.planId}`);
	return sections.join('\n');
}

/** Describes the status of the system: control instances, entry instances, groups and plans. */
export function describeStatus(status: StatusResponse): string {
	const entries = status.entries.map(entry => [
		entry.instance,
		entry.hall,
		entry.region,
		entry.revisionInForce,
		entry.silent ? 'silent' : entry.leaving ? 'leaving' : entry.provisional ? 'provisional' : 'live'
	]);
	const groups = status.groups.map(group => [
		group.name,
		group.share,
		`${group.capPermille / 10} % in ${group.capWindowMs} ms`
	]);
	const plans = status.plans.map(plan => [
		plan.planId,
		JSON.stringify(plan.intent),
		plan.status,
		`${plan.stagesBegun} of ${plan.stages}`,
		plan.holdReason ?? ''
	]);
	const members = status.members.map(member => `${member.id} (${member.role})`).join(', ');
	const drained = status.leaving.map(item => `${item.scope} ${item.name}`).join(', ');
	return [
		`Revision ${status.revision}; leader ${status.leader}, term ${status.term}; control: ${members}`,
		formatTable(['instance', 'hall', 'region', 'revision in force', 'state'], entries),
		formatTable(['group', 'share', 'cap'], groups),
		plans.length > 0
			? formatTable(['plan', 'intent', 'status', 'stages begun', 'hold reason'], plans)
			: 'No plans have been confirmed.',
		drained === '' ? 'Nothing is drained.' : `Drained: ${drained}`
	].join('\n');
}
