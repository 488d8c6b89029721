/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A target of the load replays: slots, a queue, and objects that it has seen lately. */

import type { Millis } from '../../src/base/clock.js';

/** How the targets of a replay work. */
export interface TargetModelSettings {
	readonly slots: number;
	/** Requests that may wait beyond the slots; one more is turned away. */
	readonly queueLength: number;
	/** Objects that a target keeps at hand; the one that was asked for longest ago goes first. */
	readonly keptObjects: number;
	/** Work of a request whose object is not at hand. */
	readonly firstMs: Millis;
	/** Work of a request whose object is at hand. */
	readonly laterMs: Millis;
}

/** A request that runs or waits at a target. */
interface TargetWork {
	readonly object: string;
	readonly done: (endsAt: Millis) => void;
}

/** One target; pure, it is told the time. */
export class TargetModel {
	/** Requests that reached the target, those that it turned away included. */
	arrivals = 0;
	/** Requests whose object was not at hand. */
	firstTouches = 0;
	/** Part of the requests that it turns away though it has room, 0 to 1. */
	shedPart = 0;
	/** Requests a second that it takes from all instances together; undefined where it names no limit. */
	limitPerSecond: number | undefined;
	/** How long it asks to be left alone when it turns a request away; 0 for not at all. */
	restMs: Millis = 0;
	private readonly _waiting: TargetWork[] = [];
	private readonly _atHand = new Map<string, true>();
	private _running = 0;

	constructor(
		readonly id: string,
		private readonly _settings: TargetModelSettings
	) {}

	/** The load word that goes with an answer: running, waiting, slots. */
	get loadWord(): string {
		return `${this._running},${this._waiting.length},${this._settings.slots}`;
	}

	/**
	 * Takes a request in.
	 * @param chance a number in [0, 1) that decides whether it is shed
	 * @param done is told when the request will have ended, as soon as it runs
	 * @returns false where it is turned away
	 */
	offer(object: string, chance: number, now: Millis, done: (endsAt: Millis) => void): boolean {
		this.arrivals++;
		if (chance < this.shedPart || this._waiting.length >= this._settings.queueLength) {
			return false;
		}
		this._waiting.push({ object, done });
		this._startNext(now);
		return true;
	}

	/** A request has ended. */
	release(now: Millis): void {
		this._running--;
		this._startNext(now);
	}

	private _startNext(now: Millis): void {
		if (this._running >= this._settings.slots) {
			return;
		}
		const work = this._waiting.shift();
		if (work) {
			this._running++;
			work.done(now + this._workMs(work.object));
		}
	}

	private _workMs(object: string): Millis {
		const { firstMs, laterMs, keptObjects } = this._settings;
		const isAtHand = this._atHand.delete(object);
		this._atHand.set(object, true);
		if (isAtHand) {
			return laterMs;
		}
		this.firstTouches++;
		if (this._atHand.size > keptObjects) {
			this._atHand.delete(this._atHand.keys().next().value!);
		}
		return firstMs;
	}
}
