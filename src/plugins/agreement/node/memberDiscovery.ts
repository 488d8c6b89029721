/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** How a replica finds the others: it says hello to those that it knows of, until it is one of the members. */

import { systemClock } from '../../../base/clock.js';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { AgreementCore, ReplicaIdentity } from '../common/agreementCore.js';
import { helloMethod, type HelloResponse } from './agreementWire.js';

const HELLO_INTERVAL_MS = 200;
const HELLO_TIMEOUT_MS = 1000;
/** A replica that knows no leader for this long asks the seeds too. */
const LEADERLESS_MS = 1500;

/** Another control instance, as the settings list it. */
export interface ListedPeer {
	readonly name: string;
	readonly address: string;
}

/** The replica's search for the others. */
export class MemberDiscovery {
	/** Addresses heard of while looking for the leader. */
	private readonly _heardOf = new Set<string>();

	constructor(
		private readonly _wire: IPeerCalls,
		private readonly _core: AgreementCore,
		private readonly _identity: ReplicaIdentity
	) {}

	/**
	 * Where members are learned: a replica that is not one, or that hears no leader, says hello to the seeds and to all it
	 * heard of, until a leader has admitted it or answers again.
	 * @param seeds peer addresses of the seeds, as the settings have them now
	 */
	async keepInTouch(seeds: () => readonly string[]): Promise<void> {
		let leaderAt = systemClock.now();
		for (;;) {
			const isMember = this._isListed();
			if (this._core.leader !== undefined) {
				leaderAt = systemClock.now();
			}
			if (!isMember || systemClock.now() - leaderAt > LEADERLESS_MS) {
				await this._sayHello(seeds(), !isMember || this._core.leader === undefined);
			}
			await pause();
		}
	}

	/**
	 * A blank replica asks all others who they are. Only when every listed instance answers that it is blank too is this
	 * a first start; then the one with the lowest name founds the system. Otherwise the leader admits this replica.
	 * @param found founds the system
	 */
	async introduce(others: readonly ListedPeer[], found: () => void): Promise<void> {
		const isFirst = others.every(({ name }) => this._identity.id < name);
		while (!this._core.isVoter) {
			const request = { identity: this._identity, isBlank: true, asksToJoin: true };
			const calls = others.map(({ address }) => this._wire.call(address, helloMethod, request, HELLO_TIMEOUT_MS));
			const answers = await Promise.allSettled(calls);
			const isFirstStart = answers.every(answer => answer.status === 'fulfilled' && isBlankAnswer(answer.value));
			if (isFirst && isFirstStart && this._core.isBlank) {
				found();
			}
			await pause();
		}
	}

	private _isListed(): boolean {
		const { id, incarnation, hall } = this._identity;
		return this._core.members.some(
			member => member.id === id && member.incarnation === incarnation && member.hall === hall
		);
	}

	private async _sayHello(seeds: readonly string[], asksToJoin: boolean): Promise<void> {
		this._core.members.forEach(member => this._heardOf.add(member.address));
		const addresses = new Set([...seeds, ...this._heardOf]);
		addresses.delete(this._identity.address);
		const request = { identity: this._identity, isBlank: this._core.isBlank, asksToJoin };
		const calls = [...addresses].map(address => this._wire.call(address, helloMethod, request, HELLO_TIMEOUT_MS));
		for (const answer of await Promise.allSettled(calls)) {
			if (answer.status === 'fulfilled') {
				answer.value.memberAddresses.forEach(address => this._heardOf.add(address));
			}
		}
	}
}

function isBlankAnswer(answer: HelloResponse): boolean {
	return answer.isBlank;
}

function pause(): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, HELLO_INTERVAL_MS));
}
