/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Peer discovery: a replica sends hello requests to the peers it knows until it is a member. */

import { systemClock } from '../../../base/clock.js';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { AgreementCore, ReplicaIdentity } from '../common/agreementCore.js';
import type { MemberListVersion } from '../common/agreementTypes.js';
import { helloMethod, type HelloResponse } from './agreementWire.js';

const HELLO_INTERVAL_MS = 200;
const HELLO_TIMEOUT_MS = 1000;
/** A member that has had no leader for this long sends hello requests again. */
const LEADER_TIMEOUT_MS = 1500;

/** Another control instance listed in the settings. */
export interface ConfiguredPeer {
	readonly name: string;
	readonly address: string;
}

/** Introduces a replica to its peers, so that the leader admits it. */
export class MemberDiscovery {
	/** Addresses of all members that were ever in a member list here or in a hello response. */
	private readonly _knownAddresses = new Set<string>();
	/** Member list that each replica sent last, by its address. */
	private readonly _receivedLists = new Map<string, MemberListVersion>();

	constructor(
		private readonly _peerCalls: IPeerCalls,
		private readonly _core: AgreementCore,
		private readonly _identity: ReplicaIdentity
	) {}

	/**
	 * Keeps this replica a member where members are discovered: while it is not a member, or has had no leader for the
	 * leader timeout, it sends hello requests to the seeds and to all known addresses. Never resolves.
	 * @param seeds returns the peer addresses of the seeds in the current settings
	 */
	async maintainMembership(seeds: () => readonly string[]): Promise<void> {
		let lastLeaderAt = systemClock.now();
		for (;;) {
			const isMember = this._isMember();
			if (this._core.leader !== undefined) {
				lastLeaderAt = systemClock.now();
			}
			let hasNewList = false;
			if (!isMember || systemClock.now() - lastLeaderAt > LEADER_TIMEOUT_MS) {
				hasNewList = await this._sendHello(seeds(), !isMember || this._core.leader === undefined);
			}
			if (isMember || !hasNewList) {
				await pause();
			}
		}
	}

	/**
	 * Introduces a replica with an empty log to all listed peers until it is a voter. Only if every peer responds that its
	 * log is empty too is this the first start, and the replica with the lowest name bootstraps the system. Otherwise the
	 * leader admits this replica.
	 * @param bootstrap initializes the log with this replica as the only voter
	 */
	async joinOrBootstrap(others: readonly ConfiguredPeer[], bootstrap: () => void): Promise<void> {
		const hasLowestName = others.every(({ name }) => this._identity.id < name);
		while (!this._core.isVoter) {
			const calls = others.map(({ address }) => this._hello(address, true));
			const responses = await Promise.allSettled(calls);
			this._recordLists(
				others.map(({ address }) => address),
				responses
			);
			const areAllBlank = responses.every(
				response => response.status === 'fulfilled' && isBlankResponse(response.value)
			);
			if (hasLowestName && areAllBlank && this._core.isBlank) {
				bootstrap();
			}
			await pause();
		}
	}

	private _isMember(): boolean {
		const { id, incarnation, hall } = this._identity;
		return this._core.members.some(
			member => member.id === id && member.incarnation === incarnation && member.hall === hall
		);
	}

	/** @returns whether a replica sent a member list that it had not sent before, so that a request to join can name it */
	private async _sendHello(seeds: readonly string[], asksToJoin: boolean): Promise<boolean> {
		this._core.members.forEach(member => this._knownAddresses.add(member.address));
		const addressSet = new Set([...seeds, ...this._knownAddresses]);
		addressSet.delete(this._identity.address);
		const addresses = [...addressSet];
		const responses = await Promise.allSettled(addresses.map(address => this._hello(address, asksToJoin)));
		for (const response of responses) {
			if (response.status === 'fulfilled') {
				response.value.memberAddresses.forEach(address => this._knownAddresses.add(address));
			}
		}
		return this._recordLists(addresses, responses);
	}

	private _hello(address: string, asksToJoin: boolean): Promise<HelloResponse> {
		const { isBlank } = this._core;
		const request = { identity: this._identity, isBlank, asksToJoin, memberList: this._receivedLists.get(address) };
		return this._peerCalls.call(address, helloMethod, request, HELLO_TIMEOUT_MS);
	}

	/** @returns whether a list differs from the one that its replica sent before */
	private _recordLists(
		addresses: readonly string[],
		responses: readonly PromiseSettledResult<HelloResponse>[]
	): boolean {
		let hasNewList = false;
		responses.forEach((response, i) => {
			const list = response.status === 'fulfilled' ? response.value.memberList : undefined;
			const before = this._receivedLists.get(addresses[i]!);
			if (list && (list.term !== before?.term || list.index !== before.index)) {
				this._receivedLists.set(addresses[i]!, list);
				hasNewList = true;
			}
		});
		return hasNewList;
	}
}

function isBlankResponse(response: HelloResponse): boolean {
	return response.isBlank;
}

function pause(): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, HELLO_INTERVAL_MS));
}
