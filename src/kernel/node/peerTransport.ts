/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Calls and streams between processes over gRPC with MessagePack bodies. */

import { readFileSync } from 'node:fs';
import * as grpc from '@grpc/grpc-js';
import { decode, encode } from '@msgpack/msgpack';
import { Disposable, toDisposable } from '../../base/disposable.js';
import type { StreamMethod, UnaryMethod } from '../common/peerMethods.js';
import type { IPeerCalls } from '../common/peerCalls.js';
import { createServiceIdentifier } from '../common/serviceIdentifier.js';
import type { InstanceSettings, TlsSettings } from './instanceSettings.js';
import { ISettingsService } from './settingsService.js';

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
const KEEPALIVE_INTERVAL_MS = 2000;
const KEEPALIVE_TIMEOUT_MS = 2000;
const MAX_RECONNECT_MS = 500;
const MIN_RECONNECT_MS = 50;

/** Server side of a stream. */
export type ServerStream<Request, Response> = grpc.ServerDuplexStream<Request, Response>;
/** Client side of a stream. */
export type ClientStream<Request, Response> = grpc.ClientDuplexStream<Request, Response>;

/** Transport for calls and streams between the processes of the system. */
export interface IPeerTransport extends IPeerCalls {
	/** Registers the handler of a streaming method; must be called before {@link listen}. */
	handleStream<Q, S>(method: StreamMethod<Q, S>, handler: (stream: ServerStream<Q, S>) => void): void;
	/** Opens a stream to a peer; connection errors are reported on the stream. */
	openStream<Q, S>(address: string, method: StreamMethod<Q, S>): ClientStream<Q, S>;
}

/** Identifier of the peer transport. */
export const IPeerTransport = createServiceIdentifier<IPeerTransport>('peerTransport');

function serialize(message: unknown): Buffer {
	const bytes = encode(message, { ignoreUndefined: true });
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function deserialize<T>(bytes: Buffer): T {
	return decode(bytes) as T;
}

const CHANNEL_OPTIONS: grpc.ChannelOptions = {
	'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
	'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
	'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
	'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
	'grpc.keepalive_permit_without_calls': 1,
	'grpc.initial_reconnect_backoff_ms': MIN_RECONNECT_MS,
	'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
	'grpc.enable_retries': 0,
	'grpc.use_local_subchannel_pool': 1
};

/** Peer transport based on `@grpc/grpc-js`. */
export class GrpcPeerTransport extends Disposable implements IPeerTransport {
	private readonly _server = new grpc.Server(CHANNEL_OPTIONS);
	private readonly _clients = new Map<string, grpc.Client>();
	private readonly _tls: TlsSettings;
	private readonly _listenAddress: string;

	constructor(@ISettingsService settings: ISettingsService) {
		super();
		this._tls = settings.section<TlsSettings>('tls');
		this._listenAddress = settings.section<InstanceSettings>('instance').peerAddress;
		this._register(toDisposable(() => this._server.forceShutdown()));
		this._register(toDisposable(() => this._closeClients()));
	}

	handleUnary<Q, S>(method: UnaryMethod<Q, S>, handler: (request: Q) => Promise<S>): void {
		const implementation: grpc.handleUnaryCall<Q, S> = (call, callback) => {
			handler(call.request).then(
				response => callback(null, response),
				(error: Error) => callback({ code: grpc.status.INTERNAL, details: error.message })
			);
		};
		this._addMethod(method.path, false, implementation as grpc.UntypedHandleCall);
	}

	handleStream<Q, S>(method: StreamMethod<Q, S>, handler: (stream: ServerStream<Q, S>) => void): void {
		const implementation: grpc.handleBidiStreamingCall<Q, S> = stream => {
			stream.on('error', () => stream.destroy());
			handler(stream);
		};
		this._addMethod(method.path, true, implementation as grpc.UntypedHandleCall);
	}

	async listen(): Promise<string> {
		const port = await new Promise<number>((resolve, reject) => {
			this._server.bindAsync(this._listenAddress, this._serverCredentials(), (error, bound) =>
				error ? reject(error) : resolve(bound)
			);
		});
		return `${this._listenAddress.split(':')[0]}:${port}`;
	}

	call<Q, S>(address: string, method: UnaryMethod<Q, S>, request: Q, timeoutMs: number): Promise<S> {
		return new Promise<S>((resolve, reject) => {
			this._client(address).makeUnaryRequest<Q, S>(
				method.path,
				serialize,
				deserialize,
				request,
				new grpc.Metadata(),
				{ deadline: Date.now() + timeoutMs },
				(error, response) => (error ? reject(error) : resolve(response as S))
			);
		});
	}

	openStream<Q, S>(address: string, method: StreamMethod<Q, S>): ClientStream<Q, S> {
		return this._client(address).makeBidiStreamRequest<Q, S>(method.path, serialize, deserialize);
	}

	private _addMethod(path: string, streaming: boolean, implementation: grpc.UntypedHandleCall): void {
		const definition = {
			path,
			requestStream: streaming,
			responseStream: streaming,
			requestSerialize: serialize,
			requestDeserialize: deserialize,
			responseSerialize: serialize,
			responseDeserialize: deserialize
		};
		this._server.addService({ [path]: definition }, { [path]: implementation });
	}

	private _client(address: string): grpc.Client {
		let client = this._clients.get(address);
		if (!client) {
			client = new grpc.Client(address, this._clientCredentials(), CHANNEL_OPTIONS);
			this._clients.set(address, client);
		}
		return client;
	}

	private _closeClients(): void {
		for (const client of this._clients.values()) {
			client.close();
		}
		this._clients.clear();
	}

	private _serverCredentials(): grpc.ServerCredentials {
		if (this._tls.keyFile === '') {
			return grpc.ServerCredentials.createInsecure();
		}
		const pair = { private_key: readFileSync(this._tls.keyFile), cert_chain: readFileSync(this._tls.certificateFile) };
		return grpc.ServerCredentials.createSsl(readFileSync(this._tls.authorityFile), [pair], true);
	}

	private _clientCredentials(): grpc.ChannelCredentials {
		if (this._tls.keyFile === '') {
			return grpc.credentials.createInsecure();
		}
		return grpc.credentials.createSsl(
			readFileSync(this._tls.authorityFile),
			readFileSync(this._tls.keyFile),
			readFileSync(this._tls.certificateFile)
		);
	}
}
