/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The methods between entry and control instances, and among control instances, that keep the fleet's state. */

import type { Millis } from '../../../base/clock.js';
import { defineUnary } from '../../../kernel/common/peerMethods.js';
import type {
	EntryDescription,
	EntrySighting,
	FleetChanges,
	FleetCommand,
	FleetResult,
	HeartbeatWord,
	PublishedTable
} from './fleetTypes.js';
import type { KnownRequests, RunReport } from './quarantineTypes.js';
import type { CrowdedTarget, WorkByTarget } from './targetNeeds.js';

/** An entry instance says that it is there and asks for what changed. */
export interface SyncRequest {
	readonly entry: EntryDescription;
	/** What its callers asked for at the first targets of their objects, since the last call. */
	readonly needs: WorkByTarget;
	/** Limits that targets named, or ended, to this instance, and that the records of these targets do not have. */
	readonly limits: readonly ToldLimit[];
	/** Revision of the suspected and quarantined requests that it holds; 0 for none. */
	readonly quarantineRevision: number;
	/** How long to wait for a change before answering. */
	readonly waitMs: Millis;
}

/** What one life of a target says that it takes from all instances together. */
export interface ToldLimit {
	readonly id: string;
	readonly bornAt: number;
	/** Requests a second; `null` where it names no limit any more. */
	readonly perSecond: number | null;
}

/** An entry instance that holds a part of a target's limit. */
export interface SenderAddress {
	readonly name: string;
	/** Address for calls between processes. */
	readonly address: string;
}

/** A control instance and where it is. */
export interface ControlAddress {
	/** Address for calls between processes. */
	readonly address: string;
	/** Its data hall, where it is known. */
	readonly hall?: string;
}

/** A target that is cold, and for how much longer. */
export interface ColdTarget {
	readonly id: string;
	readonly leftMs: Millis;
}

/** What the control instance knows. */
export interface SyncResponse {
	readonly changes: FleetChanges;
	/** The suspected and quarantined requests, where the caller holds an earlier revision of them. */
	readonly quarantine?: KnownRequests;
	readonly controls: readonly ControlAddress[];
	/** How long ago the answerer was known to be current. */
	readonly contactAgeMs: Millis;
	/**
	 * Whether the answerer has heard of all that the others hear. Otherwise what it says of entry instances, of silence and
	 * of needs is a part of what there is, and only somebody who knows nothing goes by it.
	 */
	readonly hasHeardAll: boolean;
	/** Number of entry instances in the system. */
	readonly entryCount: number;
	/** Names of the entry instances of the caller's region. */
	readonly regionEntries: readonly string[];
	/** Addresses for calls between processes of the other entry instances of the caller's data hall. */
	readonly hallPeers: readonly string[];
	/** The senders of targets that name a limit, as far as they are heard. */
	readonly limitSenders: readonly SenderAddress[];
	/** Targets whose heartbeats are overdue. */
	readonly silentTargets: readonly string[];
	readonly coldTargets: readonly ColdTarget[];
	/** Targets that keep a part of their objects only. */
	readonly crowdedTargets: readonly CrowdedTarget[];
	/** Slots that the callers of each region need, by service and region. */
	readonly demand: RegionDemand;
}

/** Slots needed, by service and region. */
export type RegionDemand = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** A heartbeat as another control instance received it. */
export interface HeartbeatSighting extends HeartbeatWord {
	readonly ageMs: Millis;
}

/** What a control instance heard itself since the last exchange. */
export interface ExchangeRequest {
	/** Id of the control instance that heard it. */
	readonly from: string;
	readonly entries: readonly EntrySighting[];
	readonly heartbeats: readonly HeartbeatSighting[];
	/** What entry instances told it of their callers' needs. */
	readonly needs: WorkByTarget;
}

/** Nothing: the other side sends its own. */
export interface ExchangeResponse {
	readonly received: true;
}

/** An order for the leader. */
export interface OrderRequest {
	readonly command: FleetCommand;
}

/** The result; absent where the answerer does not lead. */
export interface OrderResponse {
	readonly result?: FleetResult;
}

/** Asks the leader for the table in force. */
export interface ReadTableRequest {
	readonly kind: 'table';
}

/** The table; `isLeader` says whether the answer counts. */
export interface ReadTableResponse {
	readonly isLeader: boolean;
	readonly published?: PublishedTable;
}

/** Tells of runs that ended their target, or of answers to suspected requests. */
export interface ReportRunsRequest {
	readonly report: RunReport;
	/** Whether it comes from a control instance, which takes the receiver for the leader. */
	readonly isForwarded: boolean;
}

/** The report is in the replicated log. */
export interface ReportRunsResponse {
	readonly received: true;
}

/** Keeps an entry instance up to date. */
export const syncMethod = defineUnary<SyncRequest, SyncResponse>('fleet', 'Sync');
/** Spreads sightings among control instances. */
export const exchangeMethod = defineUnary<ExchangeRequest, ExchangeResponse>('fleet', 'Exchange');
/** Has the leader count what an entry instance tells of requests. */
export const reportRunsMethod = defineUnary<ReportRunsRequest, ReportRunsResponse>('fleet', 'ReportRuns');
/** Hands an order to the leader. */
export const orderMethod = defineUnary<OrderRequest, OrderResponse>('fleet', 'Order');
/** Reads the table in force at the leader. */
export const readTableMethod = defineUnary<ReadTableRequest, ReadTableResponse>('fleet', 'ReadTable');
