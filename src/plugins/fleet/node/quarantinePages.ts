/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The pages on which operators see the suspected and quarantined requests, and let one in again. */

import { Disposable } from '../../../base/disposable.js';
import { type HttpRequest, type HttpResponse, sendJson } from '../../../kernel/node/httpListener.js';
import { IProcessPages } from '../../../kernel/node/processPages.js';
import { FleetUnavailableError, IFleetControl } from '../common/fleetControl.js';
import { type ListedRequest, PHASE_NAMES, QUARANTINE_PAGE } from '../common/quarantineApi.js';
import { phaseOf } from '../common/quarantineTypes.js';

/** Lists requests and lets them in again. */
export class QuarantinePages extends Disposable {
	constructor(
		@IProcessPages pages: IProcessPages,
		@IFleetControl private readonly _fleet: IFleetControl
	) {
		super();
		pages.add({
			method: 'GET',
			pattern: QUARANTINE_PAGE,
			handler: (_request, response) => answering(response, () => this._list(response))
		});
		pages.add({
			method: 'DELETE',
			pattern: `${QUARANTINE_PAGE}/:digest`,
			handler: (request, response) => answering(response, () => this._release(request, response))
		});
	}

	private _list(response: HttpResponse): void {
		const requests: ListedRequest[] = this._fleet.quarantine().map(record => ({
			digest: record.digest,
			phase: PHASE_NAMES[phaseOf(record)],
			team: record.team,
			runs: record.runs
		}));
		sendJson(response, 200, { requests });
	}

	private async _release(request: HttpRequest, response: HttpResponse): Promise<void> {
		const wasKnown = await this._fleet.release(request.params.digest!);
		sendJson(response, wasKnown ? 200 : 404, { wasKnown });
	}
}

/** Answers 503 where this instance can't know, so that the operator asks another one. */
async function answering(response: HttpResponse, answer: () => void | Promise<void>): Promise<void> {
	try {
		await answer();
	} catch (error) {
		if (!(error instanceof FleetUnavailableError)) {
			throw error;
		}
		sendJson(response, 503, { code: 'unavailable', message: error.message });
	}
}
