/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Fleet service of a control instance, used by the servers for operators, targets and callers. */

import type { Millis } from '../../../base/clock.js';
import type { Team } from '../../routes/common/routeTable.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { QuarantineRecord } from './quarantineTypes.js';
import type {
	EntryDescription,
	FleetResult,
	PublishedTable,
	PublishTableCommand,
	TargetDescription
} from './fleetTypes.js';

/** The request could not be completed or its outcome is unknown; the client should try another control instance. */
export class FleetUnavailableError extends Error {
	constructor(message: string) {
		super(message);
		this.name = 'FleetUnavailableError';
	}
}

/** A heartbeat as received from a target. */
export interface TargetHeartbeat {
	readonly description: TargetDescription;
	/** Whether the target is about to shut down. */
	readonly isLeaving: boolean;
	/** Increases with each heartbeat of one incarnation of a target. */
	readonly sequence: number;
	/** How much longer the target is cold. */
	readonly coldLeftMs: Millis;
}

/** Commands, heartbeats and look-ups at a control instance. */
export interface IFleetControl {
	/**
	 * Publishes a table.
	 * @throws FleetUnavailableError no leader responded, or the outcome is unknown
	 */
	publishTable(command: PublishTableCommand): Promise<FleetResult>;
	/**
	 * Drains a data hall or puts it back in service, unless another order for the hall comes before.
	 * @param hasCallerLeft whether the caller no longer waits; the order is then dropped, as a later one may have been given elsewhere
	 * @throws FleetUnavailableError the caller has left, no leader responded, or the outcome is unknown
	 */
	setHall(hall: string, isDrained: boolean, hasCallerLeft: () => Promise<boolean>): Promise<FleetResult>;
	/**
	 * Reads the table in force from the leader; undefined if none was published.
	 * @throws FleetUnavailableError no leader could be reached
	 */
	readTable(): Promise<PublishedTable | undefined>;
	/**
	 * Processes a heartbeat; resolves when the resulting change is in the replicated log.
	 * @throws FleetUnavailableError this control instance has no recent contact with the leader
	 */
	heartbeat(heartbeat: TargetHeartbeat): Promise<void>;
	/**
	 * Marks a target as gone; resolves when the change is in the replicated log.
	 * @param hasCallerLeft whether the caller no longer waits; a request that may be about an earlier incarnation is then dropped
	 * @throws FleetUnavailableError the caller has left, no leader responded, or the outcome is unknown
	 */
	removeTarget(id: string, hasCallerLeft: () => Promise<boolean>): Promise<void>;
	/** A team of the table in force, as known to this instance; undefined if there is none of that name. */
	team(name: string): Team | undefined;
	/**
	 * Suspected and quarantined requests, oldest first.
	 * @throws FleetUnavailableError this control instance may not have all of them
	 */
	quarantine(): readonly QuarantineRecord[];
	/**
	 * Clears a suspected or quarantined request; resolves to false if it was not known here.
	 * @throws FleetUnavailableError no leader could be reached
	 */
	release(digest: string): Promise<boolean>;
	/** Ready entry instances for a caller in a region; empty while too few entry instances have reported since the start. */
	lookUp(region: string, hall: string): EntryDescription[];
}

/** Identifier of the fleet service of control instances. */
export const IFleetControl = createServiceIdentifier<IFleetControl>('fleetControl');
