/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * What a control instance saw of entry instances and targets, itself or through another one. Kept in memory only:
 * heartbeats stay off the replicated log.
 */

import type { Millis } from '../../../base/clock.js';
import type { EntryDescription, EntrySighting, FleetRevision, HeartbeatWord } from './fleetTypes.js';
import type { ColdTarget, ExchangeRequest, HeartbeatSighting } from './fleetWire.js';

/** Time spans by which something counts as gone. */
export interface SightingTiming {
	/** An entry instance that was not heard for this long is no longer named. */
	readonly entrySilentMs: Millis;
	/** A target whose heartbeat is older than this is called silent. */
	readonly targetSilentMs: Millis;
}

/** Within this time a target that goes on says a heartbeat that is heard: they come every 1.5 s, and may need a second try. */
const REHEARD_MS = 2000;

/**
 * An entry instance that says nothing new is passed on at most this often. It speaks twice a second, so that each word would
 * cross the regions; two of these spans and the way are still shorter than the silence after which it is no longer named.
 */
const REPEAT_ENTRY_MS = 700;

interface SeenEntry {
	description: EntryDescription;
	seenAt: Millis;
	/** Heard here since the last exchange. */
	isFresh: boolean;
	/** What the others were told last, and when. */
	told?: { readonly description: EntryDescription; readonly at: Millis };
}

interface SeenTarget {
	bornAt: number;
	sequence: number;
	seenAt: Millis;
	coldUntil: Millis;
	isFresh: boolean;
}

/** Sightings with their ages. */
export class Sightings {
	private readonly _entries = new Map<string, SeenEntry>();
	private readonly _targets = new Map<string, SeenTarget>();

	/** @param _startedAt what was never heard counts as heard then */
	constructor(
		private readonly _timing: SightingTiming,
		private readonly _startedAt: Millis
	) {}

	/** An entry instance spoke to this control instance. */
	seeEntry(description: EntryDescription, now: Millis): void {
		if (!this._isOvertaken(description)) {
			const { told } = this._entries.get(description.name) ?? {};
			this._entries.set(description.name, { description, seenAt: now, isFresh: true, told });
		}
	}

	/**
	 * A target's heartbeat arrived.
	 * @returns false for one that is older than another already seen
	 */
	seeHeartbeat(word: HeartbeatWord, now: Millis): boolean {
		const { id, bornAt, sequence, coldLeftMs } = word;
		if (this._isOlder(word)) {
			return false;
		}
		this._targets.set(id, { bornAt, sequence, seenAt: now, coldUntil: now + coldLeftMs, isFresh: true });
		return true;
	}

	/** When a target's latest heartbeat was heard; undefined for never. */
	heardAt(id: string): Millis | undefined {
		return this._targets.get(id)?.seenAt;
	}

	/** A target is gone for good. */
	forgetTarget(id: string): void {
		this._targets.delete(id);
	}

	/** Takes in what another control instance heard. */
	merge(exchange: Pick<ExchangeRequest, 'entries' | 'heartbeats'>, now: Millis): void {
		exchange.entries.forEach(sighting => this._mergeEntry(sighting, now));
		exchange.heartbeats.forEach(sighting => this._mergeHeartbeat(sighting, now));
	}

	/** What was heard here since the last call. */
	takeFresh(now: Millis): Pick<ExchangeRequest, 'entries' | 'heartbeats'> {
		const entries: EntrySighting[] = [];
		for (const seen of this._entries.values()) {
			if (seen.isFresh && isDue(seen, now)) {
				seen.isFresh = false;
				seen.told = { description: seen.description, at: now };
				entries.push({ ...seen.description, ageMs: now - seen.seenAt });
			}
		}
		const heartbeats: HeartbeatSighting[] = [];
		for (const [id, seen] of this._targets) {
			if (seen.isFresh) {
				seen.isFresh = false;
				const coldLeftMs = Math.max(0, seen.coldUntil - now);
				const { bornAt, sequence } = seen;
				heartbeats.push({ id, bornAt, sequence, ageMs: now - seen.seenAt, coldLeftMs });
			}
		}
		return { entries, heartbeats };
	}

	/** Entry instances that were heard lately, or are so by a time that lies in the past. */
	liveEntries(now: Millis): EntryDescription[] {
		const live: EntryDescription[] = [];
		for (const [name, seen] of this._entries) {
			if (now - seen.seenAt <= this._timing.entrySilentMs) {
				live.push(seen.description);
			} else if (now - seen.seenAt > this._timing.entrySilentMs * 10) {
				this._entries.delete(name);
			}
		}
		return live;
	}

	/** When an entry instance was last heard; undefined for never, or not for long. */
	entryHeardAt(name: string): Millis | undefined {
		return this._entries.get(name)?.seenAt;
	}

	/** Whether every entry instance that was heard lately acts by a revision or a later one. */
	isInForce(revision: FleetRevision, now: Millis): boolean {
		for (const { description, seenAt } of this._entries.values()) {
			if (now - seenAt <= this._timing.entrySilentMs && description.revision < revision) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Whether a target's heartbeats are overdue.
	 * @param hearingSince since when all heartbeats are heard of here: those of the time before may have been missed
	 */
	isSilent(id: string, now: Millis, hearingSince: Millis = Number.NEGATIVE_INFINITY): boolean {
		const seenAt = this._targets.get(id)?.seenAt ?? this._startedAt;
		return now - seenAt > this._timing.targetSilentMs && now - hearingSince > REHEARD_MS;
	}

	/** Targets that are still cold. */
	coldTargets(now: Millis): ColdTarget[] {
		const cold: ColdTarget[] = [];
		for (const [id, seen] of this._targets) {
			if (seen.coldUntil > now) {
				cold.push({ id, leftMs: seen.coldUntil - now });
			}
		}
		return cold;
	}

	/** Whether a later word of the same incarnation is known. */
	private _isOvertaken(description: EntryDescription): boolean {
		const known = this._entries.get(description.name)?.description;
		return known?.incarnation === description.incarnation && description.sequence < known.sequence;
	}

	private _mergeEntry(sighting: EntrySighting, now: Millis): void {
		const { ageMs, ...description } = sighting;
		const seenAt = now - ageMs;
		const known = this._entries.get(description.name);
		const isNewer = !known || seenAt > known.seenAt;
		if (isNewer && !this._isOvertaken(description)) {
			this._entries.set(description.name, { description, seenAt, isFresh: false });
		}
	}

	/** Whether a later life of the target, or a later heartbeat of the same life, was heard. */
	private _isOlder({ id, bornAt, sequence }: HeartbeatWord): boolean {
		const known = this._targets.get(id);
		if (!known || bornAt !== known.bornAt) {
			return known !== undefined && bornAt < known.bornAt;
		}
		return sequence < known.sequence;
	}

	private _mergeHeartbeat(sighting: HeartbeatSighting, now: Millis): void {
		const { id, bornAt, sequence, ageMs, coldLeftMs } = sighting;
		const known = this._targets.get(id);
		const isSame = known?.bornAt === bornAt && known.sequence === sequence;
		if (isSame || this._isOlder(sighting)) {
			return;
		}
		this._targets.set(id, {
			bornAt,
			sequence,
			seenAt: now - ageMs,
			coldUntil: now + coldLeftMs,
			isFresh: false
		});
	}
}

/** Whether the others are to be told of an entry instance now: it says something new, or it is time to say it again. */
function isDue({ description, told }: SeenEntry, now: Millis): boolean {
	if (!told || now - told.at >= REPEAT_ENTRY_MS) {
		return true;
	}
	const before = told.description;
	return (
		before.incarnation !== description.incarnation ||
		before.revision !== description.revision ||
		before.isReady !== description.isReady
	);
}
