/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Replicated record of order keys and of the outcomes of their requests.
 *
 * A claim belongs to the request that made it and is not released by a timeout: until its outcome is known, other
 * requests with the same key are refused, because it may have run. A request that did not run is remembered, so that its
 * claim has no effect when it arrives after that outcome. Keys are deleted after the retention period.
 */

import type { IReplicatedPart } from '../../agreement/common/replicatedState.js';

/** Id of the replicated part. */
export const ORDER_PART = 'once';

const DATE_LENGTH = 10;
/** Requests with one key that are remembered as not run; each resend of an order is one. */
const MAX_WITHDRAWN = 64;

/** The response of a target, replayed to later requests with the same key. */
export interface StoredResponse {
	readonly status: number;
	readonly headers: readonly string[];
	/** Whether only the close of the target's connection told where the body ended; absent in responses of earlier versions. */
	readonly endsWithConnection?: boolean;
	/** Absent when it exceeded the maximum stored size. */
	readonly body?: Uint8Array;
}

/** The outcome of a claimed request. */
export type OrderOutcome =
	| { readonly kind: 'ran'; readonly answer: StoredResponse }
	| { readonly kind: 'not-run' }
	| { readonly kind: 'unknown' };

/** Claims an order key; committed before the request is sent to a target. */
export interface ClaimCommand {
	readonly type: 'claim';
	readonly key: string;
	/** SHA-256 of the request; a different request with the same key is refused. */
	readonly digest: string;
	/** The request that makes the claim. */
	readonly requestId: string;
	/** `YYYY-MM-DD`; keys with an earlier date are deleted, and claims for them refused. */
	readonly oldestDate: string;
}

/** Records the outcome of a claim. */
export interface OutcomeCommand {
	readonly type: 'outcome';
	readonly key: string;
	readonly requestId: string;
	readonly outcome: OrderOutcome;
}

/** A command of this replicated part. */
export type OrderCommand = ClaimCommand | OutcomeCommand;

/** The result of a claim. */
export type ClaimResult =
	| { readonly kind: 'granted' }
	| { readonly kind: 'ran'; readonly answer: StoredResponse }
	| { readonly kind: 'in-progress' }
	| { readonly kind: 'unknown' }
	| { readonly kind: 'conflict' }
	| { readonly kind: 'too-old' }
	/** The outcome of this request is recorded as not run: the claim is late, and nobody waits for it. */
	| { readonly kind: 'withdrawn' }
	/** No answer from the leader: it is unknown whether the key was claimed, and the request must not be sent. */
	| { readonly kind: 'no-quorum' };

/** A claim and its outcome. */
interface Claim {
	readonly digest: string;
	readonly requestId: string;
	readonly state: 'claimed' | 'ran' | 'unknown';
	readonly answer?: StoredResponse;
}

/** The state of one order key. */
interface OrderRecord {
	/** Absent while no request claims the key. */
	readonly claim?: Claim;
	/** Ids of the latest requests that did not run, oldest first. */
	readonly withdrawn: readonly string[];
}

/** Order keys by date; see the head of this file. */
export class OrderLedger implements IReplicatedPart {
	readonly id = ORDER_PART;
	/** Records by order key, by the date of the key. */
	private readonly _days = new Map<string, Map<string, OrderRecord>>();

	/** Number of order keys stored. */
	get size(): number {
		return [...this._days.values()].reduce((sum, day) => sum + day.size, 0);
	}

	apply(body: unknown): ClaimResult | undefined {
		const command = body as OrderCommand;
		if (command.type === 'claim') {
			return this._applyClaim(command);
		}
		this._applyOutcome(command);
		return undefined;
	}

	save(): unknown {
		return [...this._days].map(([date, day]) => [date, [...day]]);
	}

	restore(saved: unknown): void {
		this._days.clear();
		for (const [date, day] of saved as [string, [string, OrderRecord | Claim][]][]) {
			this._days.set(date, new Map(day.map(([key, record]) => [key, toRecord(record)])));
		}
	}

	private _applyClaim(command: ClaimCommand): ClaimResult {
		this._deleteDaysBefore(command.oldestDate);
		const date = dateOf(command.key);
		if (date < command.oldestDate) {
			return { kind: 'too-old' };
		}
		const { key, digest, requestId } = command;
		const { claim, withdrawn } = this._record(key);
		if (withdrawn.includes(requestId)) {
			return { kind: 'withdrawn' };
		}
		if (claim) {
			return claimResultFor(claim, command);
		}
		this._getOrCreateDay(date).set(key, { claim: { digest, requestId, state: 'claimed' }, withdrawn });
		return { kind: 'granted' };
	}

	private _applyOutcome({ key, requestId, outcome }: OutcomeCommand): void {
		const { claim, withdrawn } = this._record(key);
		const isClaimed = claim?.requestId === requestId && claim.state === 'claimed';
		if (outcome.kind === 'not-run') {
			if (isClaimed || claim?.requestId !== requestId) {
				this._withdraw(key, isClaimed ? undefined : claim, withdrawn, requestId);
			}
		} else if (isClaimed) {
			const answer = outcome.kind === 'ran' ? outcome.answer : undefined;
			this._getOrCreateDay(dateOf(key)).set(key, { claim: { ...claim, state: outcome.kind, answer }, withdrawn });
		}
	}

	private _withdraw(key: string, claim: Claim | undefined, withdrawn: readonly string[], requestId: string): void {
		const others = withdrawn.filter(id => id !== requestId);
		this._getOrCreateDay(dateOf(key)).set(key, {
			...(claim ? { claim } : {}),
			withdrawn: [...others, requestId].slice(-MAX_WITHDRAWN)
		});
	}

	private _record(key: string): OrderRecord {
		return this._days.get(dateOf(key))?.get(key) ?? { withdrawn: [] };
	}

	private _getOrCreateDay(date: string): Map<string, OrderRecord> {
		let day = this._days.get(date);
		if (!day) {
			day = new Map();
			this._days.set(date, day);
		}
		return day;
	}

	private _deleteDaysBefore(oldestDate: string): void {
		for (const date of this._days.keys()) {
			if (date < oldestDate) {
				this._days.delete(date);
			}
		}
	}
}

function dateOf(key: string): string {
	return key.slice(0, DATE_LENGTH);
}

/** Reads a saved record; earlier versions saved the claim alone. */
function toRecord(saved: OrderRecord | Claim): OrderRecord {
	return 'withdrawn' in saved ? saved : { claim: saved, withdrawn: [] };
}

function claimResultFor(existing: Claim, command: ClaimCommand): ClaimResult {
	if (existing.digest !== command.digest) {
		return { kind: 'conflict' };
	}
	switch (existing.state) {
		case 'ran':
			return { kind: 'ran', answer: existing.answer! };
		case 'unknown':
			return { kind: 'unknown' };
		case 'claimed':
			return { kind: existing.requestId === command.requestId ? 'granted' : 'in-progress' };
	}
}
