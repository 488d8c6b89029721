/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Renders the results of a soak test as an HTML page with plots over time. */

import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import type { SoakResult } from './soakRun.js';

/** Returns a self-contained HTML page; `uplot` draws the plots. */
export function renderSoakPage(results: readonly SoakResult[]): string {
	const require = createRequire(import.meta.url);
	const script = readFileSync(require.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8');
	const style = readFileSync(require.resolve('uplot/dist/uPlot.min.css'), 'utf8');
	const rows = results.map(
		({ seed, requests, faults, breaches }) =>
			`<tr><td>${seed}</td><td>${requests}</td><td>${faults.length}</td><td>${breaches.length}</td></tr>`
	);
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Fault soak</title><style>${style} body{font:14px sans-serif}</style></head>
<body><h1>Fault soak</h1>
<table><tr><th>seed</th><th>requests</th><th>faults</th><th>broken</th></tr>${rows.join('')}</table><div id="plots"></div>
<script>${script}</script>
<script>
const results = ${JSON.stringify(results.map(({ seed, seconds }) => ({ seed, seconds })))};
const fields = { served: 'green', refused: 'orange', failed: 'crimson', inFlight: 'navy', faults: 'black' };
for (const { seed, seconds } of results) {
	const series = [{ label: 'second' }, ...Object.entries(fields).map(([label, stroke]) => ({ label, stroke }))];
	const data = [seconds.map(s => s.second), ...Object.keys(fields).map(field => seconds.map(s => s[field]))];
	const options = { title: 'seed ' + seed, width: 900, height: 260, series, scales: { x: { time: false } } };
	new uPlot(options, data, document.getElementById('plots'));
}
</script></body></html>
`;
}
