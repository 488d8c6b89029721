/** The servers of a deployment over a long time: they come, crash, leave, and others take their places and addresses. */

import { call } from './http.mjs';
import { Server } from './server.mjs';

const BEAT_INTERVAL_MS = 1500;

/** All servers that run, with their heartbeats. */
export class Fleet {
	constructor(system) {
		this._system = system;
		this._live = new Set();
		this._count = 0;
		this._timer = undefined;
	}

	get size() {
		return this._live.size;
	}

	/** Starts the periodic heartbeats. */
	startBeats() {
		this._timer = setInterval(() => {
			this._live.forEach(server => void this._beat(server));
		}, BEAT_INTERVAL_MS);
	}

	/** An address that no server has had so far; the system chooses its port. */
	_newAddress() {
		const number = ++this._count;
		return { host: `127.${120 + (process.pid % 100)}.${number >> 8}.${1 + ((number & 0xff) % 250)}`, port: 0 };
	}

	/** Starts a server. */
	async add(service, slots, { address = this._newAddress(), zone } = {}) {
		const { zones } = this._system;
		const id = `i-${++this._count}`;
		const server = new Server({ id, service, slots, ...address, zone: zone ?? zones[this._count % zones.length] });
		await server.listen();
		this._live.add(server);
		server.acknowledgedBy = await this._beat(server);
		if (!server.acknowledgedBy) {
			throw new Error(`the first heartbeat of ${id} was not acknowledged`);
		}
		return server;
	}

	/** A server calls the control instance of its zone first, and the next one where that does not acknowledge. */
	_nearest({ zone }) {
		return this._system.controls.findIndex(control => control.zone === zone);
	}

	_beat(server) {
		return server.beat(this._system.controls, this._system.controlPort(), this._nearest(server));
	}

	/** The server ends without a word. */
	crash(server) {
		this._live.delete(server);
		server.crash();
	}

	/** Stops the heartbeats of a server, which goes on serving. */
	silence(server) {
		this._live.delete(server);
	}

	/** The server says that it leaves, and ends once that is acknowledged; returns whether it was. */
	async leave(server) {
		this._live.delete(server);
		const { controls } = this._system;
		const first = this._nearest(server);
		let isAcknowledged = false;
		for (let attempt = 0; attempt < 2 * controls.length && !isAcknowledged; attempt++) {
			const { ip } = controls[(first + attempt) % controls.length];
			const path = `/api/instances/${server.id}`;
			const answer = await call(ip, this._system.controlPort(), 'DELETE', path).catch(() => undefined);
			isAcknowledged = answer?.status === 200;
		}
		server.crash();
		return isAcknowledged;
	}

	/** Servers of a service crash for good, some at a time, and others come in their places at addresses of their own. */
	async crashAndReplace(service, servers, slots, crashes, atOnce) {
		const running = [...servers];
		for (let crashed = 0; crashed < crashes; crashed += atOnce) {
			const lost = running.splice(0, atOnce);
			lost.forEach(server => this.crash(server));
			running.push(...(await Promise.all(lost.map(() => this.add(service, slots)))));
		}
		return running;
	}

	/** Ends all servers. */
	stop() {
		clearInterval(this._timer);
		this._live.forEach(server => server.crash());
	}
}
