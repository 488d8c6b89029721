/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Targets of a soak test, each behind a link of the fault proxy. They send heartbeats, drain, crash and restart under a new id. */

import type { LinkRequest, LinkState } from '../faults/faultProxy.js';
import { sendHttpRequest, type PlatformTestSystem, type Instance } from '../platform/platformTestSystem.js';
import { TestTarget } from '../platform/testTarget.js';
import type { ExecutionRecord } from './observations.js';

const HEARTBEAT_INTERVAL_MS = 500;
const DRAIN_DURATION_MS = 2500;
const SERVICE = 'reads';

/** A target and its link of the fault proxy. */
interface ProxiedTarget {
	readonly index: number;
	target: TestTarget;
	linkUrl: string;
	proxiedAddress: string;
	isDraining: boolean;
	isStopped: boolean;
}

/** Manages the targets and their links. */
export class SoakTargets {
	/** Ids of all targets started so far, including replaced ones. */
	readonly ids = new Set<string>();
	private readonly _proxiedTargets: ProxiedTarget[] = [];
	private readonly _replacedTargets: TestTarget[] = [];
	private _incarnation = 0;
	private _sequence = 0;
	private _heartbeatTimer?: NodeJS.Timeout;

	constructor(
		private readonly _system: PlatformTestSystem,
		private readonly _proxyUrl: string
	) {}

	/** Starts `count` targets and their heartbeats. */
	async start(count: number): Promise<void> {
		for (let index = 1; index <= count; index++) {
			this._proxiedTargets.push(await this._startTarget(index));
		}
		this._heartbeatTimer = setInterval(
			() => this._proxiedTargets.forEach(proxied => void this._sendHeartbeat(proxied)),
			HEARTBEAT_INTERVAL_MS
		);
	}

	/** All executions so far, including those at replaced targets. */
	get executions(): ExecutionRecord[] {
		const all = [...this._replacedTargets, ...this._proxiedTargets.map(proxied => proxied.target)];
		return all.flatMap(target => target.executedRequests.map(request => ({ ...request, target: target.options.id })));
	}

	/** Applies `change` to one link, and `restored` after `durationMs`. Resolves once `change` is applied. */
	async injectLinkFault(
		pick: number,
		change: Partial<LinkState>,
		restored: Partial<LinkState>,
		durationMs: number
	): Promise<void> {
		const proxied = this._select(pick);
		await this._changeLink(proxied, change);
		setTimeout(() => void this._changeLink(proxied, restored).catch(() => undefined), durationMs);
	}

	/** Crashes a target and starts a replacement after `restartDelayMs`. */
	async crash(pick: number, restartDelayMs: number): Promise<void> {
		const proxied = this._select(pick);
		if (proxied.isStopped) {
			return;
		}
		proxied.isStopped = true;
		proxied.target.crash();
		await new Promise(resolve => setTimeout(resolve, restartDelayMs));
		await this._replace(proxied);
	}

	/** Reports a target as draining, keeps it running for the drain duration, stops it and starts a replacement. */
	async drain(pick: number): Promise<void> {
		const proxied = this._select(pick);
		if (proxied.isDraining || proxied.isStopped) {
			return;
		}
		proxied.isDraining = true;
		await this._sendHeartbeat(proxied);
		await new Promise(resolve => setTimeout(resolve, DRAIN_DURATION_MS));
		proxied.isStopped = true;
		proxied.target.crash();
		await this._replace(proxied);
	}

	/** Stops all targets and heartbeats. */
	stop(): void {
		clearInterval(this._heartbeatTimer);
		this._proxiedTargets.forEach(proxied => proxied.target.crash());
	}

	private _select(pick: number): ProxiedTarget {
		return this._proxiedTargets[Math.floor(pick * this._proxiedTargets.length)]!;
	}

	private async _replace(proxied: ProxiedTarget): Promise<void> {
		this._replacedTargets.push(proxied.target);
		Object.assign(proxied, await this._startTarget(proxied.index));
	}

	private async _startTarget(index: number): Promise<ProxiedTarget> {
		const id = `t-${index}-${++this._incarnation}`;
		const host = this._system.targetHost(index);
		const target = new TestTarget({
			id,
			host,
			port: 8000 + this._incarnation,
			slots: 8,
			workMs: 20,
			paddingBytes: 900
		});
		await target.listen();
		this.ids.add(id);
		const link: LinkRequest = { from: 'entries', to: id, target: target.address, delayMs: 0 };
		const response = await sendHttpRequest('POST', `${this._proxyUrl}/links`, { body: JSON.stringify(link) });
		const { id: linkId, address } = JSON.parse(response.body) as { id: number; address: string };
		return {
			index,
			target,
			linkUrl: `${this._proxyUrl}/links/${linkId}`,
			proxiedAddress: address,
			isDraining: false,
			isStopped: false
		};
	}

	private async _changeLink(proxied: ProxiedTarget, change: Partial<LinkState>): Promise<void> {
		await sendHttpRequest('POST', proxied.linkUrl, { body: JSON.stringify(change) });
	}

	/** Sends one heartbeat to the control instances in turn until one accepts it. */
	private async _sendHeartbeat(proxied: ProxiedTarget): Promise<void> {
		if (proxied.isStopped) {
			return;
		}
		const { id, slots } = proxied.target.options;
		const body = JSON.stringify({
			addr: proxied.proxiedAddress,
			info: { service: SERVICE, version: 'v1', zone: 'hall-1', slots },
			status: { state: proxied.isDraining ? 'draining' : 'ready', seq: ++this._sequence, cold_left: '0ms' }
		});
		for (const control of this._system.controls) {
			if (await this._isHeartbeatAccepted(control, id, body)) {
				return;
			}
		}
	}

	private async _isHeartbeatAccepted(control: Instance, id: string, body: string): Promise<boolean> {
		const path = `/api/instances/${id}`;
		const response = await this._system.callControl(control, 'PUT', path, body, undefined, 1000).catch(() => undefined);
		return response?.status === 200;
	}
}
