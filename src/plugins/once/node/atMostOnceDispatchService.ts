/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** At-most-once dispatch on an entry instance: claims the order key, dispatches the request and records its outcome. */

import { createHash } from 'node:crypto';
import { RefusalReason, RequestError } from '../../../base/verdict.js';
import type { ControlPeerSettings, InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IPeerTransport } from '../../../kernel/node/peerTransport.js';
import { ISettingsService } from '../../../kernel/node/settingsService.js';
import {
	type DispatchRequest,
	type DispatchResult,
	IDispatch,
	type ResponseSink
} from '../../dispatch/common/dispatch.js';
import { ForwardingSink } from '../../dispatch/common/forwardingSink.js';
import { claimMethod, type IAtMostOnceDispatch, outcomeMethod } from '../common/atMostOnceDispatch.js';
import type { ClaimResult, OrderOutcome, StoredResponse } from '../common/orderLedger.js';

const CALL_TIMEOUT_MS = 1500;
const MAX_CLAIM_ATTEMPTS = 2;
const MAX_OUTCOME_ATTEMPTS = 20;
const OUTCOME_RETRY_INTERVAL_MS = 500;
const NO_QUORUM_RETRY_AFTER_MS = 1000;
const IN_PROGRESS_RETRY_AFTER_MS = 500;
/** Larger bodies are not stored; later requests with the key then only learn that the request ran. */
const MAX_STORED_BODY_BYTES = 16 * 1024;

/** Claims order keys at control instances and dispatches the requests whose claims are granted. */
export class AtMostOnceDispatchService implements IAtMostOnceDispatch {
	private readonly _controls: readonly ControlPeerSettings[];
	private _controlIndex = 0;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IPeerTransport private readonly _transport: IPeerTransport,
		@IDispatch private readonly _dispatch: IDispatch,
		@ILogService private readonly _log: ILogService
	) {
		const { hall } = settings.section<InstanceSettings>('instance');
		const controls = [...settings.namedSections<ControlPeerSettings>('control').values()];
		this._controls = controls.sort((a, b) => Number(b.hall === hall) - Number(a.hall === hall));
	}

	async dispatch(request: DispatchRequest, sink: ResponseSink): Promise<DispatchResult> {
		const claim = await this._claim(request);
		if (claim.kind === 'ran') {
			return replayResponse(claim.answer, sink);
		}
		if (claim.kind !== 'granted') {
			throw claimError(claim);
		}
		const recorder = new ResponseRecorder(sink);
		try {
			const result = await this._dispatch.dispatch(request, recorder);
			void this._recordOutcome(request, { kind: 'ran', answer: recorder.storedResponse() });
			return result;
		} catch (error) {
			const isNotRun = error instanceof RequestError && error.verdict === 'not-run';
			void this._recordOutcome(request, { kind: isNotRun ? 'not-run' : 'unknown' });
			throw error;
		}
	}

	private async _claim(request: DispatchRequest): Promise<ClaimResult> {
		const { orderKey, requestId } = request;
		const message = { key: orderKey!, digest: requestDigest(request), requestId };
		let mayBeClaimed = false;
		for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS; attempt++) {
			const control = this._controls[this._controlIndex % this._controls.length]!;
			try {
				const result = await this._transport.call(control.address, claimMethod, message, CALL_TIMEOUT_MS);
				if (result.kind !== 'no-quorum') {
					return result;
				}
				mayBeClaimed = true;
			} catch {
				mayBeClaimed = true;
			}
			this._controlIndex++;
		}
		if (mayBeClaimed) {
			void this._recordOutcome(request, { kind: 'not-run' });
		}
		return { kind: 'no-quorum' };
	}

	/** Retries a limited number of times. A claim without an outcome stays claimed, so that its request is not run again. */
	private async _recordOutcome(request: DispatchRequest, outcome: OrderOutcome): Promise<void> {
		const message = { key: request.orderKey!, requestId: request.requestId, outcome };
		for (let attempt = 0; attempt < MAX_OUTCOME_ATTEMPTS; attempt++) {
			const control = this._controls[this._controlIndex % this._controls.length]!;
			try {
				const response = await this._transport.call(control.address, outcomeMethod, message, CALL_TIMEOUT_MS);
				if (response.isRecorded) {
					return;
				}
			} catch {
				this._controlIndex++;
			}
			await new Promise(resolve => setTimeout(resolve, OUTCOME_RETRY_INTERVAL_MS));
		}
		this._log.warn('cannot record the outcome of a request with an order key', {
			task: 'once',
			requestId: request.requestId
		});
	}
}

function requestDigest(request: DispatchRequest): string {
	const { service, group, method, path, body } = request;
	return createHash('sha256')
		.update(JSON.stringify([service, group, method, path]))
		.update(body)
		.digest('hex');
}

function replayResponse(response: StoredResponse, sink: ResponseSink): DispatchResult {
	if (!response.body) {
		const message = 'the request with this key ran; its response was too large to be stored';
		throw new RequestError('ran', RefusalReason.ResponseNotStored, 409, message);
	}
	const headers = [...response.headers, 'Shelffield-Replayed', 'true'];
	sink.start(response.status, headers, response.endsWithConnection ?? false);
	sink.write(Buffer.from(response.body));
	sink.end();
	return { target: '', status: response.status, totalMs: 0, queuedMs: 0 };
}

function claimError(claim: ClaimResult): RequestError {
	switch (claim.kind) {
		case 'in-progress': {
			const message = 'a request with this key is in progress, or its outcome is not recorded yet';
			return new RequestError('may-have-run', RefusalReason.OrderInProgress, 409, message, IN_PROGRESS_RETRY_AFTER_MS);
		}
		case 'unknown': {
			const message = 'it is not known whether the request with this key ran';
			return new RequestError('may-have-run', RefusalReason.OrderOutcomeUnknown, 409, message);
		}
		case 'conflict': {
			const message =
				'Shelffield-Order-Key was used for a different request; allowed: a key not used for another request';
			return new RequestError('not-run', RefusalReason.OrderKeyConflict, 422, message);
		}
		case 'too-old': {
			const message = 'the date of Shelffield-Order-Key is before the retention period of order keys';
			return new RequestError('not-run', RefusalReason.OrderKeyTooOld, 422, message);
		}
		default: {
			const message = 'cannot claim the order key: no leader with a quorum could be reached';
			return new RequestError('not-run', RefusalReason.NoQuorum, 503, message, NO_QUORUM_RETRY_AFTER_MS);
		}
	}
}

/** Forwards a response and copies it for storage; a body of more than `MAX_STORED_BODY_BYTES` is left out. */
class ResponseRecorder extends ForwardingSink {
	private _status = 0;
	private _headers: readonly string[] = [];
	private _endsWithConnection = false;
	private _chunks: Buffer[] | undefined = [];
	private _bytes = 0;

	storedResponse(): StoredResponse {
		const body = this._chunks && Buffer.concat(this._chunks);
		const { _status: status, _headers: headers, _endsWithConnection: endsWithConnection } = this;
		return { status, headers, endsWithConnection, body };
	}

	override start(status: number, headers: readonly string[], endsWithConnection: boolean): void {
		this._status = status;
		this._headers = headers;
		this._endsWithConnection = endsWithConnection;
		super.start(status, headers, endsWithConnection);
	}

	override write(chunk: Buffer): boolean {
		this._bytes += chunk.length;
		this._chunks = this._bytes > MAX_STORED_BODY_BYTES ? undefined : this._chunks;
		this._chunks?.push(Buffer.from(chunk));
		return super.write(chunk);
	}
}
