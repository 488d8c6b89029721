/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Service identifiers: each is the key of a service and the decorator that injects it into a constructor. */

const SERVICE_DEPENDENCIES = Symbol('serviceDependencies');

/** Identifies a service of type `T`; also a constructor parameter decorator. */
export interface ServiceIdentifier<T> {
	(target: object, property: string | undefined, index: number): void;
	/** Unique name: the key of the service, also shown in error messages. */
	readonly id: string;
	/** Binds `T` at compile time; never set. */
	readonly _type?: T;
}

/** A constructor parameter that is injected. */
export interface ServiceDependency {
	readonly index: number;
	readonly identifier: ServiceIdentifier<unknown>;
}

/** A class whose constructor parameters are all services. */
export type ServiceConstructor<T> = new (...services: never[]) => T;

/** Creates the identifier of a service; to be called once, next to the interface of the service. */
export function createServiceIdentifier<T>(id: string): ServiceIdentifier<T> {
	const identifier = ((target: object, _property: string | undefined, index: number) => {
		const holder = target as { [SERVICE_DEPENDENCIES]?: ServiceDependency[] };
		if (!Object.hasOwn(holder, SERVICE_DEPENDENCIES)) {
			holder[SERVICE_DEPENDENCIES] = [];
		}
		holder[SERVICE_DEPENDENCIES]!.push({ index, identifier });
	}) as unknown as { id: string } & ServiceIdentifier<T>;
	Object.defineProperty(identifier, 'id', { value: id });
	return identifier;
}

/** The injected parameters of a class, in order. */
export function getServiceDependencies(target: object): ServiceDependency[] {
	const declared = (target as { [SERVICE_DEPENDENCIES]?: ServiceDependency[] })[SERVICE_DEPENDENCIES] ?? [];
	return [...declared].sort((a, b) => a.index - b.index);
}
