/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Chooses the target of a request. An object stays with few targets, since one that has seen it lately is several times
 * faster: in each region it has an order of targets (rendezvous hashing) and goes to the first of them that is not too
 * full (bounded load), never beyond the first few, for an object spread over all of them is seen lately by none.
 */

import type { Millis } from '../../../../base/clock.js';
import { hash32 } from '../../../../base/hashing.js';
import type { KnownTarget } from '../../../fleet/common/fleetView.js';
import { regionAt, regionOrder, type RegionShares } from './regionShares.js';
import type { PassedTarget } from '../requestTrace.js';
import type { TargetState } from '../targets/targetState.js';

/** A target that may get the request. */
export interface Candidate {
	readonly known: KnownTarget;
	readonly state: TargetState;
}

/** The candidate that was chosen. */
export interface ChosenTarget extends Candidate {
	/** Region that the shares gave the request; undefined where there were none. */
	readonly firstRegion: string | undefined;
	/** Whether another region was chosen though that one stands. */
	readonly isSpill: boolean;
	/** The target that its object belongs to, where that one could not be used. */
	readonly passedOver?: PassedTarget;
}

/** What the choice depends on. */
export interface ChoiceContext {
	/** Object that the request is about; undefined for none. */
	readonly objectKey: string | undefined;
	/** How this region's requests are divided among regions. */
	readonly shares: RegionShares;
	/** Hall whose targets go before the others of its region; undefined for none. */
	readonly preferredHall?: string;
	readonly now: Millis;
	/** Place of the object, or of a request without one, among the regions, in [0, 1). */
	readonly position: number;
	/** Regions that have targets for the request, tried or not, which are not known to be gone. */
	readonly standing: ReadonlySet<string>;
	/** Whether the request may leave the region that the shares gave it while that one stands. */
	readonly maySpill: boolean;
	/** Whether a cold target may be given a request now. */
	mayUseCold(candidate: Candidate): boolean;
}

/**
 * Loads up to which the first and second target of an object are used, as parts of their slots. Waiting for the first is
 * shorter than the work of a target that has not seen the object, so the second one is used only while it has free slots.
 */
const FILL_LIMITS: readonly number[] = [2.2, 0.7];
/** The same in a region that is not the object's first. */
const SPILL_LIMITS: readonly number[] = [0.7];
/** A request without an object goes to the target with least load, up to this part of its slots. */
const UNBOUND_LIMITS: readonly number[] = [1.8];
/** Targets that failed are tried, where there is no other, up to this part of their slots. */
const DOUBTED_LIMIT = 1;
const MAX_TARGET_HASHES = 8192;
const HASH_RANGE = 2 ** 32;
/** Targets of an object that are looked at: its first, and those that take it where targets before them give it away. */
const RANKED_TARGETS = 4;
/** Keeps an object's place among regions apart from its order of targets. */
const POSITION_SEED = 1;
/** Keeps the objects that a target gives away apart from its place in their order. */
const KEPT_SEED = 0x5bd1e995;

function mix(a: number, b: number): number {
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

function fill(candidate: Candidate, now: Millis): number {
	return candidate.state.load(now) / Math.max(1, candidate.known.record.slots);
}

function isUsable(candidate: Candidate, context: ChoiceContext): boolean {
	return candidate.known.coldUntil <= context.now || context.mayUseCold(candidate);
}

interface RankedCandidate {
	readonly candidate: Candidate;
	readonly weight: number;
	/** Part of its slots that is taken; 0 for all candidates of an object, which go by their weight alone. */
	readonly taken: number;
}

/**
 * The first targets of an object among the candidates of one region; those with least load where there is no object. Most
 * targets of a large fleet seem empty to an instance that has not met them of late, so equal loads are told apart by the
 * request: by the order of registration all instances would send them to the same few.
 */
function firstTargets(
	candidates: readonly Candidate[],
	keyHash: number | undefined,
	count: number,
	{ now, position }: ChoiceContext
): Candidate[] {
	const rankHash = keyHash ?? Math.floor(position * HASH_RANGE);
	const best: RankedCandidate[] = [];
	for (const candidate of candidates) {
		const weight = mix(rankHash, targetHash(candidate.known.record.id));
		const taken = keyHash === undefined ? fill(candidate, now) : 0;
		insertRanked(best, { candidate, weight, taken }, count);
	}
	return best.map(entry => entry.candidate);
}

/** Keeps the first candidates in their order; there are few of them, and hundreds to choose from. */
function insertRanked(best: RankedCandidate[], added: RankedCandidate, count: number): void {
	let place = best.length;
	while (place > 0 && goesBefore(added, best[place - 1]!)) {
		place--;
	}
	if (place < count) {
		best.splice(place, 0, added);
		best.length = Math.min(best.length, count);
	}
}

function goesBefore(a: RankedCandidate, b: RankedCandidate): boolean {
	return a.taken < b.taken || (a.taken === b.taken && a.weight > b.weight);
}

/** Whether a target keeps an object, by the part of its objects that it has room for. */
function keeps({ known }: Candidate, keyHash: number): boolean {
	return known.keptPart >= 1 || mix(keyHash, targetHash(known.record.id) ^ KEPT_SEED) / HASH_RANGE < known.keptPart;
}

/**
 * The targets of an object in the order in which they are used: those that give it away go behind the others. All instances
 * are told the same parts, so they agree on the order.
 */
function inOrderOfUse(targets: readonly Candidate[], keyHash: number | undefined): Candidate[] {
	if (keyHash === undefined) {
		return [...targets];
	}
	const kept = targets.filter(target => keeps(target, keyHash));
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

/** The candidates of the preferred hall come first, as a group of their own. */
function splitByHall(candidates: readonly Candidate[], hall: string | undefined): readonly (readonly Candidate[])[] {
	const near = hall === undefined ? [] : candidates.filter(candidate => candidate.known.record.hall === hall);
	return near.length > 0 && near.length < candidates.length ? [near, candidates] : [candidates];
}

function firstOpen(
	candidates: readonly Candidate[],
	keyHash: number | undefined,
	limits: readonly number[],
	context: ChoiceContext
): Candidate | undefined {
	const { now } = context;
	// A cold target that takes nothing now is passed over: its objects go to the next one, and stay in their region.
	const usable = candidates.filter(candidate => isUsable(candidate, context));
	const targets = firstTargets(usable, keyHash, RANKED_TARGETS, context);
	return inOrderOfUse(targets, keyHash).find((candidate, place) => fill(candidate, now) < (limits[place] ?? 0));
}

function leastFilled(candidates: readonly Candidate[], context: ChoiceContext): Candidate | undefined {
	let best: Candidate | undefined;
	for (const candidate of candidates) {
		const isOpen = fill(candidate, context.now) < DOUBTED_LIMIT && isUsable(candidate, context);
		if (isOpen && (!best || fill(candidate, context.now) < fill(best, context.now))) {
			best = candidate;
		}
	}
	return best;
}

/**
 * The target that an object goes to where nothing speaks against it: whether that one is full or gives objects away, its
 * need is counted there.
 */
export function firstTargetOf(
	candidates: readonly Candidate[],
	objectKey: string,
	context: ChoiceContext
): Candidate | undefined {
	const region = regionAt(context.shares, context.position);
	const near = candidates.filter(candidate => candidate.known.region === region && isSound(candidate, context.now));
	const [preferred] = splitByHall(near, context.preferredHall);
	const usable = (preferred ?? []).filter(({ known }) => known.coldUntil <= context.now);
	return firstTargets(usable, hash32(objectKey), 1, context)[0];
}

/**
 * A place among the regions, in [0, 1).
 * @param key the object, or the id of a request without one
 */
export function placeAmongRegions(key: string): number {
	return mix(hash32(key), POSITION_SEED) / HASH_RANGE;
}

/**
 * The regions for a request in their order; only the first one where it may not leave that. Without this bound a surge of
 * callers moves much of a region's requests to another one at once, and their objects away from targets that had them.
 */
function regionsFor(context: ChoiceContext, firstRegion: string | undefined, present: readonly string[]): string[] {
	const isHeld = firstRegion !== undefined && context.standing.has(firstRegion) && !context.maySpill;
	const order = regionOrder(context.shares, firstRegion, present);
	return isHeld ? order.filter(region => region === firstRegion) : order;
}

function chooseSound(
	groups: ReadonlyMap<string, readonly Candidate[]>,
	regions: readonly string[],
	keyHash: number | undefined,
	context: ChoiceContext
): Candidate | undefined {
	const isBound = keyHash !== undefined;
	let limits = isBound ? FILL_LIMITS : UNBOUND_LIMITS;
	for (const region of regions) {
		for (const group of splitByHall(groups.get(region)!, context.preferredHall)) {
			const candidate = firstOpen(group, keyHash, limits, context);
			if (candidate) {
				return candidate;
			}
		}
		limits = isBound ? SPILL_LIMITS : UNBOUND_LIMITS;
	}
	return undefined;
}

/**
 * The target for a request; undefined when those that the object may use are too full, or none is there. Targets that
 * failed are asked only where the request has no sound one to go to.
 */
export function chooseTarget(candidates: readonly Candidate[], context: ChoiceContext): ChosenTarget | undefined {
	const { objectKey, now } = context;
	const keyHash = objectKey === undefined ? undefined : hash32(objectKey);
	const firstRegion = regionAt(context.shares, context.position);
	const groups = groupByRegion(candidates.filter(candidate => isSound(candidate, now)));
	const present = [...new Set(candidates.map(({ known }) => known.region))];
	const regions = regionsFor(context, firstRegion, present);
	const sound = regions.filter(region => groups.has(region));
	const chosen =
		sound.length > 0
			? chooseSound(groups, sound, keyHash, context)
			: leastFilled(
					candidates.filter(({ known }) => regions.includes(known.region)),
					context
				);
	if (!chosen) {
		return undefined;
	}
	const isSpill = firstRegion !== undefined && chosen.known.region !== firstRegion && context.standing.has(firstRegion);
	return { ...chosen, firstRegion, isSpill };
}

function isSound({ known, state }: Candidate, now: Millis): boolean {
	return !known.isSilent && state.health.admits(state.inFlight, now);
}
