/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Look-ups at an entry instance, based on the placements in effect there. */

import { systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { integerSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IEntryConfiguration } from '../../configuration/common/entryConfiguration.js';
import { regionOfBucket } from '../../configuration/common/placementBuckets.js';
import { bucketOf, rankEntries } from '../common/entryRanking.js';
import { PlacementPacer } from '../common/placementPacer.js';
import type { ISteering, LookupResult } from '../common/steering.js';

const PACE_INTERVAL_MS = 50;
const MS_PER_SECOND = 1000;
/** After this long without contact to control, entry instances of the own data hall are preferred. */
const CONTROL_CONTACT_TIMEOUT_MS = 3000;
const ADDRESS_BLOCK_PATTERN = /^(\d+\.\d+\.\d+)\.\d+$/;

/** Section `[steering]` of an entry instance. */
interface EntrySteeringSettings {
	readonly lookupTtlMs: number;
}

settingsRegistry.register({
	name: 'steering',
	named: false,
	kinds: [ProcessKind.Entry],
	description: 'Look-ups of entry instances by callers.',
	keys: {
		lookupTtlMs: {
			schema: integerSchema(1000, 3600000),
			description:
				'How long callers may cache the result of a look-up, 1000 to 3600000 ms; rounded down to whole seconds.',
			default: '2000'
		}
	}
});

/** Look-ups at one entry instance. */
export class SteeringService extends Disposable implements ISteering {
	readonly lookupTtlMs: number;
	private readonly _pacer = new PlacementPacer();

	constructor(
		@ISettingsService settings: ISettingsService,
		@IEntryConfiguration private readonly _configuration: IEntryConfiguration
	) {
		super();
		this.lookupTtlMs = settings.section<EntrySteeringSettings>('steering').lookupTtlMs;
		this._register(this._configuration.onDidChange(table => this._pacer.applyConfiguration(table, systemClock.now())));
		this._configuration.addReportPart(() => ({ revisionInForce: this._pacer.revisionInForce }));
		const timer = setInterval(() => this._advance(), PACE_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	lookUp(service: string, group: string, client: string): LookupResult | undefined {
		const { table, directory, identity } = this._configuration;
		if (!table || !this._configuration.isUsable) {
			return undefined;
		}
		const clientKey = addressBlockOf(client);
		const placement = this._pacer.placement(group, identity.region);
		const region = regionOfBucket(placement, bucketOf(group, clientKey));
		const isDisconnected = this._configuration.controlContactAgeMs() > CONTROL_CONTACT_TIMEOUT_MS;
		const criteria = { service, group, clientKey, region, preferredHall: isDisconnected ? identity.hall : undefined };
		const entries = directory?.entries ?? [{ identity, leaving: false }];
		return {
			revision: this._pacer.revisionInForce,
			ttlSeconds: Math.floor(this.lookupTtlMs / MS_PER_SECOND),
			entries: rankEntries(criteria, entries, table)
		};
	}

	private _advance(): void {
		if (this._pacer.advance(systemClock.now())) {
			this._configuration.reportNow();
		}
	}
}

/** Returns the /24 prefix of an IPv4 address, so that clients of the same prefix are steered together. */
function addressBlockOf(client: string): string {
	return ADDRESS_BLOCK_PATTERN.exec(client)?.[1] ?? client;
}
