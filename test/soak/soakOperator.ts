/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The operator of a soak: publishes tables, races itself, and reads back what is in force. */

import { type DiscoveredSystem, routeDocument, until } from '../platform/discoveredSystem.js';
import type { Observations } from './observations.js';

const ROUTES = [
	{ prefix: '/read/', kind: 'safe', service: 'reads' },
	{ prefix: '/order/', kind: 'unsafe', service: 'reads' }
] as const;
const FIRST_VERSION = 1;

/** Publishes tables with rising versions. */
export class SoakOperator {
	private _version = FIRST_VERSION;

	constructor(
		private readonly _system: DiscoveredSystem,
		private readonly _seen: Observations
	) {}

	/** The first table, before any caller. */
	async begin(): Promise<void> {
		await this._system.publish(routeDocument(FIRST_VERSION, ROUTES), 0);
	}

	/** One change on the version in force. */
	async change(): Promise<void> {
		const base = await this._read();
		if (base !== undefined) {
			await this._publish(base, ++this._version);
		}
	}

	/** Two changes on the same version at once: at most one of them may be taken. */
	async race(): Promise<void> {
		const base = await this._read();
		if (base !== undefined) {
			await Promise.all([this._publish(base, ++this._version), this._publish(base, ++this._version)]);
		}
	}

	/** Reads the version that is in force at the end. */
	async readBack(): Promise<void> {
		this._seen.finalVersion = await until('the table is read back', () => this._read()).catch(() => undefined);
	}

	private async _publish(base: number, version: number): Promise<void> {
		const document = routeDocument(version, ROUTES);
		for (const control of this._system.controls) {
			const answer = await this._system.control(control, 'PUT', '/api/config', document, base).catch(() => undefined);
			this._seen.published.push({ base, version, status: answer?.status });
			if (answer && answer.status < 500) {
				return;
			}
		}
	}

	private async _read(): Promise<number | undefined> {
		for (const control of this._system.controls) {
			const answer = await this._system.control(control, 'GET', '/api/config').catch(() => undefined);
			if (answer?.status === 200) {
				return (JSON.parse(answer.body) as { version: number }).version;
			}
		}
		return undefined;
	}
}
