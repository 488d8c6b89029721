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
		dataFolder: { schema: dataFolderSchema, description: 'Folder for the log; on a disk that keeps what is synced.' },
		heartbeatMs: {
			schema: integerSchema(20, 5000),
			description: 'Time between heartbeats of the leader, 20 to 5000 ms.',
			default: '100'
		},
		electionMinMs: {
			schema: integerSchema(100, 30000),
			description: 'Least time without a leader before an election, 100 to 30000 ms; more than leaseMs.',
			default: '600'
		},
		leaseMs: {
			schema: integerSchema(50, 20000),
			description: 'How long a leader answers reads after a quorum heard from it, 50 to 20000 ms.',
			default: '450'
		},
		snapshotEveryEntries: {
			schema: integerSchema(10, 1000000),
			description: 'Entries after which the log is replaced by a snapshot, 10 to 1000000.',
			default: '4096'
		}
	}
});
