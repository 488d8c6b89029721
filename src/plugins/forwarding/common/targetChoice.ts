/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Chooses the target of a request. An object stays with few targets, since one that has seen it lately is several times
 * faster: in each region it has an order of targets (rendezvous hashing) and goes to the first of them that is not too
 * full (bounded load), never beyond the first few, for an object spread over all of them is seen lately by none.
 */

import type { Millis } from '../../../base/clock.js';
import { hash32 } from '../../../base/hashing.js';
import type { KnownTarget } from '../../fleet/common/fleetView.js';
import { regionAt, regionOrder, type RegionShares } from './regionShares.js';
import type { TargetState } from './targetState.js';

/** A target that may get the request. */
export interface Candidate {
	readonly known: KnownTarget;
	readonly state: TargetState;
}

/** The candidate that was chosen. */
export interface ChosenTarget extends Candidate {
	/** Region that the shares gave the request; undefined where there were none, or no sound target. */
	readonly firstRegion: string | undefined;
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
/** Keeps an object's place among regions apart from its order of targets. */
const POSITION_SEED = 1;

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

/** The first targets of an object among the candidates of one region; those with least load where there is no object. */
function firstTargets(candidates: readonly Candidate[], keyHash: number | undefined, count: number, now: Millis) {
	const weightOf = (candidate: Candidate): number =>
		keyHash === undefined ? -fill(candidate, now) : mix(keyHash, targetHash(candidate.known.record.id));
	return candidates
		.map(candidate => ({ candidate, weight: weightOf(candidate) }))
		.sort((a, b) => b.weight - a.weight)
		.slice(0, count)
		.map(entry => entry.candidate);
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
	const targets = firstTargets(candidates, keyHash, limits.length, now);
	return targets.find((candidate, place) => fill(candidate, now) < limits[place]! && isUsable(candidate, context));
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

function chooseSound(sound: readonly Candidate[], context: ChoiceContext): ChosenTarget | undefined {
	const { objectKey } = context;
	const keyHash = objectKey === undefined ? undefined : hash32(objectKey);
	const position = keyHash === undefined ? Math.random() : mix(keyHash, POSITION_SEED) / HASH_RANGE;
	const groups = groupByRegion(sound);
	const isBound = keyHash !== undefined;
	let limits = isBound ? FILL_LIMITS : UNBOUND_LIMITS;
	const firstRegion = regionAt(context.shares, position);
	for (const region of regionOrder(context.shares, position, [...groups.keys()])) {
		for (const group of splitByHall(groups.get(region)!, context.preferredHall)) {
			const candidate = firstOpen(group, keyHash, limits, context);
			if (candidate) {
				return { ...candidate, firstRegion };
			}
		}
		limits = isBound ? SPILL_LIMITS : UNBOUND_LIMITS;
	}
	return undefined;
}

/** The target for a request; undefined when those that the object may use are too full, or none is there. */
export function chooseTarget(candidates: readonly Candidate[], context: ChoiceContext): ChosenTarget | undefined {
	const isSound = (candidate: Candidate): boolean =>
		!candidate.known.isSilent && candidate.state.health.admits(candidate.state.inFlight, context.now);
	const sound = candidates.filter(isSound);
	if (sound.length > 0) {
		return chooseSound(sound, context);
	}
	const doubted = leastFilled(candidates, context);
	return doubted && { ...doubted, firstRegion: undefined };
}
