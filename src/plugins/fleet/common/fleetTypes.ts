/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What the system knows of its targets and entry instances, and the commands that change it. */

import type { Millis } from '../../../base/clock.js';
import type { RouteTable } from '../../routes/common/routeTable.js';

/** Id of the fleet's part of the replicated state. */
export const FLEET_PART = 'fleet';

/** Counts changes of the fleet state; each object carries the revision of its last change. */
export type FleetRevision = number;

/** The stages of a target's life; it only goes forward. */
export enum TargetPhase {
	Serving = 'serving',
	/** It takes no new work and ends soon. */
	Leaving = 'leaving',
	/** It has ended; only a later life comes back under its id. */
	Gone = 'gone'
}

/** What a target says of itself. */
export interface TargetDescription {
	/** Names the target; it may start again under the id that it had. */
	readonly id: string;
	/** When this life of it began, as Unix milliseconds of its own clock; 0 where it does not say. A later life replaces an earlier one. */
	readonly bornAt: number;
	readonly service: string;
	/** IPv4 address and port. */
	readonly address: string;
	readonly hall: string;
	readonly version: string;
	readonly slots: number;
}

/** A target as the replicated state has it. */
export interface TargetRecord extends TargetDescription {
	readonly phase: TargetPhase;
	readonly changedAt: FleetRevision;
	/**
	 * The entry instances that may send to it while what it takes is bounded: while it is cold, or names a limit. Drawn once and
	 * kept with the target, so that all instances agree on them whatever they hear of each other; none where no entry instance
	 * was known.
	 */
	readonly pacedSenders: readonly string[];
	/** Requests a second that it takes from all instances together, by its own word; left out where it names no limit. */
	readonly limitPerSecond?: number;
}

/** A hall whose targets are to get no work, or got it back. */
export interface HallRecord {
	readonly hall: string;
	readonly isDrained: boolean;
	readonly changedAt: FleetRevision;
}

/** A published table together with the document that the operator sent. */
export interface PublishedTable {
	readonly table: RouteTable;
	/** The document as it was sent; reads return it unchanged. */
	readonly document: string;
	readonly changedAt: FleetRevision;
}

/** Publishes a table on a named base. */
export interface PublishTableCommand {
	readonly type: 'publishTable';
	/** The version that the table is built on; 0 for the first. */
	readonly base: number;
	readonly table: RouteTable;
	readonly document: string;
	/** Digest of the document; the same order sent again is known by it. */
	readonly digest: string;
}

/** Drains a hall or takes it back. */
export interface SetHallCommand {
	readonly type: 'setHall';
	readonly hall: string;
	readonly isDrained: boolean;
}

/** Changes targets; several changes share one entry of the log. */
export interface ChangeTargetsCommand {
	readonly type: 'changeTargets';
	readonly changes: readonly TargetChange[];
}

/** One change of one target. */
export interface TargetChange {
	readonly phase: TargetPhase;
	readonly id: string;
	/** The life that changes; left out for the one that is known. */
	readonly bornAt?: number;
	/** Given where the target, or this life of it, is not known yet. */
	readonly description?: TargetDescription;
	/** Given with the description. */
	readonly pacedSenders?: readonly string[];
}

/** Changes what all instances together may send to targets, or who of them may. */
export interface PaceTargetsCommand {
	readonly type: 'paceTargets';
	readonly changes: readonly PaceChange[];
}

/** One change of one life of a target; what is left out stays as it is. */
export interface PaceChange {
	readonly id: string;
	readonly bornAt: number;
	/** Requests a second; `null` where it names a limit no more. */
	readonly limitPerSecond?: number | null;
	readonly pacedSenders?: readonly string[];
}

/** Any command of the fleet part. */
export type FleetCommand = PublishTableCommand | SetHallCommand | ChangeTargetsCommand | PaceTargetsCommand;

/** Why an order was refused. */
export enum FleetRefusalCode {
	/** Another version than the named base is in force. */
	BaseMoved = 'base-moved',
	/** The version does not rise above the one in force. */
	VersionNotRising = 'version-not-rising'
}

/** What applying a fleet command gives. */
export type FleetResult =
	| { readonly ok: true; readonly revision: FleetRevision }
	| { readonly ok: false; readonly code: FleetRefusalCode; readonly message: string };

/** Changes since a revision, or everything since the beginning. */
export interface FleetChanges {
	readonly revision: FleetRevision;
	/** Whether this replaces all that the receiver holds. */
	readonly isWhole: boolean;
	readonly published?: Omit<PublishedTable, 'document'>;
	readonly halls: readonly HallRecord[];
	readonly targets: readonly TargetRecord[];
}

/** Where an entry instance is and whether it takes callers. */
export interface EntryDescription {
	readonly name: string;
	/** Changes with every start. */
	readonly incarnation: string;
	/** Grows with each word of one incarnation; words may overtake each other. */
	readonly sequence: number;
	readonly hall: string;
	readonly region: string;
	/** IPv4 address and port for callers. */
	readonly callerAddress: string;
	/** IPv4 address and port for calls between processes. */
	readonly peerAddress: string;
	readonly isReady: boolean;
	/** The revision of the fleet that it acts by; 0 for none. */
	readonly revision: FleetRevision;
	/** Slots that its callers need, by service. */
	readonly demand: Readonly<Record<string, number>>;
}

/** An entry instance and how long ago it was heard. */
export interface EntrySighting extends EntryDescription {
	readonly ageMs: Millis;
}

/** A heartbeat of one life of a target. */
export interface HeartbeatWord {
	readonly id: string;
	/** When the life began; 0 where the target does not say. */
	readonly bornAt: number;
	/** Grows with each heartbeat of one life. */
	readonly sequence: number;
	readonly coldLeftMs: Millis;
}
