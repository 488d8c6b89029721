/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Observations of entry instances and targets, made by this control instance or received from others. Kept in memory only, so
 * that heartbeats do not go through the replicated log.
 */

import type { Millis } from '../../../base/clock.js';
import type { EntryDescription, EntryObservation, FleetRevision, Heartbeat } from './fleetTypes.js';
import type { ColdTarget, ExchangeRequest, HeartbeatObservation } from './fleetWire.js';

/** Times without a report after which an instance counts as lost. */
export interface LivenessTimeouts {
	/** An entry instance without a report for longer than this is no longer live. */
	readonly entryTimeoutMs: Millis;
	/** A target whose last heartbeat is older than this is reported silent. */
	readonly heartbeatTimeoutMs: Millis;
}

/** Time within which a heartbeat of a running target arrives: they are sent every 1.5 s and may need a retry. */
const REOBSERVE_MS = 2000;

/**
 * Minimum time between relays of unchanged reports of an entry instance to other control instances, which saves traffic between
 * regions. Twice this time plus the network delay must stay below the entry timeout.
 */
const RELAY_INTERVAL_MS = 700;

interface ObservedEntry {
	description: EntryDescription;
	observedAt: Millis;
	/** Whether this instance received it and has not sent it to the others yet. */
	isUnsent: boolean;
	/** The description last sent to the others, and when. */
	lastSent?: { readonly description: EntryDescription; readonly at: Millis };
}

interface ObservedTarget {
	bornAt: number;
	sequence: number;
	observedAt: Millis;
	coldUntil: Millis;
	isUnsent: boolean;
}

/** Tracks which entry instances and targets are live. */
export class LivenessTracker {
	private readonly _entries = new Map<string, ObservedEntry>();
	private readonly _targets = new Map<string, ObservedTarget>();
	private _peakReadyEntries = 0;

	/** @param startedAt counts as the last heartbeat of targets without one */
	constructor(
		private readonly _timeouts: LivenessTimeouts,
		readonly startedAt: Millis
	) {}

	/** Records a report that an entry instance sent to this control instance. */
	recordEntry(description: EntryDescription, now: Millis): void {
		if (!this._isOutdatedEntry(description)) {
			const { lastSent } = this._entries.get(description.name) ?? {};
			this._entries.set(description.name, { description, observedAt: now, isUnsent: true, lastSent });
		}
	}

	/**
	 * Records a heartbeat that a target sent to this control instance.
	 * @returns false if a later one has been observed
	 */
	recordHeartbeat(heartbeat: Heartbeat, now: Millis): boolean {
		const { id, bornAt, sequence, coldLeftMs } = heartbeat;
		if (this._isOutdatedHeartbeat(heartbeat)) {
			return false;
		}
		this._targets.set(id, { bornAt, sequence, observedAt: now, coldUntil: now + coldLeftMs, isUnsent: true });
		return true;
	}

	/** When the latest heartbeat of a target was observed; undefined if none was. */
	lastHeartbeatAt(id: string): Millis | undefined {
		return this._targets.get(id)?.observedAt;
	}

	/** Drops the observations of a target that is gone. */
	dropTarget(id: string): void {
		this._targets.delete(id);
	}

	/** Merges observations of another control instance. */
	merge(exchange: Pick<ExchangeRequest, 'entries' | 'heartbeats'>, now: Millis): void {
		exchange.entries.forEach(observation => this._mergeEntry(observation, now));
		exchange.heartbeats.forEach(observation => this._mergeHeartbeat(observation, now));
	}

	/** Observations of this instance to send to the others; returns each one once. */
	takeUnsent(now: Millis): Pick<ExchangeRequest, 'entries' | 'heartbeats'> {
		const entries: EntryObservation[] = [];
		for (const entry of this._entries.values()) {
			if (entry.isUnsent && isRelayDue(entry, now)) {
				entry.isUnsent = false;
				entry.lastSent = { description: entry.description, at: now };
				entries.push({ ...entry.description, ageMs: now - entry.observedAt });
			}
		}
		const heartbeats: HeartbeatObservation[] = [];
		for (const [id, target] of this._targets) {
			if (target.isUnsent) {
				target.isUnsent = false;
				const coldLeftMs = Math.max(0, target.coldUntil - now);
				const { bornAt, sequence } = target;
				heartbeats.push({ id, bornAt, sequence, ageMs: now - target.observedAt, coldLeftMs });
			}
		}
		return { entries, heartbeats };
	}

	/**
	 * Entry instances that were live at a time, which may be in the past; drops those that have long timed out by then.
	 */
	liveEntries(now: Millis): EntryDescription[] {
		const live: EntryDescription[] = [];
		for (const [name, entry] of this._entries) {
			if (now - entry.observedAt <= this._timeouts.entryTimeoutMs) {
				live.push(entry.description);
			} else if (now - entry.observedAt > this._timeouts.entryTimeoutMs * 10) {
				this._entries.delete(name);
			}
		}
		return live;
	}

	/** Highest number of live entry instances that accepted callers at the same time, up to now. */
	peakReadyEntries(now: Millis): number {
		const ready = this.liveEntries(now).filter(({ isReady }) => isReady);
		this._peakReadyEntries = Math.max(this._peakReadyEntries, ready.length);
		return this._peakReadyEntries;
	}

	/** When an entry instance last reported; undefined if never, or if it was dropped. */
	entryLastSeenAt(name: string): Millis | undefined {
		return this._entries.get(name)?.observedAt;
	}

	/** Whether all live entry instances have applied a revision. */
	isAppliedByLiveEntries(revision: FleetRevision, now: Millis): boolean {
		for (const { description, observedAt } of this._entries.values()) {
			if (now - observedAt <= this._timeouts.entryTimeoutMs && description.revision < revision) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Whether a target's heartbeats are overdue.
	 * @param completeSince since when this instance has observed all heartbeats; it may have missed earlier ones
	 */
	isSilent(id: string, now: Millis, completeSince: Millis = Number.NEGATIVE_INFINITY): boolean {
		const observedAt = this._targets.get(id)?.observedAt ?? this.startedAt;
		return now - observedAt > this._timeouts.heartbeatTimeoutMs && now - completeSince > REOBSERVE_MS;
	}

	/** Targets that are still cold, and for how long. */
	coldTargets(now: Millis): ColdTarget[] {
		const cold: ColdTarget[] = [];
		for (const [id, target] of this._targets) {
			if (target.coldUntil > now) {
				cold.push({ id, leftMs: target.coldUntil - now });
			}
		}
		return cold;
	}

	/** Whether a later report of the same incarnation has been observed. */
	private _isOutdatedEntry(description: EntryDescription): boolean {
		const known = this._entries.get(description.name)?.description;
		return known?.incarnation === description.incarnation && description.sequence < known.sequence;
	}

	private _mergeEntry(observation: EntryObservation, now: Millis): void {
		const { ageMs, ...description } = observation;
		const observedAt = now - ageMs;
		const known = this._entries.get(description.name);
		const isNewer = !known || observedAt > known.observedAt;
		if (isNewer && !this._isOutdatedEntry(description)) {
			this._entries.set(description.name, { description, observedAt: observedAt, isUnsent: false });
		}
	}

	/** Whether a later incarnation, or a later heartbeat of the same incarnation, has been observed. */
	private _isOutdatedHeartbeat({ id, bornAt, sequence }: Heartbeat): boolean {
		const known = this._targets.get(id);
		if (!known || bornAt !== known.bornAt) {
			return known !== undefined && bornAt < known.bornAt;
		}
		return sequence < known.sequence;
	}

	private _mergeHeartbeat(observation: HeartbeatObservation, now: Millis): void {
		const { id, bornAt, sequence, ageMs, coldLeftMs } = observation;
		const known = this._targets.get(id);
		const isSame = known?.bornAt === bornAt && known.sequence === sequence;
		if (isSame || this._isOutdatedHeartbeat(observation)) {
			return;
		}
		this._targets.set(id, {
			bornAt,
			sequence,
			observedAt: now - ageMs,
			coldUntil: now + coldLeftMs,
			isUnsent: false
		});
	}
}

/** Whether to send an entry instance to the others now: its state has changed, or the relay interval has passed. */
function isRelayDue({ description, lastSent }: ObservedEntry, now: Millis): boolean {
	if (!lastSent || now - lastSent.at >= RELAY_INTERVAL_MS) {
		return true;
	}
	const previous = lastSent.description;
	return (
		previous.incarnation !== description.incarnation ||
		previous.revision !== description.revision ||
		previous.isReady !== description.isReady
	);
}
