/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The limits of all targets as one entry instance knows them; pure, it is told the time. The senders in a target's record hold equal parts of
 * its limit. Any other instance asks one of them for a permit for each request: so the sum is what the senders let through, whoever believes
 * what, and callers need not come to a sender for the limit to be used, or for its end to be heard.
 */

import type { Millis } from '../../../base/clock.js';
import { Emitter } from '../../../base/event.js';
import type { TargetRecord } from '../../fleet/common/fleetTypes.js';
import type { FleetView } from '../../fleet/common/fleetView.js';
import type { ReportedLimit } from '../../fleet/common/fleetWire.js';
import type { PaceShare } from '../../fleet/common/paceShare.js';
import type { PermitAnswer, PermitRequest } from './permitWire.js';
import { type LimitWord, TargetLimit } from './targetLimit.js';
import type { ITargetRoom, LimitedTarget, TargetLimitEvent } from './targetLimits.js';

/** Part of a limit that it may be off before control is told of it anew: senders go by the answers of their target. */
const TOLD_APART = 0.1;
/** A sender that has no permit is not asked again before this, however soon it may have one. */
const LEAST_WAIT_MS: Millis = 25;
/** A sender that gave no answer, or does not hold a part any more, is asked again after this. */
const NO_ANSWER_WAIT_MS: Millis = 1000;
const SWEEP_INTERVAL_MS: Millis = 10000;

/** What is known of the limit of one life of a target. */
interface KnownLimit {
	readonly bornAt: number;
	readonly limit: TargetLimit;
	/** Until when there is no use in asking each sender. */
	readonly askFrom: Map<string, Millis>;
}

/** A sender, and where to ask it. */
export interface Lender {
	readonly name: string;
	/** Address for calls between processes. */
	readonly address: string;
}

/** Limits by target. */
export class TargetLimitTable implements ITargetRoom {
	private readonly _limits = new Map<string, KnownLimit>();
	private readonly _onDidChange = new Emitter<TargetLimitEvent>();
	readonly onDidChange = this._onDidChange.event;
	/** Senders that gave no answer, and when they are asked again. */
	private readonly _silentUntil = new Map<string, Millis>();
	private _sweptAt: Millis = 0;

	/** @param _share this instance's part of what targets take */
	constructor(
		private readonly _view: FleetView,
		private readonly _share: PaceShare
	) {}

	perSecond(record: TargetRecord, now: Millis): number | undefined {
		return this._knownOf(record, now)?.limit.perSecond;
	}

	isOpen(record: TargetRecord, mayAsk: boolean, now: Millis): boolean {
		const known = this._knownOf(record, now);
		if (known?.limit.perSecond === undefined) {
			return true;
		}
		const share = this._share.fractionFor(record);
		return share > 0 ? known.limit.hasPermit(share, now) : mayAsk && this.lender(record, now) !== undefined;
	}

	permitInMs(record: TargetRecord, now: Millis): Millis {
		const known = this._knownOf(record, now);
		const share = this._share.fractionFor(record);
		if (!known || share > 0) {
			return known?.limit.permitInMs(share, now) ?? 0;
		}
		return Math.max(0, Math.min(...this._lenders(record).map(({ name }) => this._askFrom(record, name))) - now);
	}

	/** Since when what is known of a target's limit holds. */
	knownSince({ id, bornAt }: TargetRecord): Millis {
		const known = this._limits.get(id);
		return known?.bornAt === bornAt ? known.limit.knownSince : Number.NEGATIVE_INFINITY;
	}

	/** Takes in what an answer of a target says of its limit. */
	hear(record: TargetRecord, word: LimitWord, now: Millis): void {
		const known = this._knownOf(record, now) ?? (word.perSecond === undefined ? undefined : this._begin(record));
		const change = known?.limit.hear(word, now);
		if (change !== undefined) {
			this._onDidChange.fire({ record, change, perSecond: known!.limit.perSecond, source: 'target' });
		}
	}

	/** Takes a permit of this instance's own part. */
	takeOwn(record: TargetRecord, now: Millis): boolean {
		const share = this._share.fractionFor(record);
		return share > 0 && (this._knownOf(record, now)?.limit.takePermit(share, now) ?? true);
	}

	/** A permit of this instance's own part was not used. */
	giveBack({ id, bornAt }: TargetRecord): void {
		const known = this._limits.get(id);
		if (known?.bornAt === bornAt) {
			known.limit.giveBack();
		}
	}

	/** Another instance asks for a permit. */
	lend({ targetId, bornAt }: PermitRequest, now: Millis): PermitAnswer {
		const record = this._view.target(targetId)?.record;
		const share = record?.bornAt === bornAt ? this._share.fractionFor(record) : 0;
		if (!record || share === 0) {
			return { isGranted: false, waitMs: NO_ANSWER_WAIT_MS };
		}
		const isGranted = this.takeOwn(record, now);
		return { isGranted, waitMs: isGranted ? 0 : this.permitInMs(record, now) };
	}

	/** The sender to ask for a permit; undefined where none can be asked now. */
	lender(record: TargetRecord, now: Millis): Lender | undefined {
		return this._lenders(record).find(({ name }) => this._askFrom(record, name) <= now);
	}

	/** A sender had no permit. */
	noteDenied(record: TargetRecord, lender: string, waitMs: Millis, now: Millis): void {
		this._knownOf(record, now)?.askFrom.set(lender, now + Math.max(LEAST_WAIT_MS, waitMs));
	}

	/** A sender gave no answer: it is not asked for a while, for whatever target. */
	noteSilent(lender: string, now: Millis): void {
		this._silentUntil.set(lender, now + NO_ANSWER_WAIT_MS);
	}

	/** Limits that targets named, or ended, here, and that their records do not have. */
	untold(now: Millis): ReportedLimit[] {
		return this._current(now).flatMap(({ record, limit: { perSecond } }) =>
			isApart(perSecond, record.limitPerSecond)
				? [{ id: record.id, bornAt: record.bornAt, perSecond: perSecond ?? null }]
				: []
		);
	}

	/** The targets that name a limit now. */
	limited(now: Millis): LimitedTarget[] {
		return this._current(now).flatMap(({ record: { id, service }, limit: { perSecond } }) =>
			perSecond === undefined ? [] : [{ id, service, perSecond }]
		);
	}

	/** When there is use in asking a sender for a permit. */
	private _askFrom({ id }: TargetRecord, lender: string): Millis {
		const askFrom = this._limits.get(id)?.askFrom.get(lender) ?? Number.NEGATIVE_INFINITY;
		return Math.max(askFrom, this._silentUntil.get(lender) ?? Number.NEGATIVE_INFINITY);
	}

	private _lenders({ pacedSenders }: TargetRecord): Lender[] {
		return pacedSenders.flatMap(name => {
			const address = this._view.senderAddress(name);
			return address === undefined ? [] : [{ name, address }];
		});
	}

	private _current(now: Millis): { readonly record: TargetRecord; readonly limit: TargetLimit }[] {
		this._sweep(now);
		return [...this._limits.keys()].flatMap(id => {
			const record = this._view.target(id)?.record;
			const limit = record && this._knownOf(record, now)?.limit;
			return limit ? [{ record, limit }] : [];
		});
	}

	/** What is known of a target's limit, with what control told last; undefined where it never named one. */
	private _knownOf(record: TargetRecord, now: Millis): KnownLimit | undefined {
		let known = this._limits.get(record.id);
		if (known?.bornAt !== record.bornAt) {
			known = record.limitPerSecond === undefined ? undefined : this._begin(record);
		}
		const change = known?.limit.takeTold(record.limitPerSecond, now);
		if (change !== undefined) {
			this._onDidChange.fire({ record, change, perSecond: known!.limit.perSecond, source: 'control' });
		}
		return known;
	}

	private _begin({ id, bornAt }: TargetRecord): KnownLimit {
		const known = { bornAt, limit: new TargetLimit(), askFrom: new Map<string, Millis>() };
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

function isApart(known: number | undefined, told: number | undefined): boolean {
	return known === undefined || told === undefined ? known !== told : Math.abs(known - told) > TOLD_APART * told;
}
