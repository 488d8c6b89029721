/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Targets of a soak, each behind a link of the fault proxy; they beat, leave, crash and come back under another id. */

import type { LinkRequest, LinkState } from '../faults/faultProxy.js';
import { ask, type DiscoveredSystem, type Instance } from '../platform/discoveredSystem.js';
import { StandInTarget } from '../platform/standInTarget.js';
import type { RunRecord } from './observations.js';

const BEAT_MS = 500;
const DRAIN_MS = 2500;
const SERVICE = 'reads';

interface Place {
	readonly index: number;
	target: StandInTarget;
	linkUrl: string;
	address: string;
	isLeaving: boolean;
	isDown: boolean;
}

/** The targets and their links. */
export class SoakTargets {
	/** Ids of all targets that ever were. */
	readonly ids = new Set<string>();
	private readonly _places: Place[] = [];
	private readonly _past: StandInTarget[] = [];
	private _incarnation = 0;
	private _sequence = 0;
	private _timer?: NodeJS.Timeout;

	constructor(
		private readonly _system: DiscoveredSystem,
		private readonly _proxyUrl: string
	) {}

	/** Starts targets and their heartbeats. */
	async start(count: number): Promise<void> {
		for (let index = 1; index <= count; index++) {
			this._places.push(await this._open(index));
		}
		this._timer = setInterval(() => this._places.forEach(place => void this._beat(place)), BEAT_MS);
	}

	/** Every run so far. */
	get runs(): RunRecord[] {
		const all = [...this._past, ...this._places.map(place => place.target)];
		return all.flatMap(target => target.ran.map(seen => ({ ...seen, target: target.options.id })));
	}

	/** Changes one link for a while. */
	async disturbLink(
		pick: number,
		change: Partial<LinkState>,
		mended: Partial<LinkState>,
		forMs: number
	): Promise<void> {
		const place = this._pick(pick);
		await this._changeLink(place, change);
		setTimeout(() => void this._changeLink(place, mended).catch(() => undefined), forMs);
	}

	/** A target crashes; after a while another one starts in its place. */
	async crash(pick: number, forMs: number): Promise<void> {
		const place = this._pick(pick);
		if (place.isDown) {
			return;
		}
		place.isDown = true;
		place.target.crash();
		await new Promise(resolve => setTimeout(resolve, forMs));
		await this._replace(place);
	}

	/** A target says that it leaves, goes on for its drain, ends, and another one starts. */
	async drain(pick: number): Promise<void> {
		const place = this._pick(pick);
		if (place.isLeaving || place.isDown) {
			return;
		}
		place.isLeaving = true;
		await this._beat(place);
		await new Promise(resolve => setTimeout(resolve, DRAIN_MS));
		place.isDown = true;
		place.target.crash();
		await this._replace(place);
	}

	/** Ends everything. */
	stop(): void {
		clearInterval(this._timer);
		this._places.forEach(place => place.target.crash());
	}

	private _pick(pick: number): Place {
		return this._places[Math.floor(pick * this._places.length)]!;
	}

	private async _replace(place: Place): Promise<void> {
		this._past.push(place.target);
		Object.assign(place, await this._open(place.index));
	}

	private async _open(index: number): Promise<Place> {
		const id = `t-${index}-${++this._incarnation}`;
		const host = this._system.targetHost(index);
		const target = new StandInTarget({
			id,
			host,
			port: 8000 + this._incarnation,
			slots: 8,
			workMs: 20,
			answerBytes: 900
		});
		await target.listen();
		this.ids.add(id);
		const link: LinkRequest = { from: 'entries', to: id, target: target.address, delayMs: 0 };
		const made = await ask('POST', `${this._proxyUrl}/links`, { body: JSON.stringify(link) });
		const { id: linkId, address } = JSON.parse(made.body) as { id: number; address: string };
		return { index, target, linkUrl: `${this._proxyUrl}/links/${linkId}`, address, isLeaving: false, isDown: false };
	}

	private async _changeLink(place: Place, change: Partial<LinkState>): Promise<void> {
		await ask('POST', place.linkUrl, { body: JSON.stringify(change) });
	}

	/** One heartbeat, to the first control instance that takes it. */
	private async _beat(place: Place): Promise<void> {
		if (place.isDown) {
			return;
		}
		const { id, slots } = place.target.options;
		const body = JSON.stringify({
			addr: place.address,
			info: { service: SERVICE, version: 'v1', zone: 'hall-1', slots },
			status: { state: place.isLeaving ? 'draining' : 'ready', seq: ++this._sequence, cold_left: '0ms' }
		});
		for (const control of this._system.controls) {
			if (await this._isTaken(control, id, body)) {
				return;
			}
		}
	}

	private async _isTaken(control: Instance, id: string, body: string): Promise<boolean> {
		const path = `/api/instances/${id}`;
		const answer = await this._system.control(control, 'PUT', path, body, undefined, 1000).catch(() => undefined);
		return answer?.status === 200;
	}
}
