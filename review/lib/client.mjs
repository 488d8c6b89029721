/** A stand-in for the clients of a zone, as PROTOCOL.md describes them. */

import { randomBytes } from 'node:crypto';
import { delay, send } from './http.mjs';
import { ZONES } from './system.mjs';

const PROMISES = new Set([408, 421, 429, 503]);

export class Clients {
	/** @param options zone, host, path, method, perSecond, deadlineMs, isUnsafe, keys: number of objects */
	constructor(record, system, options) {
		this._record = record;
		this._system = system;
		this.options = { retries: 1, keys: 24, ...options };
		/** Every attempt: its id, when it was sent, and what came back. */
		this.attempts = [];
		this._addresses = [];
		this._isRunning = false;
		this._open = new Set();
	}

	start() {
		this._isRunning = true;
		void this._keepResolving();
		void this._keepSending();
	}

	/** Stops sending and waits for the answers that are still due. */
	async stop() {
		this._isRunning = false;
		await Promise.all([...this._open]);
	}

	async _keepResolving() {
		const { zone, host } = this.options;
		const query = `name=${host}&region=${ZONES[zone]}&zone=${zone}`;
		while (this._isRunning) {
			for (const control of this._system.controls) {
				const answer = await send('GET', `${control.directoryUrl}/api/resolve?${query}`, { timeoutMs: 1000 });
				if (answer.status === 200) {
					this._addresses = JSON.parse(answer.body).addrs;
					break;
				}
			}
			await delay(this._addresses.length > 0 ? 2000 : 200);
		}
	}

	async _keepSending() {
		while (this._isRunning) {
			if (this._addresses.length > 0) {
				const request = this._send().finally(() => this._open.delete(request));
				this._open.add(request);
			}
			await delay(1000 / this.options.perSecond);
		}
	}

	async _send() {
		const { deadlineMs, retries, isUnsafe, keys } = this.options;
		const end = performance.now() + deadlineMs;
		const key = Math.floor(Math.random() * keys);
		for (let i = 0; i <= retries; i++) {
			const leftMs = Math.floor(end - performance.now());
			const attempt = await this._attempt(key, leftMs);
			const mayRetry = isUnsafe ? PROMISES.has(attempt.status) : !(attempt.status < 400);
			if (!mayRetry || [400, 401, 404, 413, 431].includes(attempt.status)) {
				return;
			}
			await delay(Math.min((end - performance.now()) / 3, 1000 * Number(attempt.retryAfter ?? 0)));
		}
	}

	async _attempt(key, leftMs) {
		const { host, path, method, body } = this.options;
		const id = randomBytes(8).toString('hex');
		const address = this._addresses[Math.floor(Math.random() * this._addresses.length)];
		const attempt = { id, at: this._record.now(), front: address };
		this.attempts.push(attempt);
		this._record.note(`client sends ${id} to ${address}`);
		const answer = await send(method, `http://${address}${path}`, {
			headers: {
				Host: host,
				'Request-Id': id,
				Cookie: `Affinity-Key=${key}`,
				'Deadline-Ms': String(leftMs),
				...(body ? { 'Content-Length': String(body.length) } : {})
			},
			body,
			timeoutMs: leftMs
		});
		attempt.status = answer.status;
		attempt.error = answer.error;
		attempt.retryAfter = answer.headers?.['retry-after'];
		attempt.answeredAt = this._record.now();
		this._record.note(`client got ${answer.status ?? answer.error} for ${id}`);
		return attempt;
	}
}
