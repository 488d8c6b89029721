/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Order of the metrics page: collectors that store only its beginning still get the metrics of this program. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Gauge } from 'prom-client';
import { MetricsService } from '../node/metricsService.js';

test('metrics of the program come before those of Node.js', async () => {
	const metrics = new MetricsService();
	new Gauge({ name: 'shelffield_test', help: 'Test.', registers: [metrics.registry] }).set(7);
	const page = await metrics.render();
	const position = page.indexOf('shelffield_test 7');
	assert.ok(position >= 0 && position < page.indexOf('nodejs_version_info'), page);
	assert.ok(page.endsWith('\n'));
});
