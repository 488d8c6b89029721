/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Order of the requests of one connection. Load: callers that send several requests before the first response. A bounded number
 * of them is taken up at a time and answered in order; the others stay unread.
 */

/**
 * Requests of one connection that are taken up side by side. Callers that pipeline send about ten at once; a much larger number would
 * let one connection hold many responses that wait behind a slow one.
 */
export const MAX_SIDE_BY_SIDE = 16;

interface PipelineEntry<T> {
	readonly item: T;
	/** Evaluated only where requests are pipelined. */
	readonly isRepeatable: () => boolean;
}

/** The requests of a connection that have been read and not been answered, oldest first. */
export class RequestPipeline<T> {
	/** Requests that are being served; their responses go to the caller in this order. */
	private readonly _taken: PipelineEntry<T>[] = [];
	/** Requests that have been read, but are not being served yet. */
	private readonly _waiting: PipelineEntry<T>[] = [];
	private _isSealed = false;
	private _isEnding = false;
	private _hasDropped = false;

	/** Number of requests that are being served. */
	get takenCount(): number {
		return this._taken.length;
	}

	/** Number of requests that wait to be served. */
	get waitingCount(): number {
		return this._waiting.length;
	}

	/** Whether requests that were read stay unanswered. */
	get hasDropped(): boolean {
		return this._hasDropped;
	}

	/** Whether there is no request to serve any more and none can come. */
	get isDone(): boolean {
		return this._taken.length === 0 && (this._isEnding || (this._isSealed && this._waiting.length === 0));
	}

	/** Whether a further request should be read from the connection. */
	get mayRead(): boolean {
		return !this._isSealed && !this._isEnding && this._waiting.length === 0 && this._taken.length < MAX_SIDE_BY_SIDE;
	}

	/**
	 * Adds a request that was read.
	 * @param isRepeatable whether it may be served while others of its connection are
	 */
	add(item: T, isRepeatable: () => boolean): void {
		this._waiting.push({ item, isRepeatable });
	}

	/**
	 * Takes up the next request; undefined where there is none, or where it has to wait. A request that may run only once waits
	 * until all requests before it have been answered, and those behind it wait for its response.
	 * @param hasRoom whether there is room for the response
	 */
	takeNext(hasRoom: (item: T) => boolean = () => true): T | undefined {
		const next = this._waiting[0];
		if (!next || this._isEnding || this._taken.length >= MAX_SIDE_BY_SIDE) {
			return undefined;
		}
		const isAlone = this._taken.length === 0;
		if (!isAlone && !(next.isRepeatable() && this._taken[0]!.isRepeatable())) {
			return undefined;
		}
		if (!hasRoom(next.item)) {
			return undefined;
		}
		this._waiting.shift();
		this._taken.push(next);
		return next.item;
	}

	/** Removes a request after its response was sent. */
	finish(item: T): void {
		const index = this._taken.findIndex(entry => entry.item === item);
		if (index >= 0) {
			this._taken.splice(index, 1);
		}
	}

	/** Removes a request that waits; returns false where it does not. */
	removeWaiting(item: T): boolean {
		const index = this._waiting.findIndex(entry => entry.item === item);
		if (index >= 0) {
			this._waiting.splice(index, 1);
		}
		return index >= 0;
	}

	/** Whether the request is the oldest that is being served. */
	isFirst(item: T): boolean {
		return this._taken[0]?.item === item;
	}

	/** Whether the response to this request is the last of the connection, so that it can announce the close. */
	closesWith(item: T): boolean {
		const isLastTaken = this._taken.at(-1)?.item === item;
		return isLastTaken && (this._isEnding || (this._isSealed && this._waiting.length === 0));
	}

	/**
	 * Makes the response to this request the last of the connection.
	 * @returns false where requests behind it are being served, whose responses have to follow
	 */
	tryEndWith(item: T): boolean {
		if (this._taken.at(-1)?.item !== item) {
			return false;
		}
		this.end();
		return true;
	}

	/** Nothing more is read; the requests that were read are served. */
	seal(): void {
		this._isSealed = true;
	}

	/** No further request is taken up; those that wait stay unanswered and were not run. */
	end(): void {
		this._isEnding = true;
		this._hasDropped ||= this._waiting.length > 0;
		this._waiting.length = 0;
	}
}
