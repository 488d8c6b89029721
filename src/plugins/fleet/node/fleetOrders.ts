/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Hands orders on the fleet's state to the leader, reads from it, and waits until orders are in force. */

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
import type { Sightings } from '../common/sightings.js';

const LEADER_CALL_TIMEOUT_MS = 800;
/**
 * An acknowledgement binds: it waits until the entry instances say that they act by the change, but no longer than this
 * from the arrival of the order, since one that is cut off says nothing. Less than a second, after which whoever waits
 * would ask another instance.
 */
const IN_FORCE_WAIT_MS: Readonly<Record<FleetCommand['type'], Millis>> = {
	publishTable: 700,
	setHall: 600,
	changeTargets: 600,
	paceTargets: 600
};
const IN_FORCE_POLL_MS = 20;

/** Orders of this control instance. */
export class FleetOrders {
	constructor(
		private readonly _calls: IPeerCalls,
		private readonly _agreement: IAgreement,
		private readonly _state: FleetState,
		private readonly _sightings: Sightings
	) {
		_calls.handleUnary(orderMethod, async request => ({ result: await this._orderHere(request.command) }));
		_calls.handleUnary(readTableMethod, async () => this._readHere());
	}

	/**
	 * Has the leader carry out an order, and waits until it is in force.
	 * @throws FleetUnavailableError no leader answered, or the outcome is not known
	 */
	async order(command: FleetCommand): Promise<FleetResult> {
		const arrivedAt = systemClock.now();
		const result = await this.orderAtLeader(command);
		if (result.ok) {
			await this._untilInForce(result.revision, arrivedAt + IN_FORCE_WAIT_MS[command.type]);
		}
		return result;
	}

	/**
	 * Has the leader carry out an order; resolves once it is committed.
	 * @throws FleetUnavailableError no leader answered, or the outcome is not known
	 */
	async orderAtLeader(command: FleetCommand): Promise<FleetResult> {
		const here = await this._orderHere(command);
		if (here) {
			return here;
		}
		const answer = await this._callLeader(address =>
			this._calls.call(address, orderMethod, { command }, LEADER_CALL_TIMEOUT_MS)
		);
		if (!answer.result) {
			throw new FleetUnavailableError('the instance that was asked does not lead');
		}
		return answer.result;
	}

	/** Waits until a change of a target that was made before is in force, as long as an order of its own would. */
	untilTargetInForce(revision: FleetRevision): Promise<void> {
		return this._untilInForce(revision, systemClock.now() + IN_FORCE_WAIT_MS.changeTargets);
	}

	/**
	 * The table in force, as the leader has it.
	 * @throws FleetUnavailableError no leader could be asked
	 */
	async readTable(): Promise<PublishedTable | undefined> {
		let answer = this._readHere();
		if (!answer.isLeader) {
			answer = await this._callLeader(address =>
				this._calls.call(address, readTableMethod, { kind: 'table' }, LEADER_CALL_TIMEOUT_MS)
			);
		}
		if (!answer.isLeader) {
			throw new FleetUnavailableError('no leader could be asked');
		}
		return answer.published;
	}

	/** Carries an order out if this instance leads; undefined where it does not. */
	private async _orderHere(command: FleetCommand): Promise<FleetResult | undefined> {
		if (!this._agreement.hasLease()) {
			return undefined;
		}
		try {
			return await this._agreement.propose<FleetResult>({ part: FLEET_PART, body: command });
		} catch (error) {
			throw new FleetUnavailableError((error as Error).message);
		}
	}

	private _readHere(): ReadTableResponse {
		if (!this._agreement.hasLease()) {
			return { isLeader: false };
		}
		return { isLeader: true, published: this._state.published };
	}

	private async _callLeader<S>(call: (address: string) => Promise<S>): Promise<S> {
		const { leader, id, members } = this._agreement.status();
		const address = members.find(member => member.id === leader)?.address;
		if (leader === id || !address) {
			throw new FleetUnavailableError('there is no leader now');
		}
		try {
			return await call(address);
		} catch (error) {
			throw new FleetUnavailableError((error as Error).message);
		}
	}

	private async _untilInForce(revision: FleetRevision, until: Millis): Promise<void> {
		for (;;) {
			const now = systemClock.now();
			if (this._sightings.isInForce(revision, now) || now >= until) {
				return;
			}
			await new Promise(resolve => setTimeout(resolve, IN_FORCE_POLL_MS));
		}
	}
}
