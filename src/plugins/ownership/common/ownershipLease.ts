/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * The lease under which an entry instance dispatches to targets of its data hall, so that no two instances dispatch to
 * the same target at a time.
 *
 * An instance may use its own targets while control renews its lease, or while every sibling (the other entry instances
 * of the hall) has promised not to take over; without siblings it needs neither. It may use the targets of a sibling
 * once control has recorded the takeover and the sibling's outstanding requests must have ended, while control renews
 * its lease. Has no side effects; callers pass the current time.
 */

import type { Millis } from '../../../base/clock.js';

/**
 * How long a renewal or a promise is valid. The requester counts from sending its request, the grantor from receiving it,
 * so that the requester's view expires first.
 */
export const OWNERSHIP_LEASE_MS = 2000;

/** A takeover of the targets of a sibling. */
interface Takeover {
	/** When the sibling's outstanding requests must have ended. */
	readonly usableAt: Millis;
}

/** The lease of one instance; see the head of this file. */
export class OwnershipLease {
	private _renewedUntil = Number.NEGATIVE_INFINITY;
	private readonly _receivedPromisesUntil = new Map<string, Millis>();
	private readonly _grantedPromisesUntil = new Map<string, Millis>();
	private readonly _takeovers = new Map<string, Takeover>();

	/** @param _siblings the other instances of the data hall */
	constructor(private readonly _siblings: readonly string[]) {}

	/** Records that control renewed the lease. */
	renew(requestSentAt: Millis): void {
		this._renewedUntil = Math.max(this._renewedUntil, requestSentAt + OWNERSHIP_LEASE_MS);
	}

	/** Records that a sibling promised not to take over the targets of this instance. */
	recordPromise(sibling: string, requestSentAt: Millis): void {
		const previous = this._receivedPromisesUntil.get(sibling) ?? Number.NEGATIVE_INFINITY;
		this._receivedPromisesUntil.set(sibling, Math.max(previous, requestSentAt + OWNERSHIP_LEASE_MS));
	}

	/** Grants a sibling the promise not to take over; false, and no promise, while its targets are taken over. */
	grantPromise(sibling: string, now: Millis): boolean {
		if (this._takeovers.has(sibling)) {
			return false;
		}
		this._grantedPromisesUntil.set(sibling, now + OWNERSHIP_LEASE_MS);
		return true;
	}

	mayUseOwnTargets(now: Millis): boolean {
		return now < this._renewedUntil || this._siblings.every(name => now < (this._receivedPromisesUntil.get(name) ?? 0));
	}

	/** Whether a takeover may be requested: no unexpired promise to the sibling, and the own lease is renewed by control. */
	mayRequestTakeover(sibling: string, now: Millis): boolean {
		const hasGrantedPromise = now < (this._grantedPromisesUntil.get(sibling) ?? 0);
		return !hasGrantedPromise && !this._takeovers.has(sibling) && now < this._renewedUntil;
	}

	/** Records a takeover that control has committed; its targets may be used from `usableAt` on. */
	recordTakeover(sibling: string, usableAt: Millis): void {
		this._takeovers.set(sibling, { usableAt });
	}

	/** Ends a takeover because the sibling has returned. */
	endTakeover(sibling: string): void {
		this._takeovers.delete(sibling);
	}

	/** Whether the targets of a sibling are taken over, even if they may not be used yet. */
	hasTakenOver(sibling: string): boolean {
		return this._takeovers.has(sibling);
	}

	mayUseTargetsOf(sibling: string, now: Millis): boolean {
		const takeover = this._takeovers.get(sibling);
		return takeover !== undefined && now >= takeover.usableAt && now < this._renewedUntil;
	}
}
