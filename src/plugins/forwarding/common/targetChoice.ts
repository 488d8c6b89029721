/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Chooses the target of a request: objects stay with the same targets (rendezvous hashing), as long as those are not too
 * full (bounded load), first in this instance's region, then elsewhere.
 */

import type { Millis } from '../../../base/clock.js';
import { hash32 } from '../../../base/hashing.js';
import type { KnownTarget } from '../../fleet/common/fleetView.js';
import type { TargetState } from './targetState.js';

/** A target that may get the request. */
export interface Candidate {
	readonly known: KnownTarget;
	readonly state: TargetState;
}

/** What the choice depends on. */
export interface ChoiceContext {
	readonly region: string;
	/** Object that the request is about; undefined for none. */
	readonly objectKey: string | undefined;
	/** Part of a target's slots beyond which a request goes to the next one, by place in the order. */
	readonly fillLimits: readonly number[];
	readonly now: Millis;
	/** Whether a cold target may be given a request now. */
	mayUseCold(candidate: Candidate): boolean;
}

/** Loads up to which the first, second and further targets of an object are used, as parts of their slots. */
export const DEFAULT_FILL_LIMITS: readonly number[] = [1.6, 1.3, 1];
/** Beyond this part of its slots a target is never given more. */
const HIGHEST_FILL = 2;

function mix(a: number, b: number): number {
	let value = Math.imul(a ^ b, 0x9e3779b1);
	value ^= value >>> 15;
	value = Math.imul(value, 0x85ebca6b);
	value ^= value >>> 13;
	return value >>> 0;
}

const targetHashes = new Map<string, number>();
const MAX_TARGET_HASHES = 8192;

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

function order(candidates: readonly Candidate[], context: ChoiceContext): Candidate[] {
	if (context.objectKey === undefined) {
		return [...candidates].sort((a, b) => fill(a, context.now) - fill(b, context.now));
	}
	const keyHash = hash32(context.objectKey);
	return candidates
		.map(candidate => ({ candidate, weight: mix(keyHash, targetHash(candidate.known.record.id)) }))
		.sort((a, b) => b.weight - a.weight)
		.map(entry => entry.candidate);
}

function fill(candidate: Candidate, now: Millis): number {
	return candidate.state.load(now) / Math.max(1, candidate.known.record.slots);
}

function isCold(candidate: Candidate, now: Millis): boolean {
	return candidate.known.coldUntil > now;
}

function firstUnderLimit(candidates: readonly Candidate[], context: ChoiceContext): Candidate | undefined {
	const { fillLimits, now } = context;
	let place = 0;
	for (const candidate of order(candidates, context)) {
		const limit = fillLimits[Math.min(place, fillLimits.length - 1)]!;
		place++;
		if (fill(candidate, now) < limit && (!isCold(candidate, now) || context.mayUseCold(candidate))) {
			return candidate;
		}
	}
	return undefined;
}

function leastFilled(candidates: readonly Candidate[], context: ChoiceContext): Candidate | undefined {
	let best: Candidate | undefined;
	for (const candidate of candidates) {
		const isOpen = fill(candidate, context.now) < HIGHEST_FILL;
		const isUsable = !isCold(candidate, context.now) || context.mayUseCold(candidate);
		if (isOpen && isUsable && (!best || fill(candidate, context.now) < fill(best, context.now))) {
			best = candidate;
		}
	}
	return best;
}

/** The target for a request; undefined when every one is too full, or none is there. */
export function chooseTarget(candidates: readonly Candidate[], context: ChoiceContext): Candidate | undefined {
	const sound = candidates.filter(candidate => !candidate.known.isSilent && !candidate.state.isSuspect(context.now));
	const near = sound.filter(candidate => candidate.known.region === context.region);
	const far = sound.filter(candidate => candidate.known.region !== context.region);
	const others = candidates.filter(candidate => !sound.includes(candidate));
	return (
		firstUnderLimit(near, context) ??
		firstUnderLimit(far, context) ??
		leastFilled(sound, context) ??
		(sound.length === 0 ? leastFilled(others, context) : undefined)
	);
}
