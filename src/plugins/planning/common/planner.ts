/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Drafts the stages that carry out an intent. */

import {
	BUCKET_COUNT,
	type ConfigurationTable,
	DrainScope,
	type GroupConfiguration,
	type DrainedItem,
	type PlacementRange
} from '../../configuration/common/configuration.js';
import type { Intent, PlacementMove, PlanStage } from '../../configuration/common/intents.js';
import { compressPlacement, expandPlacement } from '../../configuration/common/placementBuckets.js';
import type { MeasuredLoads } from './measuredLoads.js';

/** An intent for which no plan can be made. */
export class PlanningError extends Error {
	constructor(
		readonly code: string,
		message: string,
		readonly field?: string,
		readonly allowed?: string
	) {
		super(message);
		this.name = 'PlanningError';
	}
}

/** State of the system for which a plan is made. */
export interface PlanningInput {
	readonly configuration: ConfigurationTable;
	readonly measuredLoads: MeasuredLoads;
	/** Regions that have entry instances. */
	readonly regions: readonly string[];
	/** Maximum time for which callers may cache a look-up, in milliseconds. */
	readonly lookupTtlMs: number;
}

/** Stages of a plan, and the parts of the configuration that it depends on. */
export interface PlanDraft {
	readonly stages: readonly PlanStage[];
	readonly touches: readonly string[];
}

/** Current and desired region of each bucket, for one group and home region. */
interface PlacementTransition {
	readonly group: GroupConfiguration;
	readonly home: string;
	readonly desired: readonly string[];
	readonly current: readonly string[];
}

const ALL_GROUPS = '*';

/**
 * Drafts the stages for an intent.
 * @throws PlanningError if no plan can be made
 */
export function draftPlan(intent: Intent, input: PlanningInput): PlanDraft {
	switch (intent.kind) {
		case 'share': {
			const group = requireGroup(input, intent.group);
			return draftGroupChange({ ...group, share: intent.share }, `share of ${group.name} becomes ${intent.share}`);
		}
		case 'cap': {
			const group = requireGroup(input, intent.group);
			const changed = { ...group, capPermille: intent.permille, capWindowMs: intent.windowMs };
			return draftGroupChange(changed, `cap of ${group.name} becomes ${describeCap(changed)}`);
		}
		case 'prefer':
			return draftPrefer(requireGroup(input, intent.group), intent.region, intent.permille ?? BUCKET_COUNT, input);
		case 'drain':
			return intent.scope === DrainScope.Region
				? draftRegionDrain(intent.name, input)
				: draftDrainChange({ scope: intent.scope, name: intent.name }, true, input);
		case 'restore':
			return intent.scope === DrainScope.Region
				? draftRegionRestore(intent.name, input)
				: draftDrainChange({ scope: intent.scope, name: intent.name }, false, input);
	}
}

function requireGroup(input: PlanningInput, name: string): GroupConfiguration {
	const group = input.configuration.group(name);
	if (!group) {
		const allowed = input.configuration.groups.map(item => item.name).join(', ');
		throw new PlanningError('unknown-group', `there is no group '${name}'`, 'intent.group', allowed);
	}
	return group;
}

function requireRegion(input: PlanningInput, name: string, field: string): void {
	if (!input.regions.includes(name)) {
		const allowed = input.regions.join(', ');
		throw new PlanningError('unknown-region', `region '${name}' has no entry instances`, field, allowed);
	}
}

function describeCap(group: GroupConfiguration): string {
	return `at most ${group.capPermille / 10} % in ${group.capWindowMs} ms`;
}

function draftGroupChange(group: GroupConfiguration, move: string): PlanDraft {
	const stage: PlanStage = {
		move,
		from: '-',
		to: '-',
		group: group.name,
		share: 0,
		pace: 'at once',
		at: 0,
		moves: [],
		groupChange: group
	};
	return { stages: [stage], touches: [`group:${group.name}`] };
}

function draftDrainChange(item: DrainedItem, present: boolean, input: PlanningInput): PlanDraft {
	if (input.configuration.isDrained(item.scope, item.name) === present) {
		const state = present ? 'already drained' : 'not drained';
		throw new PlanningError('nothing-to-do', `${item.scope} '${item.name}' is ${state}`, 'intent.name');
	}
	const stage = drainChangeStage(item, present);
	return { stages: [stage], touches: [`${item.scope}:${item.name}`] };
}

function draftPrefer(group: GroupConfiguration, region: string, permille: number, input: PlanningInput): PlanDraft {
	requireRegion(input, region, 'intent.region');
	const transitions = input.regions.map(home => {
		const current = expandPlacement(input.configuration.placement(group.name, home));
		const desired = current.map((present, bucket) => (bucket < permille ? region : present));
		return { group, home, current, desired };
	});
	return buildStages(transitions, input, []);
}

function draftRegionDrain(region: string, input: PlanningInput): PlanDraft {
	requireRegion(input, region, 'intent.name');
	const others = input.regions.filter(
		name => name !== region && !input.configuration.isDrained(DrainScope.Region, name)
	);
	if (others.length === 0) {
		throw new PlanningError('no-other-region', `no other region can take the traffic of '${region}'`, 'intent.name');
	}
	const regionForBucket = spreadByFreeSlots(others, input.measuredLoads);
	const transitions = currentPlacements(input).map(placement => ({
		...placement,
		desired: placement.current.map((present, bucket) => (present === region ? regionForBucket(bucket) : present))
	}));
	const item = { scope: DrainScope.Region, name: region };
	return buildStages(transitions, input, [drainChangeStage(item, true)]);
}

function draftRegionRestore(region: string, input: PlanningInput): PlanDraft {
	requireRegion(input, region, 'intent.name');
	const transitions = currentPlacements(input).map(placement => ({
		...placement,
		desired: placement.current.map(present => (placement.home === region ? region : present))
	}));
	const item = { scope: DrainScope.Region, name: region };
	const draft = buildStages(transitions, input, []);
	return { stages: [drainChangeStage(item, false), ...draft.stages], touches: [...draft.touches, `region:${region}`] };
}

function drainChangeStage(item: DrainedItem, present: boolean): PlanStage {
	return {
		move: present ? `${item.scope} ${item.name} takes no new work` : `${item.scope} ${item.name} takes work again`,
		from: item.name,
		to: '-',
		group: ALL_GROUPS,
		share: 0,
		pace: 'at once',
		at: 0,
		moves: [],
		leaving: { items: [item], present }
	};
}

function currentPlacements(input: PlanningInput): Omit<PlacementTransition, 'desired'>[] {
	return input.configuration.groups.flatMap(group =>
		input.regions.map(home => ({
			group,
			home,
			current: expandPlacement(input.configuration.placement(group.name, home))
		}))
	);
}

/** Distributes buckets over regions in proportion to their free slots; evenly if there are none. */
function spreadByFreeSlots(regions: readonly string[], measuredLoads: MeasuredLoads): (bucket: number) => string {
	const freeSlots = regions.map(region => measuredLoads.freeSlots(region));
	const total = freeSlots.reduce((sum, count) => sum + count, 0);
	const weights = freeSlots.map(count => (total > 0 ? count / total : 1 / regions.length));
	const regionOfBucket: string[] = [];
	const credit = weights.map(() => 0);
	for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		weights.forEach((weight, i) => (credit[i]! += weight));
		const next = credit.indexOf(Math.max(...credit));
		credit[next]! -= 1;
		regionOfBucket.push(regions[next]!);
	}
	return bucket => regionOfBucket[bucket]!;
}

/** Splits the transitions into stages within the caps of all moved groups, followed by the final stages. */
function buildStages(
	transitions: readonly PlacementTransition[],
	input: PlanningInput,
	finalStages: readonly PlanStage[]
): PlanDraft {
	const movedGroups = [...new Set(transitions.filter(hasMoves).map(transition => transition.group))];
	const stagesByGroup = movedGroups.map(group =>
		buildGroupStages(
			group,
			transitions.filter(transition => transition.group === group)
		)
	);
	const count = Math.max(0, ...stagesByGroup.map(groupStages => groupStages.length));
	const interval = Math.max(0, ...movedGroups.map(group => group.capWindowMs)) + input.lookupTtlMs;
	const stages: PlanStage[] = [];
	for (let step = 0; step < count; step++) {
		const parts = stagesByGroup.flatMap(groupStages => (groupStages[step] ? [groupStages[step]!] : []));
		stages.push(mergeStage(parts, step * interval));
	}
	const timedFinalStages = finalStages.map(stage => ({ ...stage, at: count * interval }));
	if (stages.length + timedFinalStages.length === 0) {
		throw new PlanningError('nothing-to-do', 'the clients are already placed as requested', 'intent');
	}
	const touches = movedGroups.flatMap(group => [`group:${group.name}`, `placement:${group.name}`]);
	const leaving = timedFinalStages.flatMap(stage => stage.leaving!.items.map(item => `${item.scope}:${item.name}`));
	return { stages: [...stages, ...timedFinalStages], touches: [...touches, ...leaving] };
}

function hasMoves(transition: PlacementTransition): boolean {
	return transition.desired.some((region, bucket) => region !== transition.current[bucket]);
}

/** Part of a stage that concerns one group. */
interface GroupStage {
	readonly group: GroupConfiguration;
	readonly moves: readonly PlacementMove[];
	readonly from: readonly string[];
	readonly to: readonly string[];
	readonly permille: number;
}

/**
 * Splits the transitions of a group into stages. Each stage moves at most `capPermille` buckets of every home region, so
 * the cap holds for the whole group regardless of how its clients are distributed over the home regions.
 */
function buildGroupStages(group: GroupConfiguration, transitions: readonly PlacementTransition[]): GroupStage[] {
	const pending = transitions.map(transition => ({
		transition,
		buckets: transition.desired.flatMap((region, bucket) => (region === transition.current[bucket] ? [] : [bucket]))
	}));
	const stages: GroupStage[] = [];
	while (pending.some(item => item.buckets.length > 0)) {
		const batches = pending.map(item => ({
			transition: item.transition,
			buckets: item.buckets.splice(0, group.capPermille)
		}));
		const nonEmptyBatches = batches.filter(item => item.buckets.length > 0);
		stages.push({
			group,
			moves: nonEmptyBatches.map(item => toPlacementMove(item.transition, item.buckets)),
			from: nonEmptyBatches.flatMap(item => item.buckets.map(bucket => item.transition.current[bucket]!)),
			to: nonEmptyBatches.flatMap(item => item.buckets.map(bucket => item.transition.desired[bucket]!)),
			permille: Math.max(...nonEmptyBatches.map(item => item.buckets.length))
		});
	}
	return stages;
}

function toPlacementMove(transition: PlacementTransition, buckets: readonly number[]): PlacementMove {
	const unassigned = '';
	const regions = new Array<string>(BUCKET_COUNT).fill(unassigned);
	buckets.forEach(bucket => (regions[bucket] = transition.desired[bucket]!));
	const ranges: readonly PlacementRange[] = compressPlacement(transition.group.name, unassigned, regions).ranges;
	return { group: transition.group.name, home: transition.home, ranges };
}

function mergeStage(parts: readonly GroupStage[], at: number): PlanStage {
	const names = parts.map(part => part.group.name);
	const from = joinUnique(parts.flatMap(part => part.from));
	const to = joinUnique(parts.flatMap(part => part.to));
	const share = Math.max(...parts.map(part => part.permille));
	return {
		move: `${share / 10} % of ${names.join(', ')} from ${from} to ${to}`,
		from,
		to,
		group: names.join(', '),
		share,
		pace: joinUnique(parts.map(part => describeCap(part.group))),
		at,
		moves: parts.flatMap(part => part.moves)
	};
}

function joinUnique(values: readonly string[]): string {
	return [...new Set(values)].sort().join(', ');
}
