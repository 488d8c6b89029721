/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Fault-injecting TCP proxy. Each link can delay data, drop it in one or both directions without closing connections, and
 * reset connections. One process serves many links.
 *
 * `POST /links` with a `LinkRequest` creates a link and returns `{id, address}`; `POST /links/<id>` with a partial
 * `LinkState` changes it and returns its state.
 */

import { createServer as createHttpServer } from 'node:http';
import { type AddressInfo, createServer, connect, type Socket } from 'node:net';

/** Faults that are active on a link. */
export interface LinkState {
	/** Delay in each direction, in milliseconds. */
	delayMs: number;
	/** Whether data from the client is dropped. */
	cutForward: boolean;
	/** Whether data from the target is dropped. */
	cutBackward: boolean;
	/** Number of bytes, in both directions together, after which all connections are reset; 0 resets them at once. Undefined for never. */
	resetAfterBytes?: number;
}

/** Parameters of a new link. */
export interface LinkRequest {
	/** Name of the sending side, for selecting links. */
	readonly from: string;
	/** Name of the receiving side, for selecting links. */
	readonly to: string;
	/** Address to which connections are forwarded, as `host:port`. */
	readonly target: string;
	readonly delayMs: number;
}

class Link {
	readonly state: LinkState;
	private readonly _sockets = new Set<Socket>();

	constructor(readonly request: LinkRequest) {
		this.state = { delayMs: request.delayMs, cutForward: false, cutBackward: false };
	}

	async listen(): Promise<string> {
		const server = createServer({ noDelay: true }, socket => this._accept(socket));
		await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	}

	change(change: Partial<LinkState>): void {
		Object.assign(this.state, change);
		if (change.resetAfterBytes === 0) {
			this._resetAll();
		}
	}

	private _accept(clientSocket: Socket): void {
		const [host, port] = this.request.target.split(':');
		const targetSocket = connect({ host: host!, port: Number(port), noDelay: true });
		this._forward(clientSocket, targetSocket, () => this.state.cutForward);
		this._forward(targetSocket, clientSocket, () => this.state.cutBackward);
	}

	private _forward(source: Socket, sink: Socket, isCut: () => boolean): void {
		this._sockets.add(source);
		source.on('error', () => sink.destroy());
		source.on('close', () => {
			this._sockets.delete(source);
			this._runDelayed(() => !isCut() && sink.destroy());
		});
		source.on('end', () => this._runDelayed(() => !isCut() && sink.end()));
		source.on('data', chunk => {
			this._runDelayed(() => {
				if (isCut() || sink.destroyed) {
					return;
				}
				sink.write(this._truncateAtReset(chunk));
			});
		});
	}

	private _runDelayed(action: () => void): void {
		if (this.state.delayMs > 0) {
			setTimeout(action, this.state.delayMs);
		} else {
			action();
		}
	}

	/** Returns the part of the chunk that is sent before a pending reset, and triggers the reset once its limit is reached. */
	private _truncateAtReset(chunk: Buffer): Buffer {
		const remainingBytes = this.state.resetAfterBytes;
		if (remainingBytes === undefined) {
			return chunk;
		}
		this.state.resetAfterBytes = remainingBytes - chunk.length;
		if (remainingBytes > chunk.length) {
			return chunk;
		}
		this.state.resetAfterBytes = undefined;
		setImmediate(() => this._resetAll());
		return chunk.subarray(0, remainingBytes);
	}

	private _resetAll(): void {
		this.state.resetAfterBytes = undefined;
		this._sockets.forEach(socket => socket.resetAndDestroy());
	}
}

const links: Link[] = [];

async function handleRequest(path: string, body: string): Promise<unknown> {
	if (path === '/links') {
		const link = new Link(JSON.parse(body) as LinkRequest);
		links.push(link);
		return { id: links.length - 1, address: await link.listen() };
	}
	const id = Number(path.split('/')[2]);
	const link = links[id]!;
	link.change(body === '' ? {} : (JSON.parse(body) as Partial<LinkState>));
	return link.state;
}

const controlServer = createHttpServer((request, response) => {
	const chunks: Buffer[] = [];
	request.on('data', (chunk: Buffer) => chunks.push(chunk));
	request.on('end', () => {
		handleRequest(request.url!, Buffer.concat(chunks).toString()).then(
			result => response.end(JSON.stringify(result)),
			(error: Error) => response.writeHead(400).end(error.message)
		);
	});
});
controlServer.listen(0, '127.0.0.1', () => {
	const { port } = controlServer.address() as AddressInfo;
	process.stdout.write(`${JSON.stringify({ url: `http://127.0.0.1:${port}` })}\n`);
});
process.on('disconnect', () => process.exit(0));
process.on('uncaughtException', error => process.stderr.write(`fault proxy: ${error.message}\n`));
