/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Chooses the target of a request by rendezvous hashing with bounded loads: in each region, an object goes to the first target
 * of its rank order that is below its utilization limit. Only the first few targets are considered, since targets answer
 * requests for recently used objects several times faster, and an object that is spread over all targets is cached by none.
 */

import type { Millis } from '../../../base/clock.js';
import type { AnswerEstimate, AnswerTimes, TimedCandidate } from './answerTimes.js';
import { hash32 } from '../../../base/hashing.js';
import type { KnownTarget } from '../../fleet/common/fleetView.js';
import { regionAtPosition, orderRegions, type RegionShares } from './regionShares.js';
import type { SkippedTarget } from '../../forwarding/common/requestTrace.js';
import type { TargetState } from './targets/targetState.js';

/** A target that may get the request. */
export interface Candidate {
	readonly known: KnownTarget;
	readonly state: TargetState;
}

/** The candidate that was chosen. */
export interface ChosenTarget extends Candidate {
	/** When it would answer; undefined where the service's targets do not report how long work takes there. */
	readonly estimate?: AnswerEstimate;
	/** Region that the shares assign to the request; undefined if there are no shares. */
	readonly firstRegion: string | undefined;
	/** Whether another region was chosen although `firstRegion` is reachable. */
	readonly isSpill: boolean;
	/** The primary target of the object, if it was skipped because it backs off or is rate limited. */
	readonly passedOver?: SkippedTarget;
}

/** The request and the state that the choice depends on. */
export interface ChoiceContext {
	/** Key of the object that the request is about; undefined for none. */
	readonly objectKey: string | undefined;
	/** How this region's requests are divided among regions. */
	readonly shares: RegionShares;
	/** Hall whose targets are preferred to others of its region; undefined for none. */
	readonly preferredHall?: string;
	readonly now: Millis;
	/** Position of the object, or of a request without one, among the shares of the regions, in [0, 1). */
	readonly position: number;
	/** Regions with targets for the request, tried or not, that are not known to be unreachable. */
	readonly reachableRegions: ReadonlySet<string>;
	/** Whether the request may go to another region while the one that the shares assign is reachable. */
	readonly maySpill: boolean;
	/** Factor on the utilization limits, more than 0. */
	readonly utilizationFactor: number;
	/** When targets would answer; a target that would do so after the deadline gets no request. Undefined where that is not checked. */
	readonly answerTimes?: AnswerTimes;
	/** Whether the target is chosen by when it would answer, which the service's targets have to report the work time for. */
	readonly isChosenByTime?: boolean;
	/** Returns whether a cold target may get a request now. */
	mayUseCold(candidate: Candidate): boolean;
}

/**
 * Utilization limits, in requests per slot, of the first and second target of an object. Waiting for the first takes less time
 * than a cache miss, so the second one is used only while it has free slots.
 */
const UTILIZATION_LIMITS: readonly number[] = [2.2, 0.7];
/** The same in regions that are not the first in the request's order. */
const SPILL_UTILIZATION_LIMITS: readonly number[] = [0.7];
/** Utilization limit for a request without an object, which goes to the least utilized target. */
const KEYLESS_UTILIZATION_LIMITS: readonly number[] = [1.8];
/** Utilization limit of unhealthy targets, which are used only if there are no healthy ones. */
const UNHEALTHY_UTILIZATION_LIMIT = 1;
const MAX_TARGET_HASHES = 8192;
const HASH_RANGE = 2 ** 32;
/** Number of targets considered for an object: its first ones, and those that replace targets that do not retain it. */
const MAX_RANKED_TARGETS = 4;
/** Makes the position of an object among regions independent of its rank order of targets. */
const POSITION_SEED = 1;
/** Makes the set of objects that a target retains independent of its rank for them. */
const RETAIN_SEED = 0x5bd1e995;

function mix32(a: number, b: number): number {
	let value = Math.imul(a ^ b, 0x9e3779b1);
	value ^= value >>> 15;
	value = Math.imul(value, 0x85ebca6b);
	value ^= value >>> 13;
	return value >>> 0;
}

const targetHashes = new Map<string, number>();

function targetHash(id: string): number {
	let hash = targetHashes.get(id);
	if (hash === undefined) {
		if (targetHashes.size >= MAX_TARGET_HASHES) {
			targetHashes.clear();
		}
		hash = hash32(id);
		targetHashes.set(id, hash);
	}
	return hash;
}

function utilization(candidate: Candidate, now: Millis): number {
	return candidate.state.load(now) / Math.max(1, candidate.known.record.slots);
}

function isUsable(candidate: Candidate, context: ChoiceContext): boolean {
	return candidate.known.coldUntil <= context.now || context.mayUseCold(candidate);
}

/** A candidate with its sort keys: utilization ascending, then weight descending. */
interface RankedCandidate {
	readonly candidate: Candidate;
	readonly weight: number;
	/** Requests per slot; 0 if the request has an object, so that only the weight counts. */
	readonly loadPerSlot: number;
}

/**
 * Returns the first targets in the rank order of an object, or the least utilized ones if there is no object. Ties in
 * utilization are broken by a hash of the request: many targets have the same assumed load, and with a fixed order all
 * instances would select the same few.
 */
function rankTargets(
	candidates: readonly Candidate[],
	keyHash: number | undefined,
	count: number,
	{ now, position }: ChoiceContext
): Candidate[] {
	const rankHash = keyHash ?? Math.floor(position * HASH_RANGE);
	const best: RankedCandidate[] = [];
	for (const candidate of candidates) {
		const weight = mix32(rankHash, targetHash(candidate.known.record.id));
		const loadPerSlot = keyHash === undefined ? utilization(candidate, now) : 0;
		insertRanked(best, { candidate, weight, loadPerSlot }, count);
	}
	return best.map(entry => entry.candidate);
}

/** Inserts a candidate into the sorted list of the best ones, which holds at most `count`. */
function insertRanked(best: RankedCandidate[], added: RankedCandidate, count: number): void {
	let position = best.length;
	while (position > 0 && ranksBefore(added, best[position - 1]!)) {
		position--;
	}
	if (position < count) {
		best.splice(position, 0, added);
		best.length = Math.min(best.length, count);
	}
}

function ranksBefore(a: RankedCandidate, b: RankedCandidate): boolean {
	return a.loadPerSlot < b.loadPerSlot || (a.loadPerSlot === b.loadPerSlot && a.weight > b.weight);
}

/** Returns whether a target retains an object, given the fraction of its objects that it can serve. */
function keepsObject({ known }: Candidate, keyHash: number): boolean {
	return known.keptPart >= 1 || mix32(keyHash, targetHash(known.record.id) ^ RETAIN_SEED) / HASH_RANGE < known.keptPart;
}

/**
 * Moves targets that do not retain the object behind the others. All instances get the same retained fractions and therefore
 * agree on the order.
 */
function orderByRetention(targets: readonly Candidate[], keyHash: number | undefined): Candidate[] {
	if (keyHash === undefined) {
		return [...targets];
	}
	const kept = targets.filter(target => keepsObject(target, keyHash));
	return kept.length === 0 ? [...targets] : [...kept, ...targets.filter(target => !kept.includes(target))];
}

function groupByRegion(candidates: readonly Candidate[]): Map<string, Candidate[]> {
	const groups = new Map<string, Candidate[]>();
	for (const candidate of candidates) {
		const group = groups.get(candidate.known.region);
		if (group) {
			group.push(candidate);
		} else {
			groups.set(candidate.known.region, [candidate]);
		}
	}
	return groups;
}

/** Returns the candidates of the preferred hall as a first group, followed by all candidates. */
function splitByHall(candidates: readonly Candidate[], hall: string | undefined): readonly (readonly Candidate[])[] {
	const near = hall === undefined ? [] : candidates.filter(candidate => candidate.known.record.hall === hall);
	return near.length > 0 && near.length < candidates.length ? [near, candidates] : [candidates];
}

function firstBelowLimit(
	candidates: readonly Candidate[],
	keyHash: number | undefined,
	limits: readonly number[],
	context: ChoiceContext
): Candidate | TimedCandidate | undefined {
	const { now, utilizationFactor, answerTimes } = context;
	// Cold targets without a token are excluded before ranking, so that their objects go to the next target of the region.
	const usable = candidates.filter(candidate => isUsable(candidate, context));
	const targets = rankTargets(usable, keyHash, MAX_RANKED_TARGETS, context);
	const ordered = orderByRetention(targets, keyHash);
	const bySpeed = context.isChosenByTime ? answerTimes!.orderByLastingSpeed(ordered) : ordered;
	const first = keyHash === undefined ? undefined : bySpeed[0];
	const isEligible = (candidate: Candidate, rank: number): boolean =>
		utilization(candidate, now) < (limits[rank] ?? 0) * utilizationFactor &&
		!answerTimes?.isInVain(candidate, candidate === first);
	if (!answerTimes || !context.isChosenByTime) {
		return ordered.find(isEligible);
	}
	const eligible = bySpeed.filter((candidate, rank) => isEligible(candidate, first ? rank : 0));
	return answerTimes.select(eligible, first);
}

function leastUtilized(candidates: readonly Candidate[], context: ChoiceContext): Candidate | undefined {
	let best: Candidate | undefined;
	for (const candidate of candidates) {
		const isBelowLimit =
			utilization(candidate, context.now) < UNHEALTHY_UTILIZATION_LIMIT * context.utilizationFactor &&
			isUsable(candidate, context);
		if (isBelowLimit && (!best || utilization(candidate, context.now) < utilization(best, context.now))) {
			best = candidate;
		}
	}
	return best;
}

/**
 * Returns the primary target of an object: the first in its rank order, regardless of utilization and retained objects.
 * Requested work is counted for this target.
 */
export function primaryTargetOf(
	candidates: readonly Candidate[],
	objectKey: string,
	context: ChoiceContext
): Candidate | undefined {
	const region = regionAtPosition(context.shares, context.position);
	const near = candidates.filter(candidate => candidate.known.region === region && isHealthy(candidate, context.now));
	const [preferred] = splitByHall(near, context.preferredHall);
	const usable = (preferred ?? []).filter(({ known }) => known.coldUntil <= context.now);
	return rankTargets(usable, hash32(objectKey), 1, context)[0];
}

/**
 * Returns a position among the shares of the regions, in [0, 1).
 * @param key key of the object, or id of a request without one
 */
export function regionPosition(key: string): number {
	return mix32(hash32(key), POSITION_SEED) / HASH_RANGE;
}

/**
 * Returns the regions for a request in order of preference; only its first one while it may not spill. Otherwise a surge would
 * move many requests at once to targets that have not cached their objects.
 */
function eligibleRegions(
	context: ChoiceContext,
	firstRegion: string | undefined,
	present: readonly string[]
): string[] {
	const isConfined = firstRegion !== undefined && context.reachableRegions.has(firstRegion) && !context.maySpill;
	const order = orderRegions(context.shares, firstRegion, present);
	return isConfined ? order.filter(region => region === firstRegion) : order;
}

function chooseHealthy(
	groups: ReadonlyMap<string, readonly Candidate[]>,
	regions: readonly string[],
	keyHash: number | undefined,
	context: ChoiceContext
): Candidate | TimedCandidate | undefined {
	const hasObject = keyHash !== undefined;
	let limits = hasObject ? UTILIZATION_LIMITS : KEYLESS_UTILIZATION_LIMITS;
	for (const region of regions) {
		for (const group of splitByHall(groups.get(region)!, context.preferredHall)) {
			const candidate = firstBelowLimit(group, keyHash, limits, context);
			if (candidate) {
				return candidate;
			}
		}
		limits = hasObject ? SPILL_UTILIZATION_LIMITS : KEYLESS_UTILIZATION_LIMITS;
	}
	return undefined;
}

/**
 * Returns the target for a request; undefined if there is none below its utilization limit. Unhealthy targets are used only if
 * the regions for the request have no healthy ones.
 */
export function chooseTarget(candidates: readonly Candidate[], context: ChoiceContext): ChosenTarget | undefined {
	const { objectKey, now } = context;
	const keyHash = objectKey === undefined ? undefined : hash32(objectKey);
	const firstRegion = regionAtPosition(context.shares, context.position);
	const groups = groupByRegion(candidates.filter(candidate => isHealthy(candidate, now)));
	const present = [...new Set(candidates.map(({ known }) => known.region))];
	const regions = eligibleRegions(context, firstRegion, present);
	const healthyRegions = regions.filter(region => groups.has(region));
	const chosen =
		healthyRegions.length > 0
			? chooseHealthy(groups, healthyRegions, keyHash, context)
			: leastUtilized(
					candidates.filter(({ known }) => regions.includes(known.region)),
					context
				);
	if (!chosen) {
		return undefined;
	}
	const isSpill =
		firstRegion !== undefined && chosen.known.region !== firstRegion && context.reachableRegions.has(firstRegion);
	return { ...chosen, firstRegion, isSpill };
}

function isHealthy({ known, state }: Candidate, now: Millis): boolean {
	return !known.isSilent && state.health.admits(state.inFlight, now);
}
