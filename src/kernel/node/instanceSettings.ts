/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The settings that every process has: who and where it is, and the control instances it knows. */

import * as z from 'zod/mini';
import { ProcessKind } from '../common/pluginRegistry.js';
import {
	addressListSchema,
	addressSchema,
	booleanSchema,
	nameSchema,
	pathSchema,
	settingsRegistry
} from '../common/settingsRegistry.js';
import { type ISettingsService, registerCrossCheck, type SettingsFault } from './settingsService.js';

const BOTH = [ProcessKind.Control, ProcessKind.Entry];

/** Section `[instance]`. */
export interface InstanceSettings {
	readonly name: string;
	readonly hall: string;
	readonly region: string;
	readonly logLevel: string;
	readonly peerAddress: string;
}

/** Section `[control.NAME]`. */
export interface ControlPeerSettings {
	readonly address: string;
	readonly hall: string;
}

/** Section `[discovery]`. */
export interface DiscoverySettings {
	/** Addresses of some control instances; empty when they are listed in sections of their own. */
	readonly seeds: readonly string[];
	/** Whether the whole system starts for the first time, on empty disks. */
	readonly firstStart: boolean;
}

/** The peer addresses of the seeds: where members are learned, all instances use one peer port. */
export function seedPeerAddresses(discovery: DiscoverySettings, ownPeerAddress: string): string[] {
	const port = ownPeerAddress.split(':')[1];
	return discovery.seeds.map(seed => `${seed.split(':')[0]}:${port}`);
}

/** Section `[tls]`; empty paths mean that the part is off. */
export interface TlsSettings {
	readonly certificateFile: string;
	readonly keyFile: string;
	readonly authorityFile: string;
}

settingsRegistry.register({
	name: 'instance',
	named: false,
	kinds: BOTH,
	description: 'Who and where this instance is.',
	keys: {
		name: { schema: nameSchema, description: 'Name of this instance, unique in the system.' },
		hall: { schema: nameSchema, description: 'Data hall the instance stands in.' },
		region: { schema: nameSchema, description: 'Region of the data hall.' },
		peerAddress: {
			schema: addressSchema,
			description: 'IPv4 address and port for the other processes of the system; port 0 lets the system choose.'
		},
		logLevel: {
			schema: z.enum(['debug', 'info', 'warn', 'error'], 'debug, info, warn or error'),
			description: 'Least level that is logged: debug, info, warn or error.',
			default: 'info'
		}
	}
});

settingsRegistry.register({
	name: 'control',
	named: true,
	kinds: BOTH,
	description: 'One section for each control instance, this one included.',
	keys: {
		address: { schema: addressSchema, description: 'IPv4 address and port of its peer listener.' },
		hall: { schema: nameSchema, description: 'Data hall it stands in.' }
	}
});

settingsRegistry.register({
	name: 'discovery',
	named: false,
	kinds: BOTH,
	description: 'How control instances are found where they are not listed in sections [control.NAME].',
	keys: {
		seeds: {
			schema: addressListSchema,
			description: 'Addresses of some control instances, parted by commas; their peer port is that of this instance.',
			default: ''
		},
		firstStart: {
			schema: booleanSchema,
			description: 'Whether the whole system starts for the first time, on empty disks: true or false.',
			default: 'false'
		}
	}
});

settingsRegistry.register({
	name: 'tls',
	named: false,
	kinds: BOTH,
	description: 'Mutual TLS between the processes; all three files or none.',
	keys: {
		certificateFile: { schema: z.string(), description: 'PEM certificate of this instance.', default: '' },
		keyFile: { schema: z.string(), description: 'PEM private key of this instance.', default: '' },
		authorityFile: { schema: z.string(), description: 'PEM certificates that peers are checked by.', default: '' }
	}
});

function findEqualAddresses(settings: ISettingsService): SettingsFault[] {
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

function findHalfTls(settings: ISettingsService): SettingsFault[] {
	const tls = settings.section<TlsSettings>('tls');
	const given = [tls.certificateFile, tls.keyFile, tls.authorityFile].filter(path => path !== '').length;
	if (given === 0 || given === 3) {
		return [];
	}
	return [{ section: 'tls', message: 'certificateFile, keyFile and authorityFile are needed together' }];
}

registerCrossCheck(BOTH, findMissingControl);
registerCrossCheck(BOTH, findEqualAddresses);
registerCrossCheck(BOTH, findHalfTls);
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

/** Schema of the data folder, kept here for the control process alone. */
export const dataFolderSchema = pathSchema;
