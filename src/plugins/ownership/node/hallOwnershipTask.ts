/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Target ownership on an entry instance: renews the lease on its own targets and takes over those of failed siblings. */

import { systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { Emitter } from '../../../base/event.js';
import { rendezvousRank } from '../../../base/hashing.js';
import { ownValue } from '../../../base/records.js';
import type { ControlPeerSettings, InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IPeerTransport } from '../../../kernel/node/peerTransport.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import type { ITargetOwnership } from '../../dispatch/common/targetOwnership.js';
import { OwnershipLease } from '../common/ownershipLease.js';
import { promiseMethod, renewMethod, type RenewRequest } from '../common/ownershipWire.js';
import type { TargetOwnership } from '../common/takeoverState.js';

const RENEW_INTERVAL_MS = 400;
const PROMISE_INTERVAL_MS = 400;
const CALL_TIMEOUT_MS = 1000;
/** How long targets may take to detect the closed connections of a sibling whose process has stopped. */
const STOPPED_SIBLING_WAIT_MS = 500;
/** How long the targets of an unreachable sibling stay unused, as its process may still have outstanding requests. */
const UNREACHABLE_SIBLING_WAIT_MS = 10000;
const CONNECTION_REFUSED_PATTERN = /ECONNREFUSED/;

/** Assigns the targets of the data hall to its entry instances by rendezvous hashing; each owner needs a valid lease. */
export class HallOwnershipTask extends Disposable implements ITargetOwnership {
	private readonly _onDidChange = this._register(new Emitter<void>());
	readonly onDidChange = this._onDidChange.event;
	private readonly _self: string;
	private readonly _siblings: ReadonlyMap<string, { readonly address: string }>;
	private readonly _controls: readonly ControlPeerSettings[];
	private readonly _lease: OwnershipLease;
	private readonly _ownersByTarget = new Map<string, string>();
	/** Siblings whose last call failed because the connection was refused, so that their process has stopped. */
	private readonly _connectionRefusedBy = new Set<string>();
	private _controlIndex = 0;
	/** A returned sibling whose takeover control has not yet recorded as ended. */
	private _pendingGiveBack: string | undefined;
	/** Ownerships of siblings in the last response of the leader. */
	private _ownerships: Readonly<Record<string, TargetOwnership>> = {};

	constructor(
		@ISettingsService settings: ISettingsService,
		@IPeerTransport private readonly _transport: IPeerTransport,
		@ILogService private readonly _log: ILogService
	) {
		super();
		const { name, hall } = settings.section<InstanceSettings>('instance');
		this._self = name;
		this._siblings = settings.namedSections<{ address: string }>('sibling');
		const controls = [...settings.namedSections<ControlPeerSettings>('control').values()];
		this._controls = controls.sort((a, b) => Number(b.hall === hall) - Number(a.hall === hall));
		this._lease = new OwnershipLease([...this._siblings.keys()]);
		this._transport.handleUnary(promiseMethod, async request => this._handlePromiseRequest(request.instance));
	}

	/** Starts the renewals and promise requests; an instance without siblings needs none. */
	start(): void {
		if (this._siblings.size === 0) {
			return;
		}
		void this._repeat(RENEW_INTERVAL_MS, () => this._renewLease());
		for (const [name, { address }] of this._siblings) {
			void this._repeat(PROMISE_INTERVAL_MS, () => this._requestPromise(name, address));
		}
	}

	owns(target: string): boolean {
		const owner = this._ownerOf(target);
		const now = systemClock.now();
		return owner === this._self ? this._lease.mayUseOwnTargets(now) : this._lease.mayUseTargetsOf(owner, now);
	}

	private _ownerOf(target: string): string {
		let owner = this._ownersByTarget.get(target);
		if (owner === undefined) {
			owner = rendezvousRank(target, [this._self, ...this._siblings.keys()])[0]!;
			this._ownersByTarget.set(target, owner);
		}
		return owner;
	}

	private async _repeat(intervalMs: number, action: () => Promise<void>): Promise<void> {
		let isStopped = false;
		this._register(toDisposable(() => (isStopped = true)));
		while (!isStopped) {
			const startedAt = systemClock.now();
			await action();
			this._onDidChange.fire();
			const delayMs = Math.max(0, intervalMs - (systemClock.now() - startedAt));
			await new Promise(resolve => setTimeout(resolve, delayMs));
		}
	}

	private async _renewLease(): Promise<void> {
		const now = systemClock.now();
		const takeOver = [...this._siblings.keys()].find(name => this._lease.mayRequestTakeover(name, now));
		const giveBack = this._pendingGiveBack;
		const sibling = giveBack ?? takeOver;
		const base = sibling === undefined ? undefined : ownValue(this._ownerships, sibling)?.version;
		const request: RenewRequest = { instance: this._self, giveBack, takeOver: giveBack ? undefined : takeOver, base };
		const control = this._controls[this._controlIndex % this._controls.length]!;
		try {
			const response = await this._transport.call(control.address, renewMethod, request, CALL_TIMEOUT_MS);
			if (response.isRenewed) {
				this._lease.renew(now);
			}
			this._ownerships = response.ownerships ?? this._ownerships;
			if (giveBack && response.isRecorded) {
				this._pendingGiveBack = undefined;
			} else if (takeOver && response.isRecorded) {
				this._startTakeover(takeOver);
			}
			this._pendingGiveBack ??= this._findUnusedTakeover();
			if (!response.isRenewed) {
				this._controlIndex++;
			}
		} catch {
			this._controlIndex++;
		}
	}

	/** A sibling whose takeover was recorded after this instance had given up the request for it. */
	private _findUnusedTakeover(): string | undefined {
		return [...this._siblings.keys()].find(
			name => ownValue(this._ownerships, name)?.takenOverBy === this._self && !this._lease.hasTakenOver(name)
		);
	}

	private _startTakeover(sibling: string): void {
		const isGone = this._connectionRefusedBy.has(sibling);
		this._lease.recordTakeover(
			sibling,
			systemClock.now() + (isGone ? STOPPED_SIBLING_WAIT_MS : UNREACHABLE_SIBLING_WAIT_MS)
		);
		this._log.info('takeover of the targets of a sibling recorded', { task: 'ownership', sibling, isGone });
	}

	private async _requestPromise(sibling: string, address: string): Promise<void> {
		const requestSentAt = systemClock.now();
		try {
			const response = await this._transport.call(address, promiseMethod, { instance: this._self }, CALL_TIMEOUT_MS);
			this._connectionRefusedBy.delete(sibling);
			if (response.isPromised) {
				this._lease.recordPromise(sibling, requestSentAt);
			}
		} catch (error) {
			if (CONNECTION_REFUSED_PATTERN.test((error as Error).message)) {
				this._connectionRefusedBy.add(sibling);
			} else {
				this._connectionRefusedBy.delete(sibling);
			}
		}
	}

	/**
	 * Handles the promise request of a sibling. If its targets are taken over, the takeover ends, and the promise is
	 * refused until control has recorded that.
	 */
	private _handlePromiseRequest(sibling: string): { isPromised: boolean } {
		if (this._lease.hasTakenOver(sibling)) {
			this._lease.endTakeover(sibling);
			this._pendingGiveBack = sibling;
			this._onDidChange.fire();
			return { isPromised: false };
		}
		if (this._pendingGiveBack === sibling) {
			return { isPromised: false };
		}
		return { isPromised: this._lease.grantPromise(sibling, systemClock.now()) };
	}
}
