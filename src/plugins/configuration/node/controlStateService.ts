/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registers the control state with the replicated log, and initializes it with the groups of the settings. */

import { Disposable } from '../../../base/disposable.js';
import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { integerSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import { IAgreement } from '../../agreement/common/agreement.js';
import type { GroupConfiguration } from '../common/configuration.js';
import { CONTROL_PART, type InitializeCommand } from '../common/controlCommands.js';
import { ControlState } from '../common/controlState.js';
import type { IControlStateService } from '../common/controlStateService.js';

settingsRegistry.register({
	name: 'group',
	named: true,
	kinds: [ProcessKind.Control],
	description: 'Initial groups, read at the first start of a system; later changes are made by intents.',
	keys: {
		share: {
			schema: integerSchema(1, 1000),
			description: 'Weight relative to the other groups, 1 to 1000.',
			default: '100'
		},
		capPermille: {
			schema: integerSchema(1, 1000),
			description: 'Maximum part of its clients that may move within a window, in thousandths, 1 to 1000.',
			default: '100'
		},
		capWindowMs: {
			schema: integerSchema(100, 86400000),
			description: 'Length of that window, 100 to 86400000 ms.',
			default: '10000'
		}
	}
});

/** Control state of this replica; the first leader initializes it. */
export class ControlStateService extends Disposable implements IControlStateService {
	readonly state = new ControlState();

	constructor(
		@ISettingsService private readonly _settings: ISettingsService,
		@IAgreement private readonly _agreement: IAgreement,
		@ILogService private readonly _log: ILogService
	) {
		super();
		this._agreement.addPart(this.state);
		this._register(this._agreement.onDidChangeLeadership(isLeader => isLeader && this._initialize()));
	}

	private _initialize(): void {
		if (this.state.configuration.revision > 0) {
			return;
		}
		const groups: GroupConfiguration[] = [];
		for (const [name, group] of this._settings.namedSections<Omit<GroupConfiguration, 'name'>>('group')) {
			groups.push({ name, ...group });
		}
		const body: InitializeCommand = { type: 'initialize', groups };
		this._agreement.propose({ part: CONTROL_PART, body }).catch((error: Error) => {
			this._log.warn('cannot initialize groups', { task: 'configuration', error: error.message });
		});
	}
}
