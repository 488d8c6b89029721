/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Interface to the rate limits that targets set for all instances together. */

import type { Millis } from '../../../base/clock.js';
import type { Event } from '../../../base/event.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { LimitChange, LimitReport } from './targetLimit.js';

/** A change of the known limit of a target. */
export interface TargetLimitEvent {
	readonly record: TargetRecord;
	readonly change: LimitChange;
	/** Requests per second; undefined if it no longer has a limit. */
	readonly perSecond: number | undefined;
	/** Whether the change came from a response of the target or from its record. */
	readonly source: 'target' | 'control';
}

/** A target with a rate limit. */
export interface LimitedTarget {
	readonly id: string;
	readonly service: string;
	/** Requests per second. */
	readonly perSecond: number;
}

/** Permission to send one request to a target with a limit. */
export interface IPermit {
	/** Returns the permit if its request was not sent. */
	giveBack(): void;
}

/** Remaining capacity within the limits of targets, as known to this instance. */
export interface ITargetLimitStatus {
	/** Requests per second that a target accepts from all instances together; undefined if it has no limit. */
	perSecond(record: TargetRecord, now: Millis): number | undefined;
	/**
	 * Whether a target has no limit, or a permit may be available.
	 * @param mayAskOthers whether a permit may be requested from another instance
	 */
	hasCapacity(record: TargetRecord, mayAskOthers: boolean, now: Millis): boolean;
	/** Time until a permit may be available; 0 if one may be available now. */
	permitWaitMs(record: TargetRecord, now: Millis): Millis;
}

/** The limits of targets at one entry instance. */
export interface ITargetLimits extends ITargetLimitStatus {
	/** Fires when a known limit has changed. */
	readonly onDidChange: Event<TargetLimitEvent>;
	/** Applies the limit reported in a response of a target. */
	applyReport(record: TargetRecord, report: LimitReport): void;
	/** Since when the current limit of a target, or its absence, is known. */
	knownSince(record: TargetRecord): Millis;
	/** Takes a permit for one request to a target with a limit, from this instance's share or from another instance; undefined if none is available. */
	acquirePermit(record: TargetRecord): IPermit | undefined | Promise<IPermit | undefined>;
	/** The targets that have a limit now. */
	limitedTargets(): readonly LimitedTarget[];
}

/** Identifier of the limits of targets. */
export const ITargetLimits = createServiceIdentifier<ITargetLimits>('targetLimits');
