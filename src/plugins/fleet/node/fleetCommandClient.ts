/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Submits commands on the fleet state to the leader, reads from it, and waits until entry instances apply the changes. */

import { type Millis, systemClock } from '../../../base/clock.js';
import type { IPeerCalls } from '../../../kernel/common/peerCalls.js';
import type { IAgreement } from '../../agreement/common/agreement.js';
import { FleetUnavailableError } from '../common/fleetControl.js';
import type { FleetState } from '../common/fleetState.js';
import {
	FLEET_PART,
	type FleetCommand,
	type FleetResult,
	type FleetRevision,
	type PublishedTable
} from '../common/fleetTypes.js';
import { orderMethod, readTableMethod, type ReadTableResponse } from '../common/fleetWire.js';
import type { LivenessTracker } from '../common/livenessTracker.js';

const LEADER_CALL_TIMEOUT_MS = 800;
/**
 * Maximum time from the arrival of a command until it is acknowledged. The acknowledgement waits until the entry instances report
 * that they apply the change, but a disconnected one never does. Below one second, after which clients try another instance.
 */
const MAX_APPLY_WAIT_MS: Readonly<Record<FleetCommand['type'], Millis>> = {
	publishTable: 700,
	setHall: 600,
	changeTargets: 600,
	paceTargets: 600
};
const APPLY_POLL_INTERVAL_MS = 20;
/** Attempts at a change of a record that other changes come before, each based on the one before. */
const MAX_CHANGE_ATTEMPTS = 3;

/** Whether the caller that asked for a change no longer waits for it, so that it may have asked for another one elsewhere. */
export type HasCallerLeft = () => Promise<boolean>;

/** Executes commands on behalf of this control instance. */
export class FleetCommandClient {
	constructor(
		private readonly _calls: IPeerCalls,
		private readonly _agreement: IAgreement,
		private readonly _state: FleetState,
		private readonly _liveness: LivenessTracker
	) {
		_calls.handleUnary(orderMethod, async request => ({ result: await this._commitIfLeader(request.command) }));
		_calls.handleUnary(readTableMethod, async () => this._readIfLeader());
	}

	/**
	 * Executes a command at the leader and waits, for a limited time, until the live entry instances apply it.
	 * @throws FleetUnavailableError no leader responded, or the outcome is unknown
	 */
	async submit(command: FleetCommand): Promise<FleetResult> {
		const arrivedAt = systemClock.now();
		const result = await this.submitToLeader(command);
		if (result.ok) {
			await this._waitUntilApplied(result.revision, arrivedAt + MAX_APPLY_WAIT_MS[command.type]);
		}
		return result;
	}

	/**
	 * Changes a record for a caller. The command names the revision of the record that it is based on and is refused after any other
	 * change, however long it is delayed on its way to the leader. A refused command is based on the newest revision instead only while
	 * the caller waits.
	 * @param base revision of the record as known to this instance
	 * @throws FleetUnavailableError the caller has left, no leader responded, or the outcome is unknown
	 */
	async submitForCaller(
		createCommand: (base: FleetRevision) => FleetCommand,
		base: FleetRevision,
		hasCallerLeft: HasCallerLeft
	): Promise<FleetResult> {
		let newestBase = base;
		for (let attempt = 0; attempt < MAX_CHANGE_ATTEMPTS; attempt++) {
			if (await hasCallerLeft()) {
				throw new FleetUnavailableError('the caller has left, and may have given later orders elsewhere');
			}
			const result = await this.submit(createCommand(newestBase));
			if (result.ok || result.changedAt === undefined) {
				return result;
			}
			newestBase = result.changedAt;
		}
		throw new FleetUnavailableError('other changes of the same record come first');
	}

	/**
	 * Executes a command at the leader; resolves once it is committed.
	 * @throws FleetUnavailableError no leader responded, or the outcome is unknown
	 */
	async submitToLeader(command: FleetCommand): Promise<FleetResult> {
		const localResult = await this._commitIfLeader(command);
		if (localResult) {
			return localResult;
		}
		const response = await this._callLeader(address =>
			this._calls.call(address, orderMethod, { command }, LEADER_CALL_TIMEOUT_MS)
		);
		if (!response.result) {
			throw new FleetUnavailableError('the control instance called is not the leader');
		}
		return response.result;
	}

	/** Waits until an earlier change of a target is applied, with the same time limit as for a new target command. */
	waitUntilTargetChangeApplied(revision: FleetRevision): Promise<void> {
		return this._waitUntilApplied(revision, systemClock.now() + MAX_APPLY_WAIT_MS.changeTargets);
	}

	/**
	 * Reads the published table at the leader.
	 * @throws FleetUnavailableError no leader could be reached
	 */
	async readTable(): Promise<PublishedTable | undefined> {
		let response = this._readIfLeader();
		if (!response.isLeader) {
			response = await this._callLeader(address =>
				this._calls.call(address, readTableMethod, { kind: 'table' }, LEADER_CALL_TIMEOUT_MS)
			);
		}
		if (!response.isLeader) {
			throw new FleetUnavailableError('no leader could be reached');
		}
		return response.published;
	}

	/** Commits a command if this instance is the leader; returns undefined if it is not. */
	private async _commitIfLeader(command: FleetCommand): Promise<FleetResult | undefined> {
		if (!this._agreement.hasLease()) {
			return undefined;
		}
		try {
			return await this._agreement.propose<FleetResult>({ part: FLEET_PART, body: command });
		} catch (error) {
			throw new FleetUnavailableError((error as Error).message);
		}
	}

	private _readIfLeader(): ReadTableResponse {
		if (!this._agreement.hasLease()) {
			return { isLeader: false };
		}
		return { isLeader: true, published: this._state.published };
	}

	private async _callLeader<S>(call: (address: string) => Promise<S>): Promise<S> {
		const { leader, id, members } = this._agreement.status();
		const address = members.find(member => member.id === leader)?.address;
		if (leader === id || !address) {
			throw new FleetUnavailableError('there is currently no leader');
		}
		try {
			return await call(address);
		} catch (error) {
			throw new FleetUnavailableError((error as Error).message);
		}
	}

	private async _waitUntilApplied(revision: FleetRevision, deadline: Millis): Promise<void> {
		for (;;) {
			const now = systemClock.now();
			if (this._liveness.isAppliedByLiveEntries(revision, now) || now >= deadline) {
				return;
			}
			await new Promise(resolve => setTimeout(resolve, APPLY_POLL_INTERVAL_MS));
		}
	}
}
