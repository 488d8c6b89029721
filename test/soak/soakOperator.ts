/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Operator of a soak test: publishes configurations, also concurrently, and reads the active version. */

import { type PlatformTestSystem, createConfigDocument, waitFor } from '../platform/platformTestSystem.js';
import type { Observations } from './observations.js';

const ROUTES = [
	{ prefix: '/read/', kind: 'safe', service: 'reads' },
	{ prefix: '/order/', kind: 'unsafe', service: 'reads' }
] as const;
const INITIAL_VERSION = 1;

/** Publishes configurations with increasing version numbers. */
export class SoakOperator {
	private _version = INITIAL_VERSION;

	constructor(
		private readonly _system: PlatformTestSystem,
		private readonly _observations: Observations
	) {}

	/** Publishes the initial configuration; call it before callers start. */
	async publishInitial(): Promise<void> {
		await this._system.publish(createConfigDocument(INITIAL_VERSION, ROUTES), 0);
	}

	/** Publishes one change based on the active version. */
	async publishChange(): Promise<void> {
		const base = await this._readVersion();
		if (base !== undefined) {
			await this._publish(base, ++this._version);
		}
	}

	/** Publishes two changes based on the same version concurrently; at most one of them may be accepted. */
	async publishConcurrently(): Promise<void> {
		const base = await this._readVersion();
		if (base !== undefined) {
			await Promise.all([this._publish(base, ++this._version), this._publish(base, ++this._version)]);
		}
	}

	/** Reads the active version at the end of the run. */
	async readFinalVersion(): Promise<void> {
		this._observations.finalVersion = await waitFor('a control instance returns the configuration', () =>
			this._readVersion()
		).catch(() => undefined);
	}

	private async _publish(base: number, version: number): Promise<void> {
		const document = createConfigDocument(version, ROUTES);
		for (const control of this._system.controls) {
			const response = await this._system
				.callControl(control, 'PUT', '/api/config', document, base)
				.catch(() => undefined);
			this._observations.published.push({ base, version, status: response?.status });
			if (response && response.status < 500) {
				return;
			}
		}
	}

	private async _readVersion(): Promise<number | undefined> {
		for (const control of this._system.controls) {
			const response = await this._system.callControl(control, 'GET', '/api/config').catch(() => undefined);
			if (response?.status === 200) {
				return (JSON.parse(response.body) as { version: number }).version;
			}
		}
		return undefined;
	}
}
