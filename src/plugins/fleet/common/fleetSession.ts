/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Session of an entry instance with the control instances. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { ReportedLimit } from './fleetWire.js';
import type { FleetView } from './fleetView.js';
import type { ObservedLostRun } from './quarantineTypes.js';
import type { WorkByTarget } from './requestedWork.js';

/** Keeps the fleet view up to date and reports to the control instances. */
export interface IFleetSession {
	readonly view: FleetView;
	/** Peer addresses of the control instances, the one in use first. */
	controlAddresses(): readonly string[];
	/** Upper bound of the view's age; infinite before the first current response and after a suspension of the process. */
	ageMs(): Millis;
	/** Sets the number of slots that this instance's callers need, by service; sent with the next sync. */
	setDemand(demand: Readonly<Record<string, number>>): void;
	/** Adds work requested at the primary targets of the requested objects; sent with the next sync. */
	addRequestedWork(workByTarget: WorkByTarget): void;
	/** Reports a lost run: a request whose target stopped while executing it. Sent at once, and retried until acknowledged. */
	reportRun(run: ObservedLostRun): void;
	/** Reports that a target answered a suspected or quarantined request; sent like a lost run. */
	reportAnswer(digest: string): void;
	/** Reports when a target last answered a request that became suspected after that; sent like a lost run. */
	reportEarlierAnswer(digest: string, answeredAt: Millis): void;
	/** Sets the target limits that are missing from the replicated records; sent with each sync, and at once if `hasChanged`. */
	reportLimits(limits: readonly ReportedLimit[], hasChanged: boolean): void;
	/** Sets whether this instance accepts callers; sent at once. */
	setReady(isReady: boolean): void;
	/** Sets whether this instance is partitioned from all targets; sent at once. */
	setPartitioned(isPartitioned: boolean): void;
}

/** Identifier of the session of an entry instance with the control instances. */
export const IFleetSession = createServiceIdentifier<IFleetSession>('fleetSession');
