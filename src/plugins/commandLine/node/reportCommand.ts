/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** `shelffield report burn`: the error budget report. */

import { writeFileSync } from 'node:fs';
import { type BurnReport, burnReportHtml, collectBurnReport } from './burnReport.js';
import type { StatusResponse } from '../../operators/common/operatorApi.js';
import { CONNECTION_OPTIONS, ExitCode, type ICommand, UsageError } from '../common/command.js';
import { OperatorConnection } from './operatorConnection.js';
import { formatTable, printResult } from './output.js';

function describeReport(report: BurnReport): string {
	const rows = report.rows.map(row => [
		row.service,
		row.group,
		row.objective,
		row.window,
		row.requests,
		row.bad,
		row.burnRate.toFixed(2),
		`${(row.budgetLeft * 100).toFixed(1)} %`
	]);
	const head = ['service', 'group', 'objective', 'window', 'requests', 'bad', 'burn rate', 'budget left'];
	const missing = report.missing.length > 0 ? `\nMetrics could not be read from: ${report.missing.join(', ')}` : '';
	return rows.length > 0 ? formatTable(head, rows) + missing : `No requests were recorded.${missing}`;
}

/** `shelffield report`. */
export const reportCommand: ICommand = {
	name: 'report',
	summary: 'show the remaining error budget and the burn rate over several windows',
	usage: 'burn [--html FILE]',
	example: 'shelffield report burn --html burn.html',
	options: { ...CONNECTION_OPTIONS, html: { type: 'string' } },
	run: async args => {
		if (args.positionals[0] !== 'burn') {
			throw new UsageError('allowed: report burn');
		}
		const status = await new OperatorConnection(args).send<StatusResponse>('GET', '/v1/status');
		const report = await collectBurnReport(status.entries.map(entry => entry.url));
		if (typeof args.values['html'] === 'string') {
			writeFileSync(args.values['html'], burnReportHtml(report));
		}
		printResult(args, report, () => describeReport(report));
		return ExitCode.Done;
	}
};
