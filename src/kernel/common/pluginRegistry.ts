/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registry of the services and contributions of plug-ins, which register them when they are imported. */

import type { IDisposable } from '../../base/disposable.js';
import type { ServiceConstructor, ServiceIdentifier } from './serviceIdentifier.js';

/** Kinds of process. */
export enum ProcessKind {
	Control = 'control',
	Entry = 'entry',
	/** The command line for operators; it is not long-running, but has settings too. */
	CommandLine = 'command-line'
}

/**
 * When a contribution starts. The order of registration does not determine it, since modules with a top-level `await`
 * let modules that are imported after them register first.
 */
export enum ContributionPhase {
	/** Opens what other contributions depend on: files and the peer listener. */
	Foundation = 0,
	/** Communicates with other processes of the system. */
	Service = 1,
	/** Opens a listener for callers or operators. */
	Port = 2
}

/** A component that lives as long as its process. */
export interface IContribution extends Partial<IDisposable> {
	/** Starts the component; the process is ready once all contributions have started. */
	start?(): Promise<void>;
	/** Completes the work in progress before a graceful shutdown. */
	drain?(): Promise<void>;
}

class PluginRegistry {
	private readonly _services = new Map<string, ServiceConstructor<unknown>>();
	private readonly _contributions: RegisteredContribution[] = [];

	/**
	 * Registers the class of a service.
	 * @throws Error the service already has a class
	 */
	registerSingleton<T>(identifier: ServiceIdentifier<T>, constructor: ServiceConstructor<T>): void {
		if (this._services.has(identifier.id)) {
			throw new Error(`service '${identifier.id}' is registered twice`);
		}
		this._services.set(identifier.id, constructor);
	}

	/** Registers a contribution for the given kinds of process; contributions start in order of their phases. */
	registerContribution(
		kinds: readonly ProcessKind[],
		phase: ContributionPhase,
		constructor: ServiceConstructor<IContribution>
	): void {
		this._contributions.push({ kinds, phase, constructor });
	}

	/** Classes of the registered services, by service id. */
	get services(): ReadonlyMap<string, ServiceConstructor<unknown>> {
		return this._services;
	}

	/** The contributions for one kind of process, in their start order. */
	contributionsFor(kind: ProcessKind): ServiceConstructor<IContribution>[] {
		return this._contributions
			.filter(entry => entry.kinds.includes(kind))
			.sort((a, b) => a.phase - b.phase)
			.map(entry => entry.constructor);
	}
}

interface RegisteredContribution {
	readonly kinds: readonly ProcessKind[];
	readonly phase: ContributionPhase;
	readonly constructor: ServiceConstructor<IContribution>;
}

/** The registry of this process. */
export const pluginRegistry = new PluginRegistry();
