/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What the part that carries requests sees of the limits that targets name for all instances together. */

import type { Millis } from '../../../base/clock.js';
import type { Event } from '../../../base/event.js';
import { createServiceIdentifier } from '../../../kernel/common/serviceIdentifier.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { LimitChange, LimitWord } from './targetLimit.js';

/** What is known of a target's limit has changed. */
export interface TargetLimitEvent {
	readonly record: TargetRecord;
	readonly change: LimitChange;
	/** Requests a second; undefined where it names no limit any more. */
	readonly perSecond: number | undefined;
	/** Who said so. */
	readonly source: 'target' | 'control';
}

/** A target that names a limit. */
export interface LimitedTarget {
	readonly id: string;
	readonly service: string;
	readonly perSecond: number;
}

/** Leave to write one request to a target with a limit. */
export interface IPermit {
	/** Nothing was written. */
	giveBack(): void;
}

/** How much room there is within the limits of targets, as far as this instance knows. */
export interface ITargetRoom {
	/** Requests a second that a target takes from all instances together; undefined where it names no limit. */
	perSecond(record: TargetRecord, now: Millis): number | undefined;
	/**
	 * Whether a target has no limit, or there may be a permit for a request.
	 * @param mayAsk whether another instance may be asked for one
	 */
	isOpen(record: TargetRecord, mayAsk: boolean, now: Millis): boolean;
	/** When there may be a permit; 0 where there may be one now. */
	permitInMs(record: TargetRecord, now: Millis): Millis;
}

/** The limits of targets at one entry instance. */
export interface ITargetLimits extends ITargetRoom {
	/** Fires when what is known of a limit has changed. */
	readonly onDidChange: Event<TargetLimitEvent>;
	/** Takes in what an answer of a target says of its limit. */
	hear(record: TargetRecord, word: LimitWord): void;
	/** Since when what is known of a target's limit holds. */
	knownSince(record: TargetRecord): Millis;
	/** Takes a permit for one request to a target with a limit, of this instance's part or of another's; undefined where there is none. */
	take(record: TargetRecord): IPermit | undefined | Promise<IPermit | undefined>;
	/** The targets that name a limit now. */
	limited(): readonly LimitedTarget[];
}

/** Identifier of the limits of targets. */
export const ITargetLimits = createServiceIdentifier<ITargetLimits>('targetLimits');
