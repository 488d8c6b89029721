/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Elections of one replica: pre-vote, vote, and what is answered to other candidates. */

import type { Millis } from '../../../base/clock.js';
import { ReplicaRole, type MemberId, type VoteReply, type VoteRequest } from './agreementTypes.js';
import { quorumSize, votersOf } from './memberList.js';
import type { ReplicaState } from './replicaState.js';

/** What an election needs of the rest of the replica. */
export interface ElectionHost {
	/** Whether a leader was heard from lately, so that no other one is wanted. */
	isLeaderAlive(now: Millis): boolean;
	/** A quorum has voted for this replica. */
	onElected(now: Millis): void;
}

/** The elections of one replica. */
export class Election {
	private _votes = new Set<MemberId>();

	constructor(
		private readonly _state: ReplicaState,
		private readonly _host: ElectionHost
	) {}

	/** Asks whether an election would be won; a replica that is no voter asks nothing. */
	startPreVote(now: Millis): void {
		const state = this._state;
		state.leader = undefined;
		if (!state.isVoter) {
			state.postponeElection(now);
			return;
		}
		state.repeatPreVote(now);
		state.role = ReplicaRole.PreCandidate;
		this._requestVotes(true, now);
	}

	/** Answers a candidate. */
	onRequest(request: VoteRequest, now: Millis): void {
		const state = this._state;
		const granted =
			this._isUpToDate(request) && this._isFree(request) && !state.log.isBlank && !this._host.isLeaderAlive(now);
		if (granted && !request.pre) {
			state.setTerm(state.term, request.from);
			state.postponeElection(now);
		}
		state.effects.messages.push({
			...state.header(request.from, request.fromIncarnation),
			type: 'voteReply',
			pre: request.pre,
			granted,
			term: granted ? request.term : state.term
		});
	}

	/** Counts a vote for this replica. */
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

	private _isFree(request: VoteRequest): boolean {
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
		state.repeatElection(now);
		this._requestVotes(false, now);
	}

	private _requestVotes(pre: boolean, now: Millis): void {
		const state = this._state;
		this._votes = new Set([state.self.id]);
		for (const member of votersOf(state.members)) {
			if (!state.isSelf(member)) {
				state.effects.messages.push({
					...state.header(member.id, member.incarnation),
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
