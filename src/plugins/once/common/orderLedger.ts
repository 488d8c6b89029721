/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Replicated record of order keys and of the outcomes of their requests.
 *
 * A claim belongs to the request that made it and is not released by a timeout: until its outcome is known, other
 * requests with the same key are refused, because it may have run. Keys are deleted after the retention period.
 */

import type { IReplicatedPart } from '../../agreement/common/replicatedState.js';

/** Id of the replicated part. */
export const ORDER_PART = 'once';

const DATE_LENGTH = 10;

/** The response of a target, replayed to later requests with the same key. */
export interface StoredResponse {
	readonly status: number;
	readonly headers: readonly string[];
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
	/** No answer from the leader: it is unknown whether the key was claimed, and the request must not be sent. */
	| { readonly kind: 'no-quorum' };

/** The state of one order key. */
interface OrderRecord {
	readonly digest: string;
	readonly requestId: string;
	readonly state: 'claimed' | 'ran' | 'unknown';
	readonly answer?: StoredResponse;
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
		for (const [date, day] of saved as [string, [string, OrderRecord][]][]) {
			this._days.set(date, new Map(day));
		}
	}

	private _applyClaim(command: ClaimCommand): ClaimResult {
		this._deleteDaysBefore(command.oldestDate);
		const date = command.key.slice(0, DATE_LENGTH);
		if (date < command.oldestDate) {
			return { kind: 'too-old' };
		}
		const existing = this._days.get(date)?.get(command.key);
		if (existing) {
			return claimResultFor(existing, command);
		}
		const { digest, requestId } = command;
		this._getOrCreateDay(date).set(command.key, { digest, requestId, state: 'claimed' });
		return { kind: 'granted' };
	}

	private _applyOutcome(command: OutcomeCommand): void {
		const day = this._days.get(command.key.slice(0, DATE_LENGTH));
		const existing = day?.get(command.key);
		if (!day || !existing || existing.requestId !== command.requestId || existing.state !== 'claimed') {
			return;
		}
		const { outcome } = command;
		if (outcome.kind === 'not-run') {
			day.delete(command.key);
			return;
		}
		const answer = outcome.kind === 'ran' ? outcome.answer : undefined;
		day.set(command.key, { ...existing, state: outcome.kind, answer });
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

function claimResultFor(existing: OrderRecord, command: ClaimCommand): ClaimResult {
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
