/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Finds the team that holds a key. Tables carry digests of the keys only, so a key that a caller shows is known nowhere but
 * at the instance that it was shown to, and only while its request is read.
 */

import { createHash, timingSafeEqual } from 'node:crypto';
import type { Team } from './routeTable.js';

const DIGEST = 'sha256';
const ENCODING = 'base64';

/** The digest of a key, as tables carry it. */
export function digestKey(key: string): string {
	return createHash(DIGEST).update(key).digest(ENCODING);
}

interface KnownKey {
	readonly digest: Buffer;
	readonly team: Team;
}

/** The teams of one table by their keys. */
export class TeamIndex {
	private readonly _byDigest = new Map<string, KnownKey>();

	constructor(teams: readonly Team[]) {
		for (const team of teams) {
			for (const digest of team.keyDigests) {
				this._byDigest.set(digest, { digest: Buffer.from(digest, ENCODING), team });
			}
		}
	}

	/**
	 * The team of a key; undefined for one that nobody holds. Digests are compared in constant time, so that the time taken
	 * tells nothing of keys that are held.
	 * @param digest digest of what the caller showed
	 */
	teamOf(digest: string): Team | undefined {
		const known = this._byDigest.get(digest);
		return known && timingSafeEqual(known.digest, Buffer.from(digest, ENCODING)) ? known.team : undefined;
	}
}
