/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Settings of all instances: identity, location, control instances and TLS. */

import * as z from 'zod/mini';
import { ProcessKind } from '../common/pluginRegistry.js';
import {
	addressListSchema,
	addressSchema,
	booleanSchema,
	nameSchema,
	numberSchema,
	pathSchema,
	settingsRegistry
} from '../common/settingsRegistry.js';
import { type ISettingsService, registerCrossCheck, type SettingsFault } from './settingsService.js';

const INSTANCE_KINDS = [ProcessKind.Control, ProcessKind.Entry];

/** Section `[instance]`. */
export interface InstanceSettings {
	readonly name: string;
	readonly hall: string;
	readonly region: string;
	readonly logLevel: string;
	readonly peerAddress: string;
	/** Memory that the process may use, in MiB. */
	readonly memoryMb: number;
}

/** Section `[control.NAME]`. */
export interface ControlPeerSettings {
	readonly address: string;
	readonly hall: string;
}

/** Section `[discovery]`. */
export interface DiscoverySettings {
	/** Addresses of some control instances; empty if they are listed in `[control.NAME]` sections. */
	readonly seeds: readonly string[];
	/** Whether the whole system is started for the first time, with empty disks. */
	readonly firstStart: boolean;
}

/** Peer addresses of the seeds; with discovery, all instances use the same peer port. */
export function seedPeerAddresses(discovery: DiscoverySettings, ownPeerAddress: string): string[] {
	const port = ownPeerAddress.split(':')[1];
	return discovery.seeds.map(seed => `${seed.split(':')[0]}:${port}`);
}

/** Section `[tls]`; all paths are empty if TLS is disabled. */
export interface TlsSettings {
	readonly certificateFile: string;
	readonly keyFile: string;
	readonly authorityFile: string;
}

settingsRegistry.register({
	name: 'instance',
	named: false,
	kinds: INSTANCE_KINDS,
	description: 'Identity and location of this instance.',
	keys: {
		name: { schema: nameSchema, description: 'Name of this instance, unique in the system.' },
		hall: { schema: nameSchema, description: 'Data hall of this instance.' },
		region: { schema: nameSchema, description: 'Region of the data hall.' },
		peerAddress: {
			schema: addressSchema,
			description:
				'IPv4 address and port of the listener for other instances; port 0 lets the operating system choose one.'
		},
		memoryMb: {
			schema: numberSchema(16, 1048576),
			description:
				'Memory that the process may use in MiB, 16 to 1048576; parts of it hold bodies that are being received, and data for callers and targets.',
			default: '256'
		},
		logLevel: {
			schema: z.enum(['debug', 'info', 'warn', 'error'], 'debug, info, warn or error'),
			description: 'Minimum level of log lines: debug, info, warn or error.',
			default: 'info'
		}
	}
});

settingsRegistry.register({
	name: 'control',
	named: true,
	kinds: INSTANCE_KINDS,
	description: 'One section for each control instance, including this one.',
	keys: {
		address: { schema: addressSchema, description: 'IPv4 address and port of its listener for other instances.' },
		hall: { schema: nameSchema, description: 'Data hall of the control instance.' }
	}
});

settingsRegistry.register({
	name: 'discovery',
	named: false,
	kinds: INSTANCE_KINDS,
	description: 'Discovery of control instances that are not listed in [control.NAME] sections.',
	keys: {
		seeds: {
			schema: addressListSchema,
			description: 'Comma-separated addresses of some control instances; they use the peer port of this instance.',
			default: ''
		},
		firstStart: {
			schema: booleanSchema,
			description: 'Whether the whole system is started for the first time, with empty disks: true or false.',
			default: 'false'
		}
	}
});

settingsRegistry.register({
	name: 'tls',
	named: false,
	kinds: INSTANCE_KINDS,
	description: 'Mutual TLS between instances; either all three files are set or none.',
	keys: {
		certificateFile: { schema: z.string(), description: 'PEM certificate of this instance.', default: '' },
		keyFile: { schema: z.string(), description: 'PEM private key of this instance.', default: '' },
		authorityFile: {
			schema: z.string(),
			description: 'PEM certificates of the authorities that peers are verified against.',
			default: ''
		}
	}
});

function findDuplicateAddresses(settings: ISettingsService): SettingsFault[] {
	const owners = new Map<string, string>();
	const faults: SettingsFault[] = [];
	for (const [name, peer] of settings.namedSections<ControlPeerSettings>('control')) {
		const owner = owners.get(peer.address);
		if (owner) {
			faults.push({
				section: `control.${name}`,
				key: 'address',
				message: `'${peer.address}' is the address of [control.${owner}] too; each instance needs its own`
			});
		}
		owners.set(peer.address, name);
	}
	return faults;
}

function findMissingControl(settings: ISettingsService): SettingsFault[] {
	const isDiscovered = settings.section<DiscoverySettings>('discovery').seeds.length > 0;
	if (isDiscovered || settings.namedSections('control').size > 0) {
		return [];
	}
	return [
		{ section: 'control.NAME', message: 'is missing; at least one control instance, or [discovery] seeds, is needed' }
	];
}

function findIncompleteTls(settings: ISettingsService): SettingsFault[] {
	const tls = settings.section<TlsSettings>('tls');
	const givenCount = [tls.certificateFile, tls.keyFile, tls.authorityFile].filter(path => path !== '').length;
	if (givenCount === 0 || givenCount === 3) {
		return [];
	}
	return [{ section: 'tls', message: 'certificateFile, keyFile and authorityFile are needed together' }];
}

registerCrossCheck(INSTANCE_KINDS, findMissingControl);
registerCrossCheck(INSTANCE_KINDS, findDuplicateAddresses);
registerCrossCheck(INSTANCE_KINDS, findIncompleteTls);
registerCrossCheck([ProcessKind.Control], settings => {
	const instance = settings.section<InstanceSettings>('instance');
	if (settings.section<DiscoverySettings>('discovery').seeds.length > 0) {
		return [];
	}
	const own = settings.namedSections<ControlPeerSettings>('control').get(instance.name);
	if (!own) {
		return [{ section: 'instance', key: 'name', message: `no section [control.${instance.name}] lists this instance` }];
	}
	if (own.hall !== instance.hall) {
		return [
			{ section: 'instance', key: 'hall', message: `'${instance.hall}' differs from [control.${instance.name}]` }
		];
	}
	return [];
});

/** Schema of the data folder of a control instance. */
export const dataFolderSchema = pathSchema;
