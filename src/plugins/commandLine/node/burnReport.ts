/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The error budget report: sums the metrics of all entry instances, and renders the report as an HTML page. */

import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { request } from 'undici';
import { OBJECTIVE_EVENTS_METRIC, OBJECTIVE_RATIO_METRIC } from '../../burn/common/burnRecorder.js';
import { BURN_WINDOWS, budgetLeft, burnRate } from '../../burn/common/burnWindows.js';

const REQUEST_TIMEOUT_MS = 3000;
const SAMPLE_PATTERN = /^(\w+)\{([^}]*)\} (\S+)$/;
const LABEL_PATTERN = /(\w+)="([^"]*)"/g;

/** A row of the report: one service, group, objective and window. */
export interface BurnRow {
	readonly service: string;
	readonly group: string;
	readonly objective: 'latency' | 'availability';
	readonly window: string;
	readonly requests: number;
	readonly bad: number;
	readonly burnRate: number;
	/** Remaining fraction of the error budget of the window, 0 to 1. */
	readonly budgetLeft: number;
}

/** The error budget report. */
export interface BurnReport {
	readonly rows: readonly BurnRow[];
	/** URLs of instances whose metrics could not be read. */
	readonly missing: readonly string[];
}

interface Sample {
	readonly name: string;
	readonly labels: Readonly<Record<string, string>>;
	readonly value: number;
}

function parseSamples(text: string): Sample[] {
	return text.split('\n').flatMap(line => {
		const [, name, labelText, value] = SAMPLE_PATTERN.exec(line) ?? [];
		if (name !== OBJECTIVE_EVENTS_METRIC && name !== OBJECTIVE_RATIO_METRIC) {
			return [];
		}
		const labels = Object.fromEntries([...labelText!.matchAll(LABEL_PATTERN)].map(match => [match[1]!, match[2]!]));
		return [{ name, labels, value: Number(value) }];
	});
}

/** Reads the metrics of the instances at the given URLs, and computes the report. */
export async function collectBurnReport(urls: readonly string[]): Promise<BurnReport> {
	const missing: string[] = [];
	const samples: Sample[] = [];
	for (const url of urls) {
		try {
			const response = await request(`${url}/metrics`, {
				headersTimeout: REQUEST_TIMEOUT_MS,
				bodyTimeout: REQUEST_TIMEOUT_MS
			});
			samples.push(...parseSamples(await response.body.text()));
		} catch {
			missing.push(url);
		}
	}
	return { rows: createRows(samples), missing };
}

function createRows(samples: readonly Sample[]): BurnRow[] {
	const events = samples.filter(sample => sample.name === OBJECTIVE_EVENTS_METRIC);
	const seriesKeys = [...new Set(events.map(({ labels }) => `${labels['service']}|${labels['group']}`))].sort();
	return seriesKeys.flatMap(key => {
		const [service, group] = key.split('|') as [string, string];
		return BURN_WINDOWS.flatMap(({ name: window }) => {
			const sumOf = (kind: string): number => sumEvents(events, { service, group, window, kind });
			return [
				createRow(samples, service, group, 'availability', window, sumOf('all'), sumOf('failed')),
				createRow(samples, service, group, 'latency', window, sumOf('all') - sumOf('failed'), sumOf('slow'))
			];
		});
	});
}

function sumEvents(events: readonly Sample[], labelFilter: Readonly<Record<string, string>>): number {
	return events
		.filter(({ labels }) => Object.entries(labelFilter).every(([name, value]) => labels[name] === value))
		.reduce((sum, sample) => sum + sample.value, 0);
}

function createRow(
	samples: readonly Sample[],
	service: string,
	group: string,
	objective: BurnRow['objective'],
	window: string,
	requests: number,
	bad: number
): BurnRow {
	const objectiveRatio =
		samples.find(
			({ name, labels }) =>
				name === OBJECTIVE_RATIO_METRIC && labels['service'] === service && labels['objective'] === objective
		)?.value ?? 0;
	const counts = { service, group, objective, window, requests, bad };
	return {
		...counts,
		burnRate: burnRate(bad, requests, objectiveRatio),
		budgetLeft: budgetLeft(bad, requests, objectiveRatio)
	};
}

/** Renders the report as a self-contained HTML page; includes the script and style of `uplot` for the plots. */
export function burnReportHtml(report: BurnReport): string {
	const require = createRequire(import.meta.url);
	const script = readFileSync(require.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8');
	const style = readFileSync(require.resolve('uplot/dist/uPlot.min.css'), 'utf8');
	const rows = report.rows
		.map(row => {
			const cells = [row.service, row.group, row.objective, row.window, row.requests, row.bad];
			const numbers = [row.burnRate.toFixed(2), `${(row.budgetLeft * 100).toFixed(1)} %`];
			return `<tr>${[...cells, ...numbers].map(cell => `<td>${cell}</td>`).join('')}</tr>`;
		})
		.join('\n');
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Error budget report</title>
<style>${style} body{font:14px sans-serif;margin:2em} td,th{padding:.2em .8em;text-align:left}</style></head>
<body><h1>Error budget report</h1><p>At a burn rate of 1 the error budget is used up exactly.</p><div id="plots"></div>
<table><tr><th>service</th><th>group</th><th>objective</th><th>window</th><th>requests</th><th>bad</th><th>burn rate</th>
<th>budget left</th></tr>
${rows}</table>
<script>${script}</script>
<script>
const rows = ${JSON.stringify(report.rows)};
const windows = ${JSON.stringify(BURN_WINDOWS)};
const names = [...new Set(rows.map(row => row.service + ' / ' + row.group))];
for (const name of names) {
	const own = rows.filter(row => row.service + ' / ' + row.group === name);
	const rates = objective => windows.map(w => own.find(r => r.objective === objective && r.window === w.name).burnRate);
	const data = [windows.map(w => w.minutes), rates('availability'), rates('latency')];
	const series = [{ label: 'minutes' }, { label: 'availability', stroke: 'crimson' }, { label: 'latency', stroke: 'navy' }];
	const scales = { x: { time: false, distr: 3 } };
	new uPlot({ title: name, width: 640, height: 240, series, scales }, data, document.getElementById('plots'));
}
</script></body></html>
`;
}
