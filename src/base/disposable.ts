/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Resource ownership: objects that hold timers, sockets or listeners implement {@link IDisposable}. */

/** An object that holds resources until it is disposed. */
export interface IDisposable {
	/** Releases the resources; further calls have no effect. */
	dispose(): void;
}

/** Wraps a function as a disposable that runs it at most once. */
export function toDisposable(release: () => void): IDisposable {
	let isDisposed = false;
	return {
		dispose: () => {
			if (isDisposed) {
				return;
			}
			isDisposed = true;
			release();
		}
	};
}

/** A set of disposables released together, in reverse order of registration. */
export class DisposableStore implements IDisposable {
	private readonly _items: IDisposable[] = [];
	private _isDisposed = false;

	/** Adds an item and returns it; if the store is already disposed, the item is disposed immediately. */
	add<T extends IDisposable>(item: T): T {
		if (this._isDisposed) {
			item.dispose();
			return item;
		}
		this._items.push(item);
		return item;
	}

	dispose(): void {
		this._isDisposed = true;
		for (const item of this._items.splice(0).reverse()) {
			item.dispose();
		}
	}
}

/** Base class of services that own other disposables. */
export abstract class Disposable implements IDisposable {
	private readonly _disposables = new DisposableStore();

	/** Registers an item that is disposed with this object. */
	protected _register<T extends IDisposable>(item: T): T {
		return this._disposables.add(item);
	}

	dispose(): void {
		this._disposables.dispose();
	}
}
