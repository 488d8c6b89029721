/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Settings, metrics and log of admission under shortage. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Registry } from 'prom-client';
import { MetricsService } from '../../../kernel/node/metricsService.js';
import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { ISettingsService } from '../../../kernel/node/settingsService.js';
import { settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import '../common/admissionSettings.js';
import type { AdmissionSettings } from '../common/admissionSettings.js';
import { ShortageOutcome, type ShortageRequest } from '../common/shortageAdmission.js';
import { ShortageAdmissionService } from '../node/shortageAdmissionService.js';

interface TestInstance {
	readonly admission: ShortageAdmissionService;
	readonly registry: Registry;
	readonly logged: string[];
}

function createInstance(ranks: AdmissionSettings['ranks'], isRanked: boolean): TestInstance {
	const metrics = new MetricsService();
	const { registry } = metrics;
	const logged: string[] = [];
	const settings = { section: () => ({ ranks }) } as unknown as ISettingsService;
	const log = { info: (message: string) => logged.push(message) } as unknown as ILogService;
	return { admission: new ShortageAdmissionService(settings, { isRanked }, metrics, log), registry, logged };
}

/** Sends requests of many teams, none of which finds room; returns whether all were admitted as without a shortage. */
function flood({ admission }: TestInstance, durationMs: number, outcome: ShortageOutcome, startedAt = 0): boolean {
	let isAlike = true;
	for (let now = startedAt; now < startedAt + durationMs; now += 10) {
		const team = (now / 10) % 40;
		const rank = { team: 0, route: team % 2 };
		const request: ShortageRequest = { service: 'reads', rank, teamName: `team-${team}`, deadline: now + 1000 };
		const decision = admission.decide(request, now);
		isAlike &&= decision.kind === 'admit' && decision.utilizationFactor === 1;
		if (decision.kind === 'admit') {
			admission.recordOutcome(request, outcome, now);
		}
	}
	return isAlike;
}

test('ranks decide where the setting or, by default, the deployment asks for it; otherwise decisions are as without them', () => {
	const isAlike = (ranks: AdmissionSettings['ranks'], isRanked: boolean): boolean =>
		flood(createInstance(ranks, isRanked), 5000, ShortageOutcome.NoTarget);
	assert.equal(isAlike('deployment', false), true);
	assert.equal(isAlike('off', true), true);
	assert.equal(isAlike('deployment', true), false);
	assert.equal(isAlike('on', false), false);
});

test('the setting is checked', () => {
	const section = settingsRegistry.sectionsFor(ProcessKind.Entry).find(({ name }) => name === 'admission')!;
	assert.equal(section.keys.ranks!.schema.safeParse('on').success, true);
	assert.match(section.keys.ranks!.schema.safeParse('yes').error!.issues[0]!.message, /deployment, on, off/);
});

test('a shortage is logged as it changes its level, and decisions are counted for a bounded number of teams', async () => {
	const instance = createInstance('on', false);
	flood(instance, 10000, ShortageOutcome.NoTarget);
	flood(instance, 10000, ShortageOutcome.Completed, 10000);
	assert.ok(instance.logged.length >= 2 && instance.logged.length <= 8, instance.logged.join('\n'));
	assert.equal(instance.logged[0], 'shortage of slots, served by rank');
	assert.equal(instance.logged.at(-1), 'shortage of slots has ended');
	const text = await instance.registry.metrics();
	assert.ok(new Set(text.match(/team="[^"]*"/g)).size <= 21);
	assert.match(text, /team="other",decision="refused-rank"/);
	assert.match(text, /shelffield_shortage_admitted_fraction{service="reads"} 1/);
});
