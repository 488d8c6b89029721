/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What an entry instance offers to its other parts: the fleet as it is known here. */

import type { Millis } from '../../../base/clock.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { ToldLimit } from './fleetWire.js';
import type { FleetView } from './fleetView.js';
import type { SeenRun } from './quarantineTypes.js';
import type { WorkByTarget } from './targetNeeds.js';

/** The session of an entry instance with control. */
export interface IFleetSession {
	/** The fleet as it is known here. */
	readonly view: FleetView;
	/** Addresses of the control instances for calls between processes, the one that answers this instance first. */
	controlAddresses(): readonly string[];
	/** How long ago the view was known to be current. */
	ageMs(): Millis;
	/** Says to control how many slots this instance's callers need, by service; sent with the next call. */
	setDemand(demand: Readonly<Record<string, number>>): void;
	/** Says to control what callers asked for at the first targets of their objects; sent with the next call. */
	addNeeds(needs: WorkByTarget): void;
	/** Tells control of a run under which its target ended; sent at once, and again until a control instance has it. */
	reportRun(run: SeenRun): void;
	/** Tells control that a target answered a suspected or quarantined request; sent in the same way. */
	reportAnswer(digest: string): void;
	/** Says to control which limits of targets its records do not have; sent at once where there is news, and with each call. */
	tellLimits(limits: readonly ToldLimit[], hasNews: boolean): void;
	/** Says to control whether callers may come; sent at once. */
	setReady(isReady: boolean): void;
}

/** Identifier of the session with control. */
export const IFleetSession = createServiceIdentifier<IFleetSession>('fleetSession');
