/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Looks up teams by the digest of their keys. Tables hold digests only, so keys are never stored or distributed. */

import { createHash, timingSafeEqual } from 'node:crypto';
import type { Team } from './routeTable.js';

const HASH_ALGORITHM = 'sha256';
const DIGEST_ENCODING = 'base64';

/** Returns the SHA-256 digest of a key in base64, as stored in `Team.keyDigests`. */
export function digestKey(key: string): string {
	return createHash(HASH_ALGORITHM).update(key).digest(DIGEST_ENCODING);
}

interface IndexedKey {
	readonly digest: Buffer;
	readonly team: Team;
}

/** Index of the teams of a table by key digest. */
export class TeamIndex {
	private readonly _byDigest = new Map<string, IndexedKey>();

	constructor(teams: readonly Team[]) {
		for (const team of teams) {
			for (const digest of team.keyDigests) {
				this._byDigest.set(digest, { digest: Buffer.from(digest, DIGEST_ENCODING), team });
			}
		}
	}

	/**
	 * Returns the team of a key; undefined when no team has it. Digests are compared in constant time against timing attacks.
	 * @param digest digest of the caller's key
	 */
	findTeam(digest: string): Team | undefined {
		const candidate = this._byDigest.get(digest);
		return candidate && timingSafeEqual(candidate.digest, Buffer.from(digest, DIGEST_ENCODING))
			? candidate.team
			: undefined;
	}
}
