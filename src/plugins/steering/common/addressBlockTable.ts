/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Maps IPv4 address ranges to sites. Sorted ranges are kept in typed arrays and split into chunks, so that a change copies
 * only the chunks it affects. A look-up uses an index by address prefix, a short scan of chunks, and a binary search.
 */

/** Number of ranges in a new chunk; a chunk is split when it exceeds twice this size. */
const RANGES_PER_CHUNK = 2048;
/** Changes applied before yielding to the event loop. */
const CHANGES_PER_BATCH = 50;
/** Site of addresses that belong to no range. */
export const NO_SITE = 255;

const ADDRESS_SPACE = 2 ** 32;
const PREFIX_SHIFT = 16;
const PREFIX_COUNT = 2 ** 16;

/** Assigns the addresses `from` (inclusive) to `to` (exclusive) to a site. */
export interface AddressRangeChange {
	readonly from: number;
	readonly to: number;
	/** 0 to 254, or `NO_SITE`. */
	readonly site: number;
}

/** Consecutive ranges; range i goes from `starts[i]` to the next start. */
interface Chunk {
	readonly starts: Uint32Array;
	readonly sites: Uint8Array;
}

/** Immutable table of address ranges; a changed table shares the unchanged chunks. */
export class AddressBlockTable {
	/**
	 * @param _firstStarts first range start of each chunk
	 * @param _chunkByPrefix for each value of the upper 16 address bits, the index of the chunk in which a look-up begins; -1 for none
	 */
	private constructor(
		private readonly _chunks: readonly Chunk[],
		private readonly _firstStarts: Uint32Array,
		private readonly _chunkByPrefix: Int32Array
	) {}

	/**
	 * Builds a table of contiguous ranges, each of which ends at the start of the next.
	 * @param starts first address of each range, strictly ascending
	 * @param sites site of each range
	 */
	static fromSorted(starts: Uint32Array, sites: Uint8Array): AddressBlockTable {
		const chunks: Chunk[] = [];
		for (let i = 0; i < starts.length; i += RANGES_PER_CHUNK) {
			chunks.push({ starts: starts.slice(i, i + RANGES_PER_CHUNK), sites: sites.slice(i, i + RANGES_PER_CHUNK) });
		}
		return AddressBlockTable._fromChunks(chunks);
	}

	/** Number of ranges in the table. */
	get size(): number {
		return this._chunks.reduce((sum, chunk) => sum + chunk.starts.length, 0);
	}

	/** Size of the typed arrays in bytes. */
	get byteLength(): number {
		const chunks = this._chunks.reduce((sum, chunk) => sum + chunk.starts.byteLength + chunk.sites.byteLength, 0);
		return chunks + this._firstStarts.byteLength + this._chunkByPrefix.byteLength;
	}

	/** Returns the site of an IPv4 address, given as an unsigned 32-bit integer; `NO_SITE` for none. */
	lookUp(address: number): number {
		const firstStarts = this._firstStarts;
		let index = this._chunkByPrefix[address >>> PREFIX_SHIFT]!;
		while (index + 1 < firstStarts.length && firstStarts[index + 1]! <= address) {
			index++;
		}
		const chunk = this._chunks[index];
		if (!chunk) {
			return NO_SITE;
		}
		return chunk.sites[lastIndexAtOrBelow(chunk.starts, address)] ?? NO_SITE;
	}

	/** Returns a table with the changes applied in order, yielding to the event loop after each batch. */
	async withChanges(changes: readonly AddressRangeChange[]): Promise<AddressBlockTable> {
		let chunks = [...this._chunks];
		for (let i = 0; i < changes.length; i += CHANGES_PER_BATCH) {
			chunks = applyChanges(chunks, changes.slice(i, i + CHANGES_PER_BATCH));
			await new Promise(resolve => setImmediate(resolve));
		}
		return AddressBlockTable._fromChunks(chunks);
	}

	private static _fromChunks(chunks: readonly Chunk[]): AddressBlockTable {
		const firstStarts = Uint32Array.from(chunks, chunk => chunk.starts[0]!);
		const chunkByPrefix = new Int32Array(PREFIX_COUNT);
		let index = -1;
		for (let prefix = 0; prefix < PREFIX_COUNT; prefix++) {
			while (index + 1 < firstStarts.length && firstStarts[index + 1]! <= prefix * 2 ** PREFIX_SHIFT) {
				index++;
			}
			chunkByPrefix[prefix] = index;
		}
		return new AddressBlockTable(chunks, firstStarts, chunkByPrefix);
	}
}

/** Parses an IPv4 address into an unsigned 32-bit integer; undefined for other text. */
export function parseIpv4Address(text: string): number | undefined {
	let value = 0;
	const parts = text.split('.');
	for (const part of parts) {
		value = value * 256 + Number(part);
	}
	return parts.length === 4 && Number.isInteger(value) && value < ADDRESS_SPACE ? value : undefined;
}

/** Returns the index of the last element at or below a value; -1 when there is none. */
function lastIndexAtOrBelow(sorted: Uint32Array, value: number): number {
	let low = 0;
	let high = sorted.length;
	while (low < high) {
		const middle = (low + high) >>> 1;
		if (sorted[middle]! <= value) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}
	return low - 1;
}

function applyChanges(chunks: Chunk[], changes: readonly AddressRangeChange[]): Chunk[] {
	for (const change of changes) {
		applyChange(chunks, change);
	}
	return chunks;
}

/** Merges the affected chunks with the change, and splits the result when it is too long. */
function applyChange(chunks: Chunk[], change: AddressRangeChange): void {
	const first = Math.max(0, chunkIndexOf(chunks, change.from));
	const last = Math.max(first, chunkIndexOf(chunks, change.to));
	const starts: number[] = [];
	const sites: number[] = [];
	const appendRange = (start: number, site: number): void => {
		if (sites.at(-1) !== site) {
			starts.push(start);
			sites.push(site);
		}
	};
	let siteBeforeChange = NO_SITE;
	let siteAtChangeEnd = NO_SITE;
	let isInserted = false;
	const insertChange = (): void => {
		isInserted = true;
		appendRange(change.from, change.site);
		if (change.to < ADDRESS_SPACE) {
			appendRange(change.to, siteAtChangeEnd);
		}
	};
	for (const chunk of chunks.slice(first, last + 1)) {
		for (let i = 0; i < chunk.starts.length; i++) {
			const start = chunk.starts[i]!;
			const site = chunk.sites[i]!;
			if (start < change.from) {
				appendRange(start, site);
				siteBeforeChange = site;
				siteAtChangeEnd = site;
			} else if (start <= change.to) {
				siteAtChangeEnd = site;
			} else {
				if (!isInserted) {
					insertChange();
				}
				appendRange(start, site);
			}
		}
	}
	if (!isInserted) {
		siteAtChangeEnd = siteAtChangeEnd === NO_SITE ? siteBeforeChange : siteAtChangeEnd;
		insertChange();
	}
	chunks.splice(first, last - first + 1, ...splitIntoChunks(starts, sites));
}

function chunkIndexOf(chunks: readonly Chunk[], address: number): number {
	let low = 0;
	let high = chunks.length;
	while (low < high) {
		const middle = (low + high) >>> 1;
		if (chunks[middle]!.starts[0]! <= address) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}
	return low - 1;
}

function splitIntoChunks(starts: readonly number[], sites: readonly number[]): Chunk[] {
	const chunkCount = Math.ceil(starts.length / (RANGES_PER_CHUNK * 2));
	const length = Math.ceil(starts.length / chunkCount);
	return Array.from({ length: chunkCount }, (_unused, i) => ({
		starts: Uint32Array.from(starts.slice(i * length, (i + 1) * length)),
		sites: Uint8Array.from(sites.slice(i * length, (i + 1) * length))
	}));
}
