/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** HTTP endpoints for operators that plug-ins add to the metrics listener of a process. */

import { createServiceIdentifier } from '../common/serviceIdentifier.js';
import type { HttpHandler } from './httpListener.js';

/** An HTTP endpoint. */
export interface ProcessPage {
	readonly method: 'GET' | 'DELETE';
	/** Path pattern; parameters start with a colon, such as `/items/:id`. */
	readonly pattern: string;
	readonly handler: HttpHandler;
}

/** The admin endpoints of this process. */
export interface IProcessPages {
	/** All endpoints added so far. */
	readonly all: readonly ProcessPage[];
	/** Adds an endpoint; must be called before the metrics listener starts. */
	add(endpoint: ProcessPage): void;
}

/** Identifier of the admin endpoint service. */
export const IProcessPages = createServiceIdentifier<IProcessPages>('adminEndpoints');

/** Collects the endpoints until the metrics listener starts. */
export class ProcessPages implements IProcessPages {
	private readonly _endpoints: ProcessPage[] = [];

	get all(): readonly ProcessPage[] {
		return this._endpoints;
	}

	add(endpoint: ProcessPage): void {
		this._endpoints.push(endpoint);
	}
}
