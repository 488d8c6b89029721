/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Messages, log entries and effects of the replicated log. */

import type { Millis } from '../../../base/clock.js';

/** Name of a control instance. */
export type MemberId = string;

/** Position in the replicated log, from 1; 0 means "before the first entry". */
export type LogIndex = number;

/** Whether a member's vote counts. */
export enum MemberRole {
	Voter = 'voter',
	Learner = 'learner'
}

/** One control instance as the log knows it. */
export interface Member {
	readonly id: MemberId;
	/** Changes when the instance lost its disk; a vote under another incarnation does not count. */
	readonly incarnation: string;
	readonly address: string;
	readonly role: MemberRole;
	/** Data hall of the instance, where it is known. */
	readonly hall?: string;
	/** Index at which it was admitted; a later one in the same hall is a successor. */
	readonly admittedAt?: LogIndex;
}

/** What an entry carries. */
export enum EntryKind {
	/** First entry of a leader's term; it carries nothing. */
	NoOperation = 'noop',
	/** A command for the replicated state. */
	Command = 'command',
	/** A new list of members; it counts from the moment it is appended. */
	Members = 'members'
}

/** One entry of the replicated log. */
export interface LogEntry {
	readonly index: LogIndex;
	readonly term: number;
	readonly kind: EntryKind;
	readonly command?: unknown;
	readonly members?: readonly Member[];
}

/** The part of a replica's state that must be synced before any answer that depends on it. */
export interface HardState {
	readonly term: number;
	/** Whom this replica voted for in the term. */
	readonly votedFor?: MemberId;
}

/** Everything up to an index, in one piece. */
export interface Snapshot {
	readonly index: LogIndex;
	readonly term: number;
	readonly members: readonly Member[];
	/** The replicated state, encoded. */
	readonly data: Uint8Array;
}

/** One unit of durable writing; the parts take effect in the order cut, entries, hard state. */
export interface PersistRecord {
	/** Entries from this index on are dropped first. */
	readonly cutFrom?: LogIndex;
	readonly entries?: readonly LogEntry[];
	readonly hardState?: HardState;
	/** Replaces the whole log. */
	readonly snapshot?: Snapshot;
	/** What was known to be committed; written along with other records, and so a little behind. */
	readonly commit?: LogIndex;
}

interface MessageHeader {
	readonly from: MemberId;
	readonly fromIncarnation: string;
	readonly to: MemberId;
	/** Incarnation of the addressee as the sender knows it; empty in replies. */
	readonly toIncarnation: string;
	readonly term: number;
}

/** Asks for a vote; with `pre` it only asks whether a vote would be given. */
export interface VoteRequest extends MessageHeader {
	readonly type: 'vote';
	readonly pre: boolean;
	readonly lastIndex: LogIndex;
	readonly lastTerm: number;
}

/** Answer to a `VoteRequest`. */
export interface VoteReply extends MessageHeader {
	readonly type: 'voteReply';
	readonly pre: boolean;
	readonly granted: boolean;
}

/** Entries after `prevIndex`, or a heartbeat when there are none. */
export interface AppendRequest extends MessageHeader {
	readonly type: 'append';
	readonly prevIndex: LogIndex;
	readonly prevTerm: number;
	readonly entries: readonly LogEntry[];
	readonly commit: LogIndex;
	/** The leader's monotonic clock at sending; it comes back in the reply and renews the leader's lease. */
	readonly sentAt: Millis;
}

/** Replaces the log of a replica that is too far behind. */
export interface SnapshotRequest extends MessageHeader {
	readonly type: 'snapshot';
	readonly snapshot: Snapshot;
	readonly sentAt: Millis;
}

/** Answer to `AppendRequest` and `SnapshotRequest`. */
export interface AppendReply extends MessageHeader {
	readonly type: 'appendReply';
	readonly accepted: boolean;
	/** Accepted: the last index known to match, synced. Refused: where the leader should try next. */
	readonly index: LogIndex;
	readonly sentAt: Millis;
}

/** Any message between replicas. */
export type AgreementMessage = VoteRequest | VoteReply | AppendRequest | SnapshotRequest | AppendReply;

/** The role that a replica plays at a moment. */
export enum ReplicaRole {
	Follower = 'follower',
	PreCandidate = 'pre-candidate',
	Candidate = 'candidate',
	Leader = 'leader'
}

/** What the task must do after a step of the core, in this order. */
export interface Effects {
	/** Messages that need not wait for the disk. */
	readonly earlyMessages: AgreementMessage[];
	/** To be written and synced as one. */
	readonly records: PersistRecord[];
	/** Messages to send after the sync. */
	readonly messages: AgreementMessage[];
	/** A snapshot to restore the state from, before `committed`. */
	restore?: Snapshot;
	/** Entries to apply, in order. */
	readonly committed: LogEntry[];
}

/** Time spans of the protocol, in milliseconds. */
export interface AgreementTiming {
	readonly heartbeatMs: Millis;
	/** Least time without a leader before an election; the greatest is twice that. */
	readonly electionMinMs: Millis;
	/** How long a leader may answer reads after a quorum heard from it; less than `electionMinMs`. */
	readonly leaseMs: Millis;
}

/** Defaults that hold with 35 ms one way between regions. */
export const DEFAULT_TIMING: AgreementTiming = { heartbeatMs: 100, electionMinMs: 600, leaseMs: 450 };
