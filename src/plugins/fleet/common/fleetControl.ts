/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What a control instance offers to whoever speaks with operators, targets and callers. */

import type { Millis } from '../../../base/clock.js';
import type { Team } from '../../routes/common/routeTable.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { QuarantineRecord } from './quarantineTypes.js';
import type { EntryDescription, FleetCommand, FleetResult, PublishedTable, TargetDescription } from './fleetTypes.js';

/** The order has no certain outcome here and now; the caller should ask another control instance. */
export class FleetUnavailableError extends Error {
	constructor(message: string) {
		super(message);
		this.name = 'FleetUnavailableError';
	}
}

/** A heartbeat of a target. */
export interface TargetHeartbeat {
	readonly description: TargetDescription;
	readonly isLeaving: boolean;
	/** Grows with each heartbeat of one target. */
	readonly sequence: number;
	readonly coldLeftMs: Millis;
}

/** Orders, heartbeats and look-ups on a control instance. */
export interface IFleetControl {
	/**
	 * Has the leader carry out an order.
	 * @throws FleetUnavailableError no leader answered, or the outcome is not known
	 */
	order(command: FleetCommand): Promise<FleetResult>;
	/**
	 * The table in force, as the leader has it.
	 * @throws FleetUnavailableError no leader could be asked
	 */
	readTable(): Promise<PublishedTable | undefined>;
	/**
	 * Takes a heartbeat in; resolves when what it changed is in the replicated log.
	 * @throws FleetUnavailableError this control instance is cut off
	 */
	heartbeat(heartbeat: TargetHeartbeat): Promise<void>;
	/** A target says that it is going; resolves when that is in the replicated log. */
	removeTarget(id: string): Promise<void>;
	/** A team of the table that this instance knows to be in force; undefined for none. */
	team(name: string): Team | undefined;
	/**
	 * The suspected and quarantined requests, the oldest first.
	 * @throws FleetUnavailableError this control instance may not know all of them
	 */
	quarantine(): readonly QuarantineRecord[];
	/**
	 * Lets a request in again; false where nothing was known of it.
	 * @throws FleetUnavailableError the leader could not be asked
	 */
	release(digest: string): Promise<boolean>;
	/** The entry instances that a caller in a hall should use, best first. */
	lookUp(region: string, hall: string): EntryDescription[];
}

/** Identifier of the fleet's control side. */
export const IFleetControl = createServiceIdentifier<IFleetControl>('fleetControl');
