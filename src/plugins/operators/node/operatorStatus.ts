/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** What operators are told of the system: its status, and where a revision is in force. */

import type { IAgreement } from '../../agreement/common/agreement.js';
import type { Revision } from '../../configuration/common/configuration.js';
import type { IControlStateService } from '../../configuration/common/controlStateService.js';
import { PlanStatus } from '../../configuration/common/intents.js';
import type { IEntryMembership } from '../../membership/common/entryMembership.js';
import type { InForceStatus, StatusResponse } from '../common/operatorApi.js';

const IN_FORCE_TIMEOUT_MS = 2000;

/** Reads the status from the replicated state and the reports of entry instances. */
export class OperatorStatus {
	constructor(
		private readonly _agreement: IAgreement,
		private readonly _control: IControlStateService,
		private readonly _membership: IEntryMembership
	) {}

	/** Members, entry instances, groups and confirmed plans. */
	status(): StatusResponse {
		const replicaStatus = this._agreement.status();
		const { state } = this._control;
		const describe = (silent: boolean) => (entry: ReturnType<IEntryMembership['live']>[number]) => ({
			instance: entry.report.identity.instance,
			url: entry.report.identity.url,
			hall: entry.report.identity.hall,
			region: entry.report.identity.region,
			revisionInForce: entry.report.revisionInForce,
			provisional: entry.report.provisional,
			leaving: entry.report.leaving,
			silent
		});
		const live = this._membership.live().map(describe(false));
		const silent = this._membership.silent().map(describe(true));
		const confirmedPlans = state.plans.filter(record => record.status !== PlanStatus.Proposed);
		return {
			instance: replicaStatus.id,
			leader: replicaStatus.leader ?? '',
			term: replicaStatus.term,
			revision: state.configuration.revision,
			members: replicaStatus.members.map(member => ({ id: member.id, role: member.role })),
			entries: [...live, ...silent],
			groups: state.configuration.groups.map(group => ({ ...group })),
			leaving: state.configuration.leaving.map(item => ({ ...item })),
			plans: confirmedPlans.map(record => ({
				planId: record.plan.planId,
				intent: record.plan.intent,
				status: record.status,
				stagesBegun: record.stagesBegun,
				stages: record.plan.stages.length,
				holdReason: record.holdReason
			}))
		};
	}

	/** At how many of the known entry instances a revision is in force. */
	inForce(revision: Revision): InForceStatus {
		const live = this._membership.live();
		const silent = this._membership.silent();
		const behind = live.filter(entry => entry.report.revisionInForce < revision);
		return {
			count: live.length - behind.length,
			of: live.length + silent.length,
			missing: [...behind, ...silent].map(entry => entry.report.identity.instance)
		};
	}

	/** As {@link inForce}, once the revision is in force at all live entry instances or the time for that has passed. */
	async waitUntilInForce(revision: Revision): Promise<InForceStatus> {
		const isInForce = (): boolean => this._membership.live().every(entry => entry.report.revisionInForce >= revision);
		if (!isInForce()) {
			await new Promise<void>(resolve => {
				const settle = (): void => {
					subscription.dispose();
					clearTimeout(timer);
					resolve();
				};
				const timer = setTimeout(settle, IN_FORCE_TIMEOUT_MS);
				const subscription = this._membership.onDidReport(() => isInForce() && settle());
			});
		}
		return this.inForce(revision);
	}
}
