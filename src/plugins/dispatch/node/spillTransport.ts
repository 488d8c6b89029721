/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Client and server side of passing a request to another entry instance. */

import * as grpc from '@grpc/grpc-js';
import { systemClock } from '../../../base/clock.js';
import { RefusalReason, RequestError } from '../../../base/verdict.js';
import { type IPeerTransport, type ServerStream } from '../../../kernel/node/peerTransport.js';
import type { DispatchRequest, ResponseSink } from '../common/dispatch.js';
import { type SpillResponse, spillMethod, type SpillRequest } from '../common/spill.js';

/** Matches the messages of connection errors after which the request was certainly not sent. */
const NEVER_SENT_PATTERN = /ECONNREFUSED|No connection established/;

/** Dispatches a request of another instance; resolves with the name of the target. */
export type SpillHandler = (request: DispatchRequest, sink: ResponseSink, mayQueue: boolean) => Promise<string>;

/**
 * Passes a request to the instance at `address`; resolves with the name of the target at the end of the response.
 * @throws RequestError if the instance refused the request or the connection to it failed
 */
export function spillRequest(
	transport: IPeerTransport,
	address: string,
	request: DispatchRequest,
	sink: ResponseSink,
	mayQueue: boolean
): Promise<string> {
	const stream = transport.openStream(address, spillMethod);
	return new Promise<string>((resolve, reject) => {
		let isStarted = false;
		let isSettled = false;
		const onAbort = (): void => stream.cancel();
		request.signal.addEventListener('abort', onAbort);
		const finish = (settle: () => void): void => {
			isSettled = true;
			request.signal.removeEventListener('abort', onAbort);
			settle();
		};
		const fail = (error: RequestError): void => {
			if (isSettled) {
				return;
			}
			if (isStarted) {
				sink.abort();
			}
			finish(() => reject(error));
		};
		stream.on('data', (response: SpillResponse) => {
			switch (response.type) {
				case 'start':
					isStarted = true;
					sink.start(response.status, response.headers, response.endsWithConnection ?? false);
					return;
				case 'chunk':
					if (!sink.write(Buffer.from(response.bytes))) {
						stream.pause();
						sink.onDrain(() => stream.resume());
					}
					return;
				case 'end':
					sink.end();
					finish(() => resolve(response.target));
					return;
				case 'refused':
					fail(toRequestError(response));
					return;
			}
		});
		stream.on('error', (error: grpc.ServiceError) => fail(instanceLostError(error, isStarted)));
		stream.on('end', () => fail(endMissingError()));
		stream.write(toSpillRequest(request, mayQueue));
		stream.end();
	});
}

/** Handles requests that other instances pass to this one. */
export function serveSpilledRequests(transport: IPeerTransport, handle: SpillHandler): void {
	transport.handleStream(spillMethod, stream => {
		stream.once('data', (message: SpillRequest) => void handleSpillRequest(stream, message, handle));
	});
}

async function handleSpillRequest(
	stream: ServerStream<SpillRequest, SpillResponse>,
	message: SpillRequest,
	handle: SpillHandler
): Promise<void> {
	const cancellation = new AbortController();
	stream.on('cancelled', () => cancellation.abort());
	const request: DispatchRequest = {
		...message,
		body: Buffer.from(message.body),
		deadline: systemClock.now() + message.leftMs,
		signal: cancellation.signal
	};
	let isEnded = false;
	const sink: ResponseSink = {
		start: (status, headers, endsWithConnection) =>
			stream.write({ type: 'start', status, headers, endsWithConnection }),
		write: bytes => stream.write({ type: 'chunk', bytes }),
		onDrain: callback => stream.once('drain', callback),
		end: () => (isEnded = true),
		// The refusal that follows tells; a destroyed stream would tell the other side nothing.
		abort: () => undefined
	};
	try {
		const target = await handle(request, sink, message.mayQueue);
		if (isEnded) {
			stream.write({ type: 'end', target });
		}
		stream.end();
	} catch (error) {
		stream.write(toRefusal(error as Error));
		stream.end();
	}
}

function toSpillRequest(request: DispatchRequest, mayQueue: boolean): SpillRequest {
	const { requestId, service, group, method, path, headers, body, isDeadlineStrict, orderKey, isRepeatable } = request;
	const leftMs = Math.max(0, request.deadline - systemClock.now());
	const copied = { requestId, service, group, method, path, headers, body, isDeadlineStrict, isRepeatable };
	return { ...copied, orderKey, leftMs, mayQueue };
}

function toRefusal(error: Error): SpillResponse {
	if (error instanceof RequestError) {
		const { verdict, reason, status, message, retryAfterMs } = error;
		return { type: 'refused', verdict, reason, status, message, retryAfterMs };
	}
	const { message } = error;
	return { type: 'refused', verdict: 'may-have-run', reason: RefusalReason.TargetFailed, status: 500, message };
}

function toRequestError(response: Extract<SpillResponse, { type: 'refused' }>): RequestError {
	return new RequestError(response.verdict, response.reason, response.status, response.message, response.retryAfterMs);
}

function endMissingError(): RequestError {
	const message = 'the instance that the request was passed to ended its stream without the end of the response';
	return new RequestError('may-have-run', RefusalReason.TargetFailed, 502, message);
}

function instanceLostError(error: grpc.ServiceError, isStarted: boolean): RequestError {
	const wasNeverSent = !isStarted && NEVER_SENT_PATTERN.test(error.message);
	const isCancelled = error.code === grpc.status.CANCELLED;
	const reason = isCancelled ? RefusalReason.Cancelled : RefusalReason.TargetFailed;
	const message = `connection to the instance that the request was passed to failed: ${error.message}`;
	return new RequestError(wasNeverSent ? 'not-run' : 'may-have-run', reason, isCancelled ? 499 : 502, message);
}
