/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The rate limits of all targets as known to one entry instance; the caller passes the current time. The senders in a target's record
 * have equal shares of its limit. Any other instance requests a permit from one of them for each request. The total is thus what the
 * senders admit, whatever view each instance has, and requests at any instance can use the limit and reveal its end.
 */

import type { Millis } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import type { ReportedLimit } from '../../fleet/common/fleetWire.js';
import type { PaceShare } from '../../fleet/common/paceShare.js';
import type { PermitResponse, PermitRequest } from './permitWire.js';
import { type LimitReport, TargetLimit } from './targetLimit.js';
import type { ITargetLimitStatus, LimitedTarget, TargetLimitEvent } from './targetLimits.js';

/** Relative change of a limit from which it is reported to control; smaller ones reach the senders by the target's responses. */
const REPORT_THRESHOLD_FRACTION = 0.1;
/** Minimum delay before a sender that had no permit is asked again. */
const MIN_DENIED_RETRY_MS: Millis = 25;
/** Delay before a sender is asked again that did not respond or no longer has a share. */
const UNRESPONSIVE_RETRY_MS: Millis = 1000;
const SWEEP_INTERVAL_MS: Millis = 10000;

/** The known limit of one target incarnation. */
interface KnownLimit {
	readonly bornAt: number;
	readonly limit: TargetLimit;
	/** When a permit may be requested again, by sender. */
	readonly retryAtByProvider: Map<string, Millis>;
}

/** A sender from which permits can be requested. */
export interface PermitProvider {
	readonly name: string;
	/** Address for peer calls. */
	readonly address: string;
}

/** Known limits by target. */
export class TargetLimitTable implements ITargetLimitStatus {
	private readonly _limits = new Map<string, KnownLimit>();
	private readonly _onDidChange = new Emitter<TargetLimitEvent>();
	readonly onDidChange = this._onDidChange.event;
	/** When senders that did not respond may be asked again, by name. */
	private readonly _unresponsiveUntil = new Map<string, Millis>();
	private _sweptAt: Millis = 0;

	/** @param _share this instance's share of the limits of targets */
	constructor(
		private readonly _view: FleetView,
		private readonly _share: PaceShare
	) {}

	perSecond(record: TargetRecord, now: Millis): number | undefined {
		return this._knownLimit(record, now)?.limit.perSecond;
	}

	hasCapacity(record: TargetRecord, mayAskOthers: boolean, now: Millis): boolean {
		const known = this._knownLimit(record, now);
		if (known?.limit.perSecond === undefined) {
			return true;
		}
		const share = this._share.fractionFor(record);
		return share > 0
			? known.limit.hasPermit(share, now)
			: mayAskOthers && this.findPermitProvider(record, now) !== undefined;
	}

	permitWaitMs(record: TargetRecord, now: Millis): Millis {
		const known = this._knownLimit(record, now);
		const share = this._share.fractionFor(record);
		if (!known || share > 0) {
			return known?.limit.permitWaitMs(share, now) ?? 0;
		}
		return Math.max(0, Math.min(...this._permitProviders(record).map(({ name }) => this._retryAt(record, name))) - now);
	}

	/** Since when the current limit of a target, or its absence, is known. */
	knownSince({ id, bornAt }: TargetRecord): Millis {
		const known = this._limits.get(id);
		return known?.bornAt === bornAt ? known.limit.knownSince : Number.NEGATIVE_INFINITY;
	}

	/** Applies the limit reported in a response of a target. */
	applyReport(record: TargetRecord, report: LimitReport, now: Millis): void {
		const known =
			this._knownLimit(record, now) ?? (report.perSecond === undefined ? undefined : this._addLimit(record));
		const change = known?.limit.applyReport(report, now);
		if (change !== undefined) {
			this._onDidChange.fire({ record, change, perSecond: known!.limit.perSecond, source: 'target' });
		}
	}

	/** Takes a permit of this instance's own share, if one is available. */
	tryTakeOwnPermit(record: TargetRecord, now: Millis): boolean {
		const share = this._share.fractionFor(record);
		return share > 0 && (this._knownLimit(record, now)?.limit.tryTakePermit(share, now) ?? true);
	}

	/** Returns an unused permit of this instance's own share. */
	giveBack({ id, bornAt }: TargetRecord): void {
		const known = this._limits.get(id);
		if (known?.bornAt === bornAt) {
			known.limit.giveBack();
		}
	}

	/** Handles a permit request of another instance. */
	grantPermit({ targetId, bornAt }: PermitRequest, now: Millis): PermitResponse {
		const record = this._view.target(targetId)?.record;
		const share = record?.bornAt === bornAt ? this._share.fractionFor(record) : 0;
		if (!record || share === 0) {
			return { isGranted: false, waitMs: UNRESPONSIVE_RETRY_MS };
		}
		const isGranted = this.tryTakeOwnPermit(record, now);
		return { isGranted, waitMs: isGranted ? 0 : this.permitWaitMs(record, now) };
	}

	/** The sender to request a permit from; undefined if none can be asked now. */
	findPermitProvider(record: TargetRecord, now: Millis): PermitProvider | undefined {
		return this._permitProviders(record).find(({ name }) => this._retryAt(record, name) <= now);
	}

	/** Records that a sender had no permit. */
	recordDenied(record: TargetRecord, providerName: string, waitMs: Millis, now: Millis): void {
		this._knownLimit(record, now)?.retryAtByProvider.set(providerName, now + Math.max(MIN_DENIED_RETRY_MS, waitMs));
	}

	/** Records that a sender did not respond; it is skipped for all targets for some time. */
	recordUnresponsive(providerName: string, now: Millis): void {
		this._unresponsiveUntil.set(providerName, now + UNRESPONSIVE_RETRY_MS);
	}

	/** Limits known here that differ from the records of their targets, also those that have ended. */
	unreportedLimits(now: Millis): ReportedLimit[] {
		return this._currentLimits(now).flatMap(({ record, limit: { perSecond } }) =>
			differsFromRecorded(perSecond, record.limitPerSecond)
				? [{ id: record.id, bornAt: record.bornAt, perSecond: perSecond ?? null, base: record.changedAt }]
				: []
		);
	}

	/** The targets that have a limit now. */
	limited(now: Millis): LimitedTarget[] {
		return this._currentLimits(now).flatMap(({ record: { id, service }, limit: { perSecond } }) =>
			perSecond === undefined ? [] : [{ id, service, perSecond }]
		);
	}

	/** When a permit may be requested from a sender. */
	private _retryAt({ id }: TargetRecord, providerName: string): Millis {
		const retryAt = this._limits.get(id)?.retryAtByProvider.get(providerName) ?? Number.NEGATIVE_INFINITY;
		return Math.max(retryAt, this._unresponsiveUntil.get(providerName) ?? Number.NEGATIVE_INFINITY);
	}

	private _permitProviders({ pacedSenders }: TargetRecord): PermitProvider[] {
		return pacedSenders.flatMap(name => {
			const address = this._view.senderAddress(name);
			return address === undefined ? [] : [{ name, address }];
		});
	}

	private _currentLimits(now: Millis): { readonly record: TargetRecord; readonly limit: TargetLimit }[] {
		this._sweep(now);
		return [...this._limits.keys()].flatMap(id => {
			const record = this._view.target(id)?.record;
			const limit = record && this._knownLimit(record, now)?.limit;
			return limit ? [{ record, limit }] : [];
		});
	}

	/** The known limit of a target, updated from its record; undefined if it never had one. */
	private _knownLimit(record: TargetRecord, now: Millis): KnownLimit | undefined {
		let known = this._limits.get(record.id);
		if (known?.bornAt !== record.bornAt) {
			known = record.limitPerSecond === undefined ? undefined : this._addLimit(record);
		}
		const change = known?.limit.applyRecorded(record.limitPerSecond, now);
		if (change !== undefined) {
			this._onDidChange.fire({ record, change, perSecond: known!.limit.perSecond, source: 'control' });
		}
		return known;
	}

	private _addLimit({ id, bornAt }: TargetRecord): KnownLimit {
		const known = { bornAt, limit: new TargetLimit(), retryAtByProvider: new Map<string, Millis>() };
		this._limits.set(id, known);
		return known;
	}

	private _sweep(now: Millis): void {
		if (now - this._sweptAt < SWEEP_INTERVAL_MS) {
			return;
		}
		this._sweptAt = now;
		for (const id of this._limits.keys()) {
			if (!this._view.target(id)) {
				this._limits.delete(id);
			}
		}
	}
}

function differsFromRecorded(known: number | undefined, recorded: number | undefined): boolean {
	return known === undefined || recorded === undefined
		? known !== recorded
		: Math.abs(known - recorded) > REPORT_THRESHOLD_FRACTION * recorded;
}
