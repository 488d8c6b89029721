/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** HTTP endpoints for operators that plug-ins add to the metrics listener of a process. */

import { createServiceIdentifier } from '../common/serviceIdentifier.js';
import type { HttpHandler } from './httpListener.js';

/** An HTTP endpoint. */
export interface AdminEndpoint {
	readonly method: 'GET' | 'DELETE';
	/** Path pattern; parameters start with a colon, such as `/items/:id`. */
	readonly pattern: string;
	readonly handler: HttpHandler;
}

/** The admin endpoints of this process. */
export interface IAdminEndpoints {
	/** All endpoints added so far. */
	readonly all: readonly AdminEndpoint[];
	/** Adds an endpoint; must be called before the metrics listener starts. */
	add(endpoint: AdminEndpoint): void;
}

/** Identifier of the admin endpoint service. */
export const IAdminEndpoints = createServiceIdentifier<IAdminEndpoints>('adminEndpoints');

/** Collects the endpoints until the metrics listener starts. */
export class AdminEndpoints implements IAdminEndpoints {
	private readonly _endpoints: AdminEndpoint[] = [];

	get all(): readonly AdminEndpoint[] {
		return this._endpoints;
	}

	add(endpoint: AdminEndpoint): void {
		this._endpoints.push(endpoint);
	}
}
