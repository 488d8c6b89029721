/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** RPC methods of the fleet: between entry and control instances, and among control instances. */

import type { Millis } from '../../../base/clock.js';
import { defineUnary } from '../../../kernel/common/peerMethods.js';
import type {
	EntryDescription,
	EntryObservation,
	FleetChanges,
	FleetCommand,
	FleetResult,
	FleetRevision,
	Heartbeat,
	PublishedTable
} from './fleetTypes.js';
import type { QuarantineSnapshot, RunReport } from './quarantineTypes.js';
import type { CrowdedTarget, WorkByTarget } from './requestedWork.js';

/** An entry instance reports itself and asks for changes. */
export interface SyncRequest {
	readonly entry: EntryDescription;
	/** Work requested by its callers at the primary targets of the requested objects, since the last call. */
	readonly needs: WorkByTarget;
	/** Limits that targets set or removed in responses to this instance and that are not in their records yet. */
	readonly limits: readonly ReportedLimit[];
	/** Revision of the quarantine that the entry instance holds; 0 for none. */
	readonly quarantineRevision: number;
	/** Digest of the list of other entry instances that the entry instance holds; absent for none. */
	readonly peersDigest?: number;
	/** How long the control instance may wait for a change before it responds. */
	readonly waitMs: Millis;
}

/** Address and location of another entry instance that accepts callers and reaches targets. */
export interface EntryPeer {
	readonly name: string;
	/** Peer address. */
	readonly address: string;
	readonly region: string;
}

/** Other entry instances that requests can be relayed to. */
export interface EntryPeerList {
	readonly digest: number;
	readonly peers: readonly EntryPeer[];
}

/** A limit that one incarnation of a target declared for all instances together. */
export interface ReportedLimit {
	readonly id: string;
	readonly bornAt: number;
	/** Requests per second; `null` if the target no longer declares a limit. */
	readonly perSecond: number | null;
	/** Revision of the target's record that the reporting instance compared with; absent from older instances. */
	readonly base?: FleetRevision;
}

/** An entry instance that holds a share of a target's limit. */
export interface SenderAddress {
	readonly name: string;
	/** Peer address. */
	readonly address: string;
}

/** Address and location of a control instance. */
export interface ControlAddress {
	/** Peer address. */
	readonly address: string;
	/** Data hall; absent if unknown. */
	readonly hall?: string;
}

/** A cold target and how much longer it is cold. */
export interface ColdTarget {
	readonly id: string;
	readonly leftMs: Millis;
}

/** The state of the fleet as known to a control instance. */
export interface SyncResponse {
	readonly changes: FleetChanges;
	/** Suspected and quarantined requests; present if the caller's revision of them is older. */
	readonly quarantine?: QuarantineSnapshot;
	readonly controls: readonly ControlAddress[];
	/** How long ago the responding control instance was known to be current. */
	readonly contactAgeMs: Millis;
	/**
	 * Whether the control instance has the observations of the others as well. If not, its data on entry instances, silent
	 * targets and demand is partial, and is only used until a complete response has been received.
	 */
	readonly hasHeardAll: boolean;
	/** Highest number of entry instances that accepted callers at the same time, as far as the control instance knows. */
	readonly entryCount: number;
	/** Names of the entry instances in the caller's region. */
	readonly regionEntries: readonly string[];
	/** Peer addresses of the other entry instances in the caller's data hall. */
	readonly hallPeers: readonly string[];
	/** Other entry instances; present if the list differs from the one that the caller holds. */
	readonly peers?: EntryPeerList;
	/** Live entry instances that may send to targets with a limit. */
	readonly limitSenders: readonly SenderAddress[];
	/** Targets whose heartbeats are overdue. */
	readonly silentTargets: readonly string[];
	readonly coldTargets: readonly ColdTarget[];
	/** Targets that keep only a fraction of their objects. */
	readonly crowdedTargets: readonly CrowdedTarget[];
	/** Slots needed by callers, by service and region. */
	readonly demand: RegionDemand;
}

/** Slots needed, by service and region. */
export type RegionDemand = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** A heartbeat received by another control instance, and its age. */
export interface HeartbeatObservation extends Heartbeat {
	readonly ageMs: Millis;
}

/** What a control instance itself has received since the last exchange. */
export interface ExchangeRequest {
	/** Id of the sending control instance. */
	readonly from: string;
	readonly entries: readonly EntryObservation[];
	readonly heartbeats: readonly HeartbeatObservation[];
	/** Requested work reported by entry instances. */
	readonly needs: WorkByTarget;
}

/** Acknowledgement; the receiver sends its own observations in a call of its own. */
export interface ExchangeResponse {
	readonly received: true;
}

/** A command for the leader. */
export interface OrderRequest {
	readonly command: FleetCommand;
}

/** The result; absent if the responding instance is not the leader. */
export interface OrderResponse {
	readonly result?: FleetResult;
}

/** Asks the leader for the table in force. */
export interface ReadTableRequest {
	readonly kind: 'table';
}

/** The table in force; only valid if `isLeader` is true. */
export interface ReadTableResponse {
	readonly isLeader: boolean;
	readonly published?: PublishedTable;
}

/** Reports lost runs and answers to suspected requests. */
export interface ReportRunsRequest {
	readonly report: RunReport;
	/** Whether it was forwarded by a control instance that assumes the receiver to be the leader. */
	readonly isForwarded: boolean;
}

/** Acknowledges that the report is in the replicated log. */
export interface ReportRunsResponse {
	readonly received: true;
	/** Whether one of the answered requests was suspected or quarantined, by the leader's state; absent from older instances. */
	readonly wasListed?: boolean;
}

/** Synchronizes an entry instance with a control instance. */
export const syncMethod = defineUnary<SyncRequest, SyncResponse>('fleet', 'Sync');
/** Sends observations of one control instance to another. */
export const exchangeMethod = defineUnary<ExchangeRequest, ExchangeResponse>('fleet', 'Exchange');
/** Reports lost runs and answered requests for the leader to count. */
export const reportRunsMethod = defineUnary<ReportRunsRequest, ReportRunsResponse>('fleet', 'ReportRuns');
/** Submits a command to the leader. */
export const orderMethod = defineUnary<OrderRequest, OrderResponse>('fleet', 'Order');
/** Reads the table in force from the leader. */
export const readTableMethod = defineUnary<ReadTableRequest, ReadTableResponse>('fleet', 'ReadTable');
