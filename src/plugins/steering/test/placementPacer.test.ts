/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** An instance that missed stages of a placement change must still respect the cap per window. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConfigurationTable, type Placement } from '../../configuration/common/configuration.js';
import { countMovedBuckets } from '../../configuration/common/placementBuckets.js';
import { PlacementPacer } from '../common/placementPacer.js';

const CAP = 100;
const WINDOW_MS = 1000;
const HOME: Placement = { group: 'g', home: 'north', ranges: [] };

function table(revision: number, moved: number): ConfigurationTable {
	const group = { name: 'g', share: 1, capPermille: CAP, capWindowMs: WINDOW_MS };
	const ranges = moved > 0 ? [{ from: 0, to: moved, region: 'south' }] : [];
	return new ConfigurationTable({ revision, groups: [group], placements: [{ ...HOME, ranges }], leaving: [] });
}

test('a jump from stage 0 to stage 5 takes one window per stage, and the revision is in force only afterwards', () => {
	const pacer = new PlacementPacer();
	pacer.applyConfiguration(table(1, 0), 0);
	assert.equal(pacer.revisionInForce, 1);
	pacer.applyConfiguration(table(6, 500), 0);
	for (let now = 0; now < 4000; now += 50) {
		pacer.advance(now);
		const stages = Math.floor(now / WINDOW_MS) + 1;
		assert.ok(countMovedBuckets(HOME, pacer.placement('g', 'north')) <= stages * CAP, `at ${now} ms`);
		assert.equal(pacer.revisionInForce, 1);
	}
	pacer.advance(4000);
	assert.equal(countMovedBuckets(HOME, pacer.placement('g', 'north')), 500);
	assert.equal(pacer.revisionInForce, 6);
});

test('the first configuration after a start takes effect at once', () => {
	const pacer = new PlacementPacer();
	pacer.applyConfiguration(table(6, 500), 0);
	assert.equal(pacer.revisionInForce, 6);
});
