/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Admission under shortage of an entry instance: chooses the way of deciding by the settings, and counts and logs decisions. */

import { Counter, Gauge } from 'prom-client';
import type { Millis } from '../../../base/clock.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IMetricsService } from '../../../kernel/node/metricsService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { AdmissionSettings } from '../common/admissionSettings.js';
import { RankedAdmission } from '../common/rankedAdmission.js';
import {
	type IShortageAdmission,
	type ShortageDecision,
	type ShortageOutcome,
	type ShortageRequest,
	UnrankedAdmission
} from '../common/shortageAdmission.js';
import { IShortageSettings } from '../common/shortageSettings.js';

/** Number of teams with a label of their own in metrics. */
const MAX_TEAM_LABELS = 20;
/** Minimum time between log lines on the same service. */
const MIN_LOG_INTERVAL_MS: Millis = 1000;
/** Number of levels of shortage that are told apart in the log. */
const LOG_LEVELS = 4;

interface LoggedLevel {
	readonly level: number;
	readonly at: Millis;
}

/** Decides by rank where the settings ask for it. */
export class ShortageAdmissionService implements IShortageAdmission {
	private readonly _admission: UnrankedAdmission | RankedAdmission;
	private readonly _decisions: Counter<'service' | 'rank' | 'team' | 'decision'>;
	private readonly _teamLabels = new Set<string>();
	private readonly _loggedLevels = new Map<string, LoggedLevel>();

	constructor(
		@ISettingsService settings: ISettingsService,
		@IShortageSettings { isRanked }: IShortageSettings,
		@IMetricsService metrics: IMetricsService,
		@ILogService private readonly _log: ILogService
	) {
		const { ranks } = settings.section<AdmissionSettings>('admission');
		const admission = ranks === 'on' || (ranks === 'deployment' && isRanked) ? new RankedAdmission() : undefined;
		this._admission = admission ?? new UnrankedAdmission();
		const registers = [metrics.registry];
		this._decisions = new Counter({
			name: 'shelffield_shortage_decisions_total',
			help: 'Decisions during a shortage by service, rank (of the team, of the route), team and decision.',
			labelNames: ['service', 'rank', 'team', 'decision'],
			registers
		});
		new Gauge({
			name: 'shelffield_shortage_admitted_fraction',
			help: 'Part of the demand for a service that this instance admits, 0 to 1; 1 without a shortage.',
			labelNames: ['service'],
			registers,
			collect() {
				admission?.fractions.forEach((fraction, service) => this.set({ service }, fraction));
			}
		});
	}

	decide(request: ShortageRequest, now: Millis): ShortageDecision {
		const decision = this._admission.decide(request, now);
		if (decision.kind === 'refuse' || decision.utilizationFactor !== 1) {
			this._count(request, decision);
		}
		if (this._admission instanceof RankedAdmission) {
			this._logLevel(request.service, this._admission, now);
		}
		return decision;
	}

	recordOutcome(request: ShortageRequest, outcome: ShortageOutcome, now: Millis): void {
		this._admission.recordOutcome(request, outcome, now);
	}

	private _count({ service, rank, teamName }: ShortageRequest, decision: ShortageDecision): void {
		this._decisions.inc({
			service,
			rank: `${rank.team}.${rank.route}`,
			team: this._teamLabel(teamName),
			decision: describeDecision(decision)
		});
	}

	/** Names the first teams that a shortage concerns, and puts all others together. */
	private _teamLabel(teamName: string | undefined): string {
		if (teamName === undefined) {
			return '';
		}
		if (this._teamLabels.size < MAX_TEAM_LABELS) {
			this._teamLabels.add(teamName);
		}
		return this._teamLabels.has(teamName) ? teamName : 'other';
	}

	private _logLevel(service: string, admission: RankedAdmission, now: Millis): void {
		const logged = this._loggedLevels.get(service);
		if (logged && now - logged.at < MIN_LOG_INTERVAL_MS) {
			return;
		}
		const fraction = admission.fractionOf(service);
		const level = Math.floor(fraction * LOG_LEVELS);
		if (level !== (logged?.level ?? LOG_LEVELS)) {
			const message = level === LOG_LEVELS ? 'shortage of slots has ended' : 'shortage of slots, served by rank';
			this._log.info(message, { service, admittedFraction: Number(fraction.toFixed(2)) });
			this._loggedLevels.set(service, { level, at: now });
		}
	}
}

function describeDecision(decision: ShortageDecision): string {
	if (decision.kind === 'refuse') {
		return `refused-${decision.cause}`;
	}
	return decision.utilizationFactor < 1 ? 'admitted-reduced' : 'admitted';
}
