/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Order in which connections have the next part of a body parsed. Load: any number of connections whose bodies come in chunks of one
 * byte, each of which costs as much as a chunk of many; others are served in between.
 */

/** Connections that have a part of a body parsed in one turn of the event loop. */
export const MAX_READ_PER_TURN = 8;

/** Gives each connection one part a turn, and the connections that wait theirs in order. */
export class ReadTurns<T> {
	/** Connections that had their part in this turn. */
	private readonly _served = new Set<T>();
	/** Connections that wait for a later turn, oldest first. */
	private readonly _waiting = new Set<T>();

	/** Whether a further turn is needed. */
	get isPending(): boolean {
		return this._served.size + this._waiting.size > 0;
	}

	/** Takes a part of this turn; a connection that gets none is among those that {@link begin} returns in a later one. */
	tryTake(connection: T): boolean {
		const isFull = this._served.size >= MAX_READ_PER_TURN;
		if (isFull || this._served.has(connection) || this._waiting.has(connection)) {
			this._waiting.add(connection);
			return false;
		}
		this._served.add(connection);
		return true;
	}

	/** Begins a turn; returns the connections whose part it is now. */
	begin(): readonly T[] {
		this._served.clear();
		const next = [...this._waiting].slice(0, MAX_READ_PER_TURN);
		next.forEach(connection => this._waiting.delete(connection));
		return next;
	}

	/** Forgets a connection that was closed. */
	remove(connection: T): void {
		this._waiting.delete(connection);
	}
}
