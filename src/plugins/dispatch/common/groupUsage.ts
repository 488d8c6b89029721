/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Counts the requests in flight by group. */

/** Smoothing factor of the exponential moving average of the requests in flight; one sample per refresh. */
const DEMAND_SAMPLE_WEIGHT = 0.2;

/** Requests of a group in flight: the current number and its moving average. */
interface Usage {
	inFlight: number;
	meanInFlight: number;
}

/** Requests in flight of all groups of a service, with moving averages of their numbers. */
export class GroupUsage {
	private readonly _usageByGroup = new Map<string, Usage>();

	/** Counts a request until the returned function is called. */
	start(group: string): () => void {
		const usage = this._usageOf(group);
		usage.inFlight++;
		return () => {
			usage.inFlight--;
		};
	}

	/** Takes a sample of the requests in flight; called regularly. */
	sample(): void {
		for (const usage of this._usageByGroup.values()) {
			usage.meanInFlight += (usage.inFlight - usage.meanInFlight) * DEMAND_SAMPLE_WEIGHT;
		}
	}

	/** Mean number of requests in flight, by group. */
	means(): (readonly [group: string, meanInFlight: number])[] {
		return [...this._usageByGroup].map(([group, { meanInFlight }]) => [group, meanInFlight]);
	}

	private _usageOf(group: string): Usage {
		let usage = this._usageByGroup.get(group);
		if (!usage) {
			usage = { inFlight: 0, meanInFlight: 0 };
			this._usageByGroup.set(group, usage);
		}
		return usage;
	}
}
