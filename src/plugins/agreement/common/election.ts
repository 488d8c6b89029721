/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Leader election: the pre-votes and votes that a replica requests, and its responses to other candidates. */

import type { Millis } from '../../../base/clock.js';
import { ReplicaRole, type MemberId, type VoteReply, type VoteRequest } from './agreementTypes.js';
import { quorumSize, votersOf } from './memberList.js';
import type { ReplicaState } from './replicaState.js';

/** What an election needs from the rest of the replica. */
export interface ElectionHost {
	/** Whether there was contact with a leader within the minimum election timeout, so that no vote is granted. */
	isLeaderAlive(now: Millis): boolean;
	/** Called when a quorum has voted for this replica. */
	onElected(now: Millis): void;
}

/** Runs the elections of a replica. */
export class Election {
	private _votes = new Set<MemberId>();

	constructor(
		private readonly _state: ReplicaState,
		private readonly _host: ElectionHost
	) {}

	/** Forgets the leader and requests pre-votes; a replica that is not a voter only resets its election timer. */
	startPreVote(now: Millis): void {
		const state = this._state;
		state.leader = undefined;
		if (!state.isVoter) {
			state.resetElectionTimer(now);
			return;
		}
		state.schedulePreVoteRetry(now);
		state.role = ReplicaRole.PreCandidate;
		this._requestVotes(true, now);
	}

	/** Responds to a candidate. */
	onRequest(request: VoteRequest, now: Millis): void {
		const state = this._state;
		const granted =
			this._isUpToDate(request) && this._canVoteFor(request) && !state.log.isBlank && !this._host.isLeaderAlive(now);
		if (granted && !request.pre) {
			state.setTerm(state.term, request.from);
			state.resetElectionTimer(now);
		}
		state.effects.messages.push({
			...state.createHeader(request.from, request.fromIncarnation),
			type: 'voteReply',
			pre: request.pre,
			granted,
			term: granted ? request.term : state.term
		});
	}

	/** Counts a vote for this replica; ignores refusals and replies to earlier requests. */
	onReply(reply: VoteReply, now: Millis): void {
		const state = this._state;
		const expectedRole = reply.pre ? ReplicaRole.PreCandidate : ReplicaRole.Candidate;
		const expectedTerm = reply.pre ? state.term + 1 : state.term;
		const voter = state.findMember(reply.from, reply.fromIncarnation);
		if (state.role !== expectedRole || !reply.granted || reply.term !== expectedTerm || !voter) {
			return;
		}
		this._votes.add(reply.from);
		this._countVotes(reply.pre, now);
	}

	private _isUpToDate(request: VoteRequest): boolean {
		const { log } = this._state;
		if (request.lastTerm !== log.lastTerm) {
			return request.lastTerm > log.lastTerm;
		}
		return request.lastIndex >= log.lastIndex;
	}

	private _canVoteFor(request: VoteRequest): boolean {
		const { term, votedFor } = this._state;
		if (request.pre) {
			return request.term > term;
		}
		return request.term === term && (votedFor === undefined || votedFor === request.from);
	}

	private _startElection(now: Millis): void {
		const state = this._state;
		state.role = ReplicaRole.Candidate;
		state.setTerm(state.term + 1, state.self.id);
		state.scheduleElectionRetry(now);
		this._requestVotes(false, now);
	}

	private _requestVotes(pre: boolean, now: Millis): void {
		const state = this._state;
		this._votes = new Set([state.self.id]);
		for (const member of votersOf(state.members)) {
			if (!state.isSelf(member)) {
				state.effects.messages.push({
					...state.createHeader(member.id, member.incarnation),
					type: 'vote',
					pre,
					term: pre ? state.term + 1 : state.term,
					lastIndex: state.log.lastIndex,
					lastTerm: state.log.lastTerm
				});
			}
		}
		this._countVotes(pre, now);
	}

	private _countVotes(pre: boolean, now: Millis): void {
		const { members } = this._state;
		const count = votersOf(members).filter(member => this._votes.has(member.id)).length;
		if (count < quorumSize(members)) {
			return;
		}
		if (pre) {
			this._startElection(now);
		} else {
			this._host.onElected(now);
		}
	}
}
