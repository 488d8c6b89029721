/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Typed events: the owner keeps the `Emitter` private and exposes its `Event`. */

import { type IDisposable, toDisposable } from './disposable.js';

/** Subscribes a listener; disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => IDisposable;

/** Fires an event and keeps its listeners. */
export class Emitter<T> implements IDisposable {
	private readonly _listeners = new Set<(value: T) => void>();

	/** Subscribes to this event. */
	readonly event: Event<T> = listener => {
		this._listeners.add(listener);
		return toDisposable(() => this._listeners.delete(listener));
	};

	/** Calls all listeners in order of subscription. */
	fire(value: T): void {
		for (const listener of [...this._listeners]) {
			listener(value);
		}
	}

	dispose(): void {
		this._listeners.clear();
	}
}
