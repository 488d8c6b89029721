/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Settings of the replicated log. */

import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { integerSchema, settingsRegistry } from '../../../kernel/common/settingsRegistry.js';
import { dataFolderSchema } from '../../../kernel/node/instanceSettings.js';

/** Section `[agreement]`. */
export interface AgreementSettings {
	readonly dataFolder: string;
	readonly heartbeatMs: number;
	readonly electionMinMs: number;
	readonly leaseMs: number;
	readonly snapshotEveryEntries: number;
}

settingsRegistry.register({
	name: 'agreement',
	named: false,
	kinds: [ProcessKind.Control],
	description: 'The replicated log of the control instances.',
	keys: {
		dataFolder: {
			schema: dataFolderSchema,
			description: 'Folder for the log, on a disk that does not lose synced data.'
		},
		heartbeatMs: {
			schema: integerSchema(20, 5000),
			description: 'Heartbeat interval of the leader, 20 to 5000 ms.',
			default: '100'
		},
		electionMinMs: {
			schema: integerSchema(100, 30000),
			description: 'Minimum election timeout, 100 to 30000 ms; must be greater than leaseMs.',
			default: '600'
		},
		leaseMs: {
			schema: integerSchema(50, 20000),
			description: 'How long after the last quorum contact a leader answers reads, 50 to 20000 ms.',
			default: '450'
		},
		snapshotEveryEntries: {
			schema: integerSchema(10, 1000000),
			description: 'Number of committed entries after which they are replaced with a snapshot, 10 to 1000000.',
			default: '4096'
		}
	}
});
