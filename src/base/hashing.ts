/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Hashing for placement decisions; all processes must compute the same values. */

import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** xxHash32 of a text, as an unsigned 32-bit integer. */
export function hash32(text: string): number {
	return hasher.h32(text);
}

/** Ranks candidates for a key by rendezvous hashing, highest weight first; ties are ordered by name. */
export function rendezvousRank(key: string, candidates: readonly string[]): string[] {
	return candidates
		.map(name => ({ name, weight: hash32(`${key}|${name}`) }))
		.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
		.map(candidate => candidate.name);
}
