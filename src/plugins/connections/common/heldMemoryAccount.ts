/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Counts the bytes that an instance holds for callers and targets. Load: callers that send more than is answered and read less than
 * they ask for, on any number of connections.
 */

import { type HeldBytes, type IHeldMemory, type IMemoryAccount, MemoryPressure } from './memoryAccount.js';

/**
 * Part of the memory of the process that held bytes may use. The runtime needs most of the rest, and a held byte costs a multiple of
 * itself: buffers are released by garbage collection only, and the operating system holds data of each connection as well.
 */
const HELD_PART = 1 / 64;
/** Fill from which requests behind others are not taken up. */
const HOLD_BACK_FILL = 0.5;
/** Fill from which new requests are refused; the rest is for those that run. */
const REFUSE_FILL = 0.75;
/** Part of the limit that one connection or team may reserve, so that a few of them cannot use it up. */
const OWNER_PART = 0.125;
const BYTES_PER_MEGABYTE = 1024 * 1024;

/** The account of one instance. */
export class HeldMemoryAccount implements IMemoryAccount {
	private readonly _limitBytes: number;
	private readonly _byKind = new Map<HeldBytes, number>();
	private readonly _byOwner = new Map<string, number>();
	private _total = 0;

	/** @param memoryMb memory of the process */
	constructor(memoryMb: number) {
		this._limitBytes = memoryMb * BYTES_PER_MEGABYTE * HELD_PART;
	}

	get pressure(): MemoryPressure {
		const fill = this._total / this._limitBytes;
		if (fill < HOLD_BACK_FILL) {
			return MemoryPressure.None;
		}
		if (fill < REFUSE_FILL) {
			return MemoryPressure.HoldBack;
		}
		return fill < 1 ? MemoryPressure.Refuse : MemoryPressure.Close;
	}

	heldBytes(kind: HeldBytes): number {
		return this._byKind.get(kind) ?? 0;
	}

	tryReserve(kind: HeldBytes, bytes: number, owner: string): IHeldMemory | undefined {
		const isFull = this._total + bytes > this._limitBytes * HOLD_BACK_FILL;
		if (isFull || (this._byOwner.get(owner) ?? 0) + bytes > this._limitBytes * OWNER_PART) {
			return undefined;
		}
		const held = this.hold(kind, owner);
		held.resize(bytes);
		return held;
	}

	hold(kind: HeldBytes, owner: string): IHeldMemory {
		let heldBytes = 0;
		const resize = (bytes: number): void => {
			this._add(kind, owner, bytes - heldBytes);
			heldBytes = bytes;
		};
		return { resize, release: () => resize(0) };
	}

	private _add(kind: HeldBytes, owner: string, difference: number): void {
		if (difference === 0) {
			return;
		}
		this._total += difference;
		this._byKind.set(kind, this.heldBytes(kind) + difference);
		const ofOwner = (this._byOwner.get(owner) ?? 0) + difference;
		if (ofOwner === 0) {
			this._byOwner.delete(owner);
		} else {
			this._byOwner.set(owner, ofOwner);
		}
	}
}
