/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Messages, log entries and effects of the replicated log. */

import type { Millis } from '../../../base/clock.js';

/** Unique id of a replica: the name of its control instance, or its peer address where members are discovered. */
export type MemberId = string;

/** Position in the replicated log, starting at 1; 0 is the position before the first entry. */
export type LogIndex = number;

/** Whether a member counts towards the quorum. */
export enum MemberRole {
	Voter = 'voter',
	Learner = 'learner'
}

/** A control instance in the replicated member list. */
export interface Member {
	readonly id: MemberId;
	/** Identifies the disk contents; a replica that lost its disk gets a new one, and messages under any other do not count. */
	readonly incarnation: string;
	readonly address: string;
	readonly role: MemberRole;
	/** Data hall of the instance, if known. */
	readonly hall?: string;
	/** Log index at which the member was admitted; a member admitted later in the same hall can replace it. */
	readonly admittedAt?: LogIndex;
}

/** A member list of one replica: no other list of that replica has the same term and index. */
export interface MemberListVersion {
	/** Current term of the replica. */
	readonly term: number;
	/** Index of the entry, or of the snapshot, that the list is from. */
	readonly index: LogIndex;
}

/** Type of a log entry. */
export enum EntryKind {
	/** First entry of a leader's term, without a payload. */
	NoOperation = 'noop',
	/** A command for the replicated state. */
	Command = 'command',
	/** A new member list, in force as soon as it is appended. */
	Members = 'members'
}

/** An entry of the replicated log. */
export interface LogEntry {
	readonly index: LogIndex;
	readonly term: number;
	readonly kind: EntryKind;
	readonly command?: unknown;
	readonly members?: readonly Member[];
}

/** State that must be synced to disk before any message that depends on it is sent. */
export interface HardState {
	readonly term: number;
	/** Candidate that this replica voted for in the term. */
	readonly votedFor?: MemberId;
}

/** The replicated state and the member list as of a log index. */
export interface Snapshot {
	readonly index: LogIndex;
	readonly term: number;
	readonly members: readonly Member[];
	/** The replicated state, encoded with MessagePack. */
	readonly data: Uint8Array;
}

/** A record of the log file; its parts are applied in the order snapshot, truncation, entries, hard state. */
export interface PersistRecord {
	/** Truncates the log: entries from this index on are removed before `entries` are appended. */
	readonly cutFrom?: LogIndex;
	readonly entries?: readonly LogEntry[];
	readonly hardState?: HardState;
	/** Replaces the whole log. */
	readonly snapshot?: Snapshot;
	/** Last index known to be committed; written only together with other records, so it may lag behind. */
	readonly commit?: LogIndex;
}

interface MessageHeader {
	readonly from: MemberId;
	readonly fromIncarnation: string;
	readonly to: MemberId;
	/** Incarnation of the recipient as known to the sender; an empty one is accepted by any recipient. */
	readonly toIncarnation: string;
	readonly term: number;
}

/** Requests a vote; with `pre` it only asks whether a vote would be granted. */
export interface VoteRequest extends MessageHeader {
	readonly type: 'vote';
	readonly pre: boolean;
	readonly lastIndex: LogIndex;
	readonly lastTerm: number;
}

/** Response to a `VoteRequest`. */
export interface VoteReply extends MessageHeader {
	readonly type: 'voteReply';
	readonly pre: boolean;
	readonly granted: boolean;
}

/** Entries that follow `prevIndex`; without entries it is a heartbeat. */
export interface AppendRequest extends MessageHeader {
	readonly type: 'append';
	readonly prevIndex: LogIndex;
	readonly prevTerm: number;
	readonly entries: readonly LogEntry[];
	readonly commit: LogIndex;
	/** Monotonic time of the leader when it sent the request; returned in the reply to renew the leader's lease. */
	readonly sentAt: Millis;
}

/** Replaces the log of a replica that lacks entries which the leader has already compacted. */
export interface SnapshotRequest extends MessageHeader {
	readonly type: 'snapshot';
	readonly snapshot: Snapshot;
	readonly sentAt: Millis;
}

/** Response to `AppendRequest` and `SnapshotRequest`. */
export interface AppendReply extends MessageHeader {
	readonly type: 'appendReply';
	readonly accepted: boolean;
	/** If accepted, the last index that is synced and matches the leader's log; otherwise the index to retry after. */
	readonly index: LogIndex;
	readonly sentAt: Millis;
}

/** Any message between replicas. */
export type AgreementMessage = VoteRequest | VoteReply | AppendRequest | SnapshotRequest | AppendReply;

/** Current role of a replica in the protocol. */
export enum ReplicaRole {
	Follower = 'follower',
	PreCandidate = 'pre-candidate',
	Candidate = 'candidate',
	Leader = 'leader'
}

/** What the task must do after a step of the core, in the order of the fields. */
export interface Effects {
	/** Messages that may be sent before `records` are synced. */
	readonly earlyMessages: AgreementMessage[];
	/** Records to write with a single sync. */
	readonly records: PersistRecord[];
	/** Messages to send once `records` are synced. */
	readonly messages: AgreementMessage[];
	/** Snapshot to restore the replicated state from before `committed` is applied. */
	restore?: Snapshot;
	/** Committed entries to apply, in order. */
	readonly committed: LogEntry[];
}

/** Intervals and timeouts of the protocol, in milliseconds. */
export interface AgreementTiming {
	readonly heartbeatMs: Millis;
	/** Minimum election timeout; timeouts are drawn at random between this and twice this. */
	readonly electionMinMs: Millis;
	/** How long after the last quorum contact a leader may answer reads; less than `electionMinMs`. */
	readonly leaseMs: Millis;
}

/** Defaults for a one-way latency of 35 ms between regions. */
export const DEFAULT_TIMING: AgreementTiming = { heartbeatMs: 100, electionMinMs: 600, leaseMs: 450 };
