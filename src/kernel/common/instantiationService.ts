/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Dependency injection: creates services on first use and passes them to constructors. */

import { Disposable, type IDisposable } from '../../base/disposable.js';
import { type ServiceConstructor, type ServiceIdentifier, getServiceDependencies } from './serviceIdentifier.js';

/** Gives access to the services of the process. */
export interface IServiceAccessor {
	/**
	 * Returns the service, creating it on first use.
	 * @throws Error the service is not registered, or depends on itself
	 */
	get<T>(identifier: ServiceIdentifier<T>): T;
}

/** The services of one process. */
export class InstantiationService extends Disposable implements IServiceAccessor {
	private readonly _instances = new Map<string, unknown>();
	private readonly _creationStack: string[] = [];

	/** @param _constructors the class of each service, by identifier */
	constructor(private readonly _constructors: ReadonlyMap<string, ServiceConstructor<unknown>>) {
		super();
	}

	/** Sets the instance of a service, which is not disposed with this object. */
	set<T>(identifier: ServiceIdentifier<T>, instance: T): void {
		this._instances.set(identifier.id, instance);
	}

	get<T>(identifier: ServiceIdentifier<T>): T {
		const existing = this._instances.get(identifier.id);
		if (existing !== undefined) {
			return existing as T;
		}
		const constructor = this._constructors.get(identifier.id);
		if (!constructor) {
			throw new Error(`service '${identifier.id}' is not registered in this process`);
		}
		if (this._creationStack.includes(identifier.id)) {
			throw new Error(`cyclic dependency between services: ${[...this._creationStack, identifier.id].join(' > ')}`);
		}
		this._creationStack.push(identifier.id);
		try {
			const instance = this.createInstance(constructor);
			this._instances.set(identifier.id, instance);
			return instance as T;
		} finally {
			this._creationStack.pop();
		}
	}

	/** Creates an instance of a class whose constructor parameters are all services; it is disposed with this object. */
	createInstance<T>(constructor: ServiceConstructor<T>): T {
		const services = getServiceDependencies(constructor).map(dependency => this.get(dependency.identifier));
		const instance = new constructor(...(services as never[]));
		if (typeof (instance as Partial<IDisposable>).dispose === 'function') {
			this._register(instance as unknown as IDisposable);
		}
		return instance;
	}
}
