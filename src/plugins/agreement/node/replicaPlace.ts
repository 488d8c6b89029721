/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The place of a replica among the others: its identity, and the addresses of its peers by the settings. */

import {
	type ControlPeerSettings,
	type DiscoverySettings,
	type InstanceSettings,
	seedPeerAddresses
} from '../../../kernel/node/instanceSettings.js';
import type { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { ReplicaIdentity } from '../common/agreementCore.js';
import type { Member, MemberId } from '../common/agreementTypes.js';
import type { ConfiguredPeer } from './memberDiscovery.js';

/** Reads identity and addresses from the settings, which may change while the process runs. */
export class ReplicaPlace {
	private readonly _instance: InstanceSettings;
	private readonly _controls: ReadonlyMap<string, ControlPeerSettings>;

	constructor(private readonly _settings: ISettingsService) {
		this._instance = _settings.section<InstanceSettings>('instance');
		this._controls = _settings.namedSections<ControlPeerSettings>('control');
	}

	/** Peer addresses of the seeds in the current settings; empty if the settings list the members instead. */
	get seeds(): readonly string[] {
		return seedPeerAddresses(this._discovery, this._instance.peerAddress);
	}

	/** Whether members are discovered from seeds instead of listed in the settings. */
	get hasDiscoveredMembers(): boolean {
		return this.seeds.length > 0;
	}

	/** Whether this replica is one of those that start the system. */
	get isSeedAtFirstStart(): boolean {
		return this._discovery.firstStart && this.seeds.includes(this._instance.peerAddress);
	}

	/** The peer address if members are discovered, otherwise the instance name. */
	get id(): MemberId {
		return this.hasDiscoveredMembers ? this._instance.peerAddress : this._instance.name;
	}

	/** The listed peers but this replica itself. */
	get otherPeers(): ConfiguredPeer[] {
		const listed = [...this._controls].map(([name, { address }]) => ({ name, address }));
		return listed.filter(({ name }) => name !== this.id);
	}

	/** Identity of this replica. */
	identity(incarnation: string): ReplicaIdentity {
		const { name, hall, peerAddress } = this._instance;
		const address = this.hasDiscoveredMembers ? peerAddress : this._controls.get(name)!.address;
		return { id: this.id, incarnation, address, hall };
	}

	/**
	 * Peer address of a replica; undefined if it is not known. The settings take precedence over the member list, as instances may
	 * reach a peer at different addresses. If members are discovered, the id is the address, so no member list is needed to reply.
	 */
	addressOf(id: MemberId, members: readonly Member[]): string | undefined {
		if (this.hasDiscoveredMembers) {
			return id;
		}
		return this._controls.get(id)?.address ?? members.find(member => member.id === id)?.address;
	}

	private get _discovery(): DiscoverySettings {
		return this._settings.section<DiscoverySettings>('discovery');
	}
}
