/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** A test system that crowds of clients are sent to, and what it has to withstand. No check depends on the speed of the machine. */

import assert from 'node:assert/strict';
import { after, afterEach, before } from 'node:test';
import { BodyCrowd, type CrowdOptions, openDescriptors, peakMemoryMb } from './bodyCrowd.js';
import { createConfigDocument, type Instance, PlatformTestSystem, waitFor } from './platformTestSystem.js';
import { TestTarget } from './testTarget.js';

const ROUTES = [{ prefix: '/order/', kind: 'unsafe', service: 'orders' }] as const;
/** Memory of the machine of an entry instance, and of a control instance. */
const ENTRY_MEMORY_MB = 160;
const CONTROL_MEMORY_MB = 256;
/** Descriptors of the machine that are not reserved for files. */
const MAX_DESCRIPTORS = 3900;

/** Three control instances, one entry instance and a target. */
export class CrowdTestSystem {
	readonly system = new PlatformTestSystem(3, 1, '', [], undefined, ENTRY_MEMORY_MB);
	readonly entry = this.system.entries[0]!;
	readonly control = this.system.controls[0]!;
	private readonly _target = new TestTarget({
		id: 'i-1',
		host: this.system.targetHost(1),
		port: 8080,
		slots: 10,
		workMs: 5,
		paddingBytes: 20
	});
	private _crowd: BodyCrowd | undefined;

	/** Starts the system before the tests of a file, and the instances anew after each. */
	constructor() {
		before(() => this._start());
		afterEach(() => this._restart());
		after(() => this._stop());
	}

	/** Has a crowd send to an instance, and checks what it holds and that it serves, before and after the crowd has left. */
	async withstand(instance: Instance, options: CrowdOptions): Promise<void> {
		const child = instance.child!;
		this._crowd = new BodyCrowd(options);
		await this._crowd.send();
		assert.equal(child.exitCode ?? child.signalCode, null, 'the process has ended');
		const descriptors = openDescriptors(child.pid!);
		assert.ok(descriptors < MAX_DESCRIPTORS, `${descriptors} descriptors`);
		await this._expectServes(instance);
		this._crowd.close();
		await this._expectServes(instance);
		const peakMb = peakMemoryMb(child.pid!);
		const memoryMb = instance.kind === 'entry' ? ENTRY_MEMORY_MB : CONTROL_MEMORY_MB;
		assert.ok(peakMb < memoryMb, `${Math.round(peakMb)} MiB at the peak`);
	}

	private async _start(): Promise<void> {
		await this._target.listen();
		this.system.startAll();
		await this.system.publish(createConfigDocument(1, ROUTES), 0);
		await this._expectServes(this.control);
		await this._expectServes(this.entry);
	}

	private async _restart(): Promise<void> {
		this._crowd?.close();
		for (const instance of [this.entry, this.control]) {
			await this.system.stop(instance, 'SIGKILL');
			this.system.start(instance, false);
		}
		await this._expectServes(this.control);
		await this._expectServes(this.entry);
	}

	private async _stop(): Promise<void> {
		await this.system.stopAll();
		this._target.crash();
	}

	private async _expectServes(instance: Instance): Promise<void> {
		await waitFor('an ordinary request is answered', async () => {
			if (instance.kind === 'entry') {
				const response = await this.system.request(instance, 'POST', '/order/1', { body: 'ordinary' });
				return response.status === 200 ? true : undefined;
			}
			await this.system.sendHeartbeat(this._target, 'orders');
			return (await this.system.lookUp(instance, 'hall-1')).status === 200 ? true : undefined;
		});
	}
}
