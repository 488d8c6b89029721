/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Types of the fleet: targets, data halls, entry instances, the published table, and the commands that change them. */

import type { Millis } from '../../../base/clock.js';
import type { RouteTable } from '../../routes/common/routeTable.js';

/** Id of the fleet's part of the replicated state. */
export const FLEET_PART = 'fleet';

/** Number of the last change to the fleet state; each record carries the revision that last changed it. */
export type FleetRevision = number;

/** Life cycle phases of a target; one incarnation never returns to an earlier phase. */
export enum TargetPhase {
	Serving = 'serving',
	/** Accepts no new requests and is about to shut down. */
	Leaving = 'leaving',
	/** Has shut down; only a later incarnation may register under the same id. */
	Gone = 'gone'
}

/** What a target reports about itself when it registers. */
export interface TargetDescription {
	/** Stays the same when the target restarts. */
	readonly id: string;
	/**
	 * Start time of this incarnation in Unix milliseconds by the target's own clock; 0 if it does not report one. An incarnation
	 * with a later start time replaces an earlier one.
	 */
	readonly bornAt: number;
	readonly service: string;
	/** IPv4 address and port. */
	readonly address: string;
	readonly hall: string;
	readonly version: string;
	/** Requests that it can execute at the same time. */
	readonly slots: number;
}

/** A target in the replicated state. */
export interface TargetRecord extends TargetDescription {
	readonly phase: TargetPhase;
	readonly changedAt: FleetRevision;
	/**
	 * Names of the entry instances that may send to the target while its request rate is limited, that is while it is cold or
	 * declares a limit. Stored in the record so that all instances agree on them; empty if no entry instance was known.
	 */
	readonly pacedSenders: readonly string[];
	/** Requests per second that the target accepts from all instances together; absent if it declares no limit. */
	readonly limitPerSecond?: number;
	/**
	 * Until when the target is cold, in Unix milliseconds by the clock of the control instance that received its heartbeat; absent
	 * if it was never cold. Control instances that restart use it until they receive a heartbeat.
	 */
	readonly coldUntil?: number;
}

/** Whether a data hall is drained: its targets get no new requests. */
export interface HallRecord {
	readonly hall: string;
	readonly isDrained: boolean;
	/** Revision of the last order for the hall, also of one that changed nothing else. */
	readonly changedAt: FleetRevision;
}

/** A published route table together with the operator's document. */
export interface PublishedTable {
	readonly table: RouteTable;
	/** The document as received; reads return it unchanged. */
	readonly document: string;
	readonly changedAt: FleetRevision;
}

/** Publishes a table if its base version is the one in force. */
export interface PublishTableCommand {
	readonly type: 'publishTable';
	/** Version that the table is based on; 0 for the first table. */
	readonly base: number;
	readonly table: RouteTable;
	readonly document: string;
	/** Digest of the document; identifies a retry of the same command. */
	readonly digest: string;
}

/** Drains a data hall or puts it back in service. */
export interface SetHallCommand {
	readonly type: 'setHall';
	readonly hall: string;
	readonly isDrained: boolean;
	/**
	 * Revision of the last order for the hall that the submitting instance knew, 0 for none; the order has no effect after any other
	 * one. Absent from instances that do not know it.
	 */
	readonly base?: FleetRevision;
}

/** Changes the phase of targets; several changes may share one log entry. */
export interface ChangeTargetsCommand {
	readonly type: 'changeTargets';
	readonly changes: readonly TargetChange[];
}

/** A phase change of one target, or the registration of a new target or incarnation. */
export interface TargetChange {
	readonly phase: TargetPhase;
	readonly id: string;
	/** Start time of the incarnation that changes; the registered one if absent. */
	readonly bornAt?: number;
	/** Present if the target or this incarnation is not registered yet. */
	readonly description?: TargetDescription;
	/** Present together with the description. */
	readonly pacedSenders?: readonly string[];
	/** Until when a registered target is cold, as in its record; absent if it is not. */
	readonly coldUntil?: number;
	/**
	 * Revision that last changed the target's record as known to the submitting instance, 0 for none; the command is refused after any
	 * other change. Absent for a change that is true whenever it arrives.
	 */
	readonly base?: FleetRevision;
	/** For a registration, id of the owner of the address as known to the submitting instance; refused if it is another one. */
	readonly addressOwner?: string | null;
}

/** Changes rate limits of targets, the entry instances that may send to them, or until when targets are cold. */
export interface PaceTargetsCommand {
	readonly type: 'paceTargets';
	readonly changes: readonly PaceChange[];
}

/** A change of one incarnation of a target; absent fields stay unchanged. */
export interface PaceChange {
	readonly id: string;
	readonly bornAt: number;
	/** Requests per second; `null` removes the limit. */
	readonly limitPerSecond?: number | null;
	readonly pacedSenders?: readonly string[];
	/** Unix milliseconds; an earlier time than the recorded one has no effect. */
	readonly coldUntil?: number;
	/** Revision that last changed the record on which the change is based; it has no effect after another change. */
	readonly base?: FleetRevision;
}

/** Any command on the fleet's part of the replicated state. */
export type FleetCommand = PublishTableCommand | SetHallCommand | ChangeTargetsCommand | PaceTargetsCommand;

/** Why a command was rejected. */
export enum FleetRefusalCode {
	/** The version in force is not the base version of the command. */
	BaseMoved = 'base-moved',
	/** The version is not greater than the one in force. */
	VersionNotRising = 'version-not-rising',
	/** The record that the command is based on has changed since. */
	RecordChanged = 'record-changed'
}

/** Result of applying a fleet command. */
export type FleetResult =
	| { readonly ok: true; readonly revision: FleetRevision }
	| {
			readonly ok: false;
			readonly code: FleetRefusalCode;
			readonly message: string;
			/** Revision that last changed the record, 0 for none; present for `RecordChanged`. */
			readonly changedAt?: FleetRevision;
	  };

/** Changes since a revision, or the whole state. */
export interface FleetChanges {
	readonly revision: FleetRevision;
	/** Whether this is the whole state, which replaces the receiver's. */
	readonly isWhole: boolean;
	readonly published?: Omit<PublishedTable, 'document'>;
	readonly halls: readonly HallRecord[];
	readonly targets: readonly TargetRecord[];
}

/** What an entry instance reports about itself. */
export interface EntryDescription {
	readonly name: string;
	/** Changes with every start of the process. */
	readonly incarnation: string;
	/** Increases with each report of one incarnation; reports may arrive out of order. */
	readonly sequence: number;
	readonly hall: string;
	readonly region: string;
	/** IPv4 address and port that callers connect to. */
	readonly callerAddress: string;
	/** IPv4 address and port for calls between instances. */
	readonly peerAddress: string;
	/** Whether it accepts callers. */
	readonly isReady: boolean;
	/** Fleet revision that it has applied; 0 for none. */
	readonly revision: FleetRevision;
	/** Slots needed by its callers, by service. */
	readonly demand: Readonly<Record<string, number>>;
	/** Whether it reaches no target, so that it depends on other instances to serve its callers; absent from older instances. */
	readonly isPartitioned?: boolean;
}

/** A report of an entry instance and its age. */
export interface EntryObservation extends EntryDescription {
	readonly ageMs: Millis;
}

/** A heartbeat of one incarnation of a target. */
export interface Heartbeat {
	readonly id: string;
	/** Start time of the incarnation; 0 if the target does not report one. */
	readonly bornAt: number;
	/** Increases with each heartbeat of one incarnation. */
	readonly sequence: number;
	/** How much longer the target is cold. */
	readonly coldLeftMs: Millis;
}
