/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Account of the bodies that a process receives on all its listeners. Load: any number of clients whose bodies stop short of their end. It
 * never holds more than its limit: where a body has no room, those that have waited longest for a further byte give theirs up.
 */

import { createServiceIdentifier } from './serviceIdentifier.js';

/** Part of the memory of the process that bodies may use while they are received. */
const BODY_PART = 1 / 8;
/** Part of the limit that may wait for the garbage collector. */
const GARBAGE_PART = 1 / 4;
/** Part of the limit below which bodies hold too little for garbage to matter. */
const LOW_USE_PART = 1 / 8;
const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Bytes that are held for one body. */
export interface IHeldBody {
	/**
	 * Changes the number of held bytes, as the body has grown.
	 * @returns false where the account has no room for it although all other bodies gave theirs up
	 */
	tryResize(bytes: number): boolean;
	/** Holds nothing more; to be called once the body is complete or given up. */
	release(): void;
}

/** The account of one process. */
export interface IBodyAccount {
	/** Bytes of the largest body that it has room for. */
	readonly limitBytes: number;
	/** Bytes that are held for all bodies. */
	readonly heldBytes: number;
	/** Bodies that gave up their bytes for others. */
	readonly evictions: number;
	/** Counts bytes that were read or copied for a body and that are not referenced for long, where the account is in use. */
	recordGarbage(bytes: number): void;
	/** @param onEvicted called where the body has to give up its bytes, which are released by then */
	hold(onEvicted: () => void): IHeldBody;
}

/** Service identifier of {@link IBodyAccount}. */
export const IBodyAccount = createServiceIdentifier<IBodyAccount>('bodyAccount');

class HeldBody implements IHeldBody {
	bytes = 0;

	constructor(
		private readonly _account: BodyAccount,
		readonly onEvicted: () => void
	) {}

	tryResize(bytes: number): boolean {
		return this._account.tryResize(this, bytes);
	}

	release(): void {
		this._account.release(this);
	}
}

/** The account; a body counts from its first byte. */
export class BodyAccount implements IBodyAccount {
	readonly limitBytes: number;
	/** Bodies that hold bytes, the one that has waited longest for a further byte first. */
	private readonly _bodies = new Set<HeldBody>();
	private _heldBytes = 0;
	private _evictions = 0;
	private _garbageBytes = 0;

	/**
	 * @param memoryMb memory of the process
	 * @param _collectGarbage runs the garbage collector, which by itself lets tens of MiB of such blocks come together
	 */
	constructor(
		memoryMb: number,
		private readonly _collectGarbage: () => void = () => undefined
	) {
		this.limitBytes = Math.floor(memoryMb * BYTES_PER_MEGABYTE * BODY_PART);
	}

	get heldBytes(): number {
		return this._heldBytes;
	}

	get evictions(): number {
		return this._evictions;
	}

	recordGarbage(bytes: number): void {
		if (this._heldBytes > this.limitBytes * LOW_USE_PART) {
			this._addGarbage(bytes);
		}
	}

	hold(onEvicted: () => void): IHeldBody {
		return new HeldBody(this, onEvicted);
	}

	/** Used by the held bodies. */
	tryResize(body: HeldBody, bytes: number): boolean {
		if (bytes > this.limitBytes) {
			return false;
		}
		this._count(body, bytes);
		// Bodies that have just grown come last.
		this._bodies.delete(body);
		this._bodies.add(body);
		for (const other of this._bodies) {
			if (this._heldBytes <= this.limitBytes) {
				break;
			}
			this._evictions++;
			const { bytes: evictedBytes } = other;
			this.release(other);
			other.onEvicted();
			this._addGarbage(evictedBytes);
		}
		return true;
	}

	/** Used by the held bodies. */
	release(body: HeldBody): void {
		this._count(body, 0);
		this._bodies.delete(body);
	}

	private _addGarbage(bytes: number): void {
		this._garbageBytes += bytes;
		if (this._garbageBytes > this.limitBytes * GARBAGE_PART) {
			this._garbageBytes = 0;
			this._collectGarbage();
		}
	}

	private _count(body: HeldBody, bytes: number): void {
		this._heldBytes += bytes - body.bytes;
		body.bytes = bytes;
	}
}
