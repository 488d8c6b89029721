/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** HTTP endpoints for operators to list suspected and quarantined requests, and to release one. */

import { Disposable } from '../../../base/disposable.js';
import { type HttpRequest, type HttpResponse, sendJson } from '../../../kernel/node/httpListener.js';
import { IAdminEndpoints } from '../../../kernel/node/adminEndpoints.js';
import { FleetUnavailableError, IFleetControl } from '../common/fleetControl.js';
import { type QuarantineListEntry, QUARANTINE_PHASE_NAMES, QUARANTINE_PATH } from '../common/quarantineApi.js';
import { phaseOf } from '../common/quarantineTypes.js';

/** Serves the quarantine endpoints. */
export class QuarantinePages extends Disposable {
	constructor(
		@IAdminEndpoints pages: IAdminEndpoints,
		@IFleetControl private readonly _fleet: IFleetControl
	) {
		super();
		pages.add({
			method: 'GET',
			pattern: QUARANTINE_PATH,
			handler: (_request, response) => respondOrUnavailable(response, () => this._list(response))
		});
		pages.add({
			method: 'DELETE',
			pattern: `${QUARANTINE_PATH}/:digest`,
			handler: (request, response) => respondOrUnavailable(response, () => this._release(request, response))
		});
	}

	private _list(response: HttpResponse): void {
		const requests: QuarantineListEntry[] = this._fleet.quarantine().map(record => ({
			digest: record.digest,
			phase: QUARANTINE_PHASE_NAMES[phaseOf(record)],
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

/** Responds with 503 if this instance is not up to date or cannot reach the leader, so that the client tries another one. */
async function respondOrUnavailable(response: HttpResponse, handler: () => void | Promise<void>): Promise<void> {
	try {
		await handler();
	} catch (error) {
		if (!(error instanceof FleetUnavailableError)) {
			throw error;
		}
		sendJson(response, 503, { code: 'unavailable', message: error.message });
	}
}
