/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What is logged and counted of attempts beyond the first of their requests. */

import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import type { ILogService, LogFields } from '../../../kernel/node/logService.js';
import { MetricsService } from '../../../kernel/node/metricsService.js';
import { AttemptCoverage, RetryMonitor } from '../node/retryMonitor.js';

const INTERVAL_MS = 1000;

test('attempts are counted by the budget that covers them, and logged once a second while there are retries', async () => {
	mock.timers.enable({ apis: ['setInterval'] });
	const lines: LogFields[] = [];
	const log = { info: (_message: string, fields: LogFields) => lines.push(fields) } as unknown as ILogService;
	const metrics = new MetricsService();
	const monitor = new RetryMonitor(metrics, log);
	monitor.recordWritten('board', AttemptCoverage.First, 0);
	mock.timers.tick(INTERVAL_MS);
	monitor.recordWritten('board', AttemptCoverage.First, 0);
	monitor.recordWritten('board', AttemptCoverage.OwnBudget, 480.4);
	monitor.recordWritten('board', AttemptCoverage.None, 0);
	mock.timers.tick(2 * INTERVAL_MS);
	monitor.dispose();
	mock.timers.reset();
	assert.deepEqual(lines, [{ task: 'forwarding', service: 'board', first: 1, own: 1, none: 1, maxDelayMs: 480 }]);
	const page = await metrics.render();
	assert.match(page, /attempts_written_total\{service="board",budget="first"\} 2/);
	assert.match(page, /attempts_written_total\{service="board",budget="none"\} 1/);
});
