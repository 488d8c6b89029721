/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The targets of the simulation: their records, what control reports of them, and their load. */

import type { Millis } from '../../../base/clock.js';
import { type TargetRecord, TargetPhase } from '../../fleet/common/fleetTypes.js';
import type { ColdTarget } from '../../fleet/common/fleetWire.js';
import type { SimulatedSizes } from './simulatedSizes.js';

/** Time from a target's end until control reports it silent. */
const SILENCE_MS = 4500;
/** How long a target is cold after its start. */
const COLD_MS = 3000;
/** Duration of a request at a target with a free slot. */
const WORK_MS = 400;
const SLOTS = 9;

/** Load that a target reports. */
interface Load {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
}

/** All targets; callers pass the time. */
export class SimulatedTargets {
	private readonly _records: TargetRecord[];
	/** When targets ended whose addresses belong to others now, by id. */
	private readonly _replacedAt = new Map<string, Millis>();
	/** Until when targets are cold, by id. */
	private readonly _coldUntil = new Map<string, Millis>();
	/** Number of requests in progress, by target id. */
	private readonly _loads = new Map<string, number>();

	/** @param counts number of targets by service and region */
	constructor(counts: SimulatedSizes['targets']) {
		this._records = Object.entries(counts).flatMap(([service, byRegion]) =>
			Object.entries(byRegion).flatMap(([region, count]) =>
				Array.from({ length: count }, (_, i) => describeTarget(service, region, i))
			)
		);
	}

	/** Records of all targets, also of those that were replaced. */
	get records(): readonly TargetRecord[] {
		return this._records;
	}

	/** Returns the ids of the targets of a region, of one service or of all; without those that were replaced. */
	idsOf(region: string, service?: string): string[] {
		return this._records
			.filter(record => regionOf(record.hall) === region && (service === undefined || record.service === service))
			.map(record => record.id)
			.filter(id => !this._replacedAt.has(id));
	}

	/** Ends targets without notice. Others with new ids take over their addresses; the old ids stay registered. */
	replace(ids: readonly string[], now: Millis): void {
		for (const id of ids) {
			const record = this._records.find(known => known.id === id)!;
			const replacement = { ...record, id: `${id}+` };
			this._replacedAt.set(id, now);
			this._coldUntil.set(replacement.id, now + COLD_MS);
			this._records.push(replacement);
		}
	}

	isReplaced(id: string): boolean {
		return this._replacedAt.has(id);
	}

	/** Lets control report targets as cold from now on. */
	turnCold(ids: readonly string[], now: Millis): void {
		ids.forEach(id => this._coldUntil.set(id, now + COLD_MS));
	}

	/** The cold targets that control reports. */
	cold(now: Millis): ColdTarget[] {
		return [...this._coldUntil].filter(([, until]) => until > now).map(([id, until]) => ({ id, leftMs: until - now }));
	}

	/** Ids of the replaced targets that control reports as silent. */
	silentReplaced(now: Millis): string[] {
		return [...this._replacedAt].filter(([, endedAt]) => now - endedAt > SILENCE_MS).map(([id]) => id);
	}

	/** Starts a request at a target; returns how long it takes. */
	startRequest(id: string): Millis {
		const load = (this._loads.get(id) ?? 0) + 1;
		this._loads.set(id, load);
		return WORK_MS * Math.max(1, load / SLOTS);
	}

	/** Ends a request at a target; returns the load that the target reports with the response. */
	endRequest(id: string): Load {
		const left = this._loads.get(id)! - 1;
		this._loads.set(id, left);
		return { running: Math.min(left, SLOTS), waiting: Math.max(0, left - SLOTS), slots: SLOTS };
	}
}

/** Returns the region of a data hall. */
export function regionOf(hall: string): string {
	return hall.slice(0, -2);
}

function describeTarget(service: string, region: string, index: number): TargetRecord {
	return {
		id: `${service}-${region}-${index}`,
		bornAt: 0,
		service,
		address: '127.0.0.1:1',
		hall: `${region}-${index % 2 === 0 ? 'a' : 'b'}`,
		version: 'v',
		slots: SLOTS,
		phase: TargetPhase.Serving,
		changedAt: 1,
		pacedSenders: []
	};
}
