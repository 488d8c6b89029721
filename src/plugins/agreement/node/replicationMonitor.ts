/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Counts what the leader sends to the other replicas and how often they reject it; logs replicas that reject. */

import { Counter } from 'prom-client';
import { type Millis, systemClock } from '../../../base/clock.js';
import type { ILogService } from '../../../kernel/node/logService.js';
import type { IMetricsService } from '../../../kernel/node/metricsService.js';
import type { AgreementMessage, MemberId } from '../common/agreementTypes.js';

/** Minimum time between two log lines about the same replica. */
const LOG_INTERVAL_MS: Millis = 5000;
const BYTES_PER_MIB = 1024 * 1024;

/** What was exchanged with a replica since the last log line about it. */
interface Exchanged {
	since: Millis;
	rejections: number;
	entries: number;
	snapshots: number;
}

/** Counts the replication traffic of one replica. */
export class ReplicationMonitor {
	private readonly _exchanged = new Map<MemberId, Exchanged>();
	private readonly _entriesSent: Counter;
	private readonly _snapshotsSent: Counter;
	private readonly _rejections: Counter<'member'>;

	constructor(
		{ registry }: IMetricsService,
		private readonly _log: ILogService
	) {
		this._entriesSent = new Counter({
			name: 'shelffield_agreement_entries_sent_total',
			help: 'Log entries sent to other replicas, each time they were sent.',
			registers: [registry]
		});
		this._snapshotsSent = new Counter({
			name: 'shelffield_agreement_snapshots_sent_total',
			help: 'Snapshots sent to other replicas.',
			registers: [registry]
		});
		this._rejections = new Counter({
			name: 'shelffield_agreement_rejections_total',
			help: 'Entries or heartbeats that another replica rejected because its log differs.',
			labelNames: ['member'],
			registers: [registry]
		});
	}

	/** Counts a message to another replica. */
	recordSent(message: AgreementMessage): void {
		if (message.type === 'append') {
			this._entriesSent.inc(message.entries.length);
			this._of(message.to).entries += message.entries.length;
		} else if (message.type === 'snapshot') {
			this._snapshotsSent.inc();
			this._of(message.to).snapshots++;
		}
	}

	/** Counts a message from another replica. */
	recordReceived(message: AgreementMessage): void {
		if (message.type !== 'appendReply' || message.accepted) {
			return;
		}
		this._rejections.inc({ member: message.from });
		const exchanged = this._of(message.from);
		exchanged.rejections++;
		this._logIfDue(message.from, exchanged, systemClock.now());
	}

	private _logIfDue(member: MemberId, exchanged: Exchanged, now: Millis): void {
		if (now - exchanged.since < LOG_INTERVAL_MS) {
			return;
		}
		this._exchanged.delete(member);
		this._log.warn('replica rejects entries', {
			task: 'agreement',
			member,
			rejections: exchanged.rejections,
			entriesSent: exchanged.entries,
			snapshotsSent: exchanged.snapshots,
			duringMs: Math.round(now - exchanged.since),
			memoryMib: Math.round(process.memoryUsage.rss() / BYTES_PER_MIB)
		});
	}

	private _of(member: MemberId): Exchanged {
		let exchanged = this._exchanged.get(member);
		if (!exchanged) {
			exchanged = { since: systemClock.now(), rejections: 0, entries: 0, snapshots: 0 };
			this._exchanged.set(member, exchanged);
		}
		return exchanged;
	}
}
