/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** An entry instance's copy of the suspected and quarantined requests. */

import { Emitter } from '../../../base/event.js';
import { type QuarantineSnapshot, phaseOf, QuarantinePhase, type QuarantineRecord } from './quarantineTypes.js';

/** The latest snapshot received from a control instance. */
export class QuarantineView {
	private readonly _onDidClear = new Emitter<string>();
	/** Fires with the digest of each request that left the snapshot: a target answered it, an operator released it, or it was evicted. */
	readonly onDidClear = this._onDidClear.event;
	private readonly _onDidList = new Emitter<string>();
	/** Fires with the digest of each request that enters the snapshot. */
	readonly onDidList = this._onDidList.event;
	private _revision = 0;
	private _records: ReadonlyMap<string, QuarantineRecord> = new Map();
	private _pathHashes: ReadonlySet<number> = new Set();

	/** Revision of the current snapshot; 0 before the first. */
	get revision(): number {
		return this._revision;
	}

	/** Replaces the snapshot; one that is not newer than the current revision is ignored. */
	apply({ revision, records }: QuarantineSnapshot): void {
		if (revision <= this._revision) {
			return;
		}
		const before = this._records;
		this._revision = revision;
		this._records = new Map(records.map(record => [record.digest, record]));
		this._pathHashes = new Set(records.map(({ pathHash }) => pathHash));
		for (const digest of before.keys()) {
			if (!this._records.has(digest)) {
				this._onDidClear.fire(digest);
			}
		}
		for (const digest of this._records.keys()) {
			if (!before.has(digest)) {
				this._onDidList.fire(digest);
			}
		}
	}

	/** Whether no request is suspected or quarantined. */
	get isEmpty(): boolean {
		return this._records.size === 0;
	}

	/** Whether a request for this host and path may be listed; if not, its digest need not be computed. */
	mayContain(pathHash: number): boolean {
		return this._pathHashes.has(pathHash);
	}

	phase(digest: string): QuarantinePhase {
		return phaseOf(this._records.get(digest));
	}
}
