/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Links between the control instances of a test system that hold up what is sent, as a partition does, and deliver it later. */

import { connect, createServer, type Server, type Socket } from 'node:net';

/** Peer port of all instances of a test system. */
const PEER_PORT = 7600;
/** Control instances have lower host numbers, entry instances and targets higher ones. */
const MAX_CONTROL_HOST = 9;
/** Links have the host numbers that follow those of entry instances. */
const FIRST_LINK_HOST = 110;

function split(address: string): { subnet: string; host: number } {
	const dot = address.lastIndexOf('.');
	return { subnet: address.slice(0, dot), host: Number(address.slice(dot + 1)) };
}

/** Address of the link from one control instance to another; undefined for any other connection. */
export function linkAddress(from: string, to: string, port: number): string | undefined {
	const source = split(from);
	const sink = split(to);
	const isPeerLink = port === PEER_PORT && Math.max(source.host, sink.host) <= MAX_CONTROL_HOST;
	return isPeerLink ? `${sink.subnet}.${FIRST_LINK_HOST + 10 * source.host + sink.host}` : undefined;
}

/** A link in one direction: what a client sends can be held and delivered later, in order and with the end of its connection. */
export class PeerLink {
	private readonly _server: Server;
	private readonly _clients = new Set<Socket>();
	private _isHeld = false;

	/** @param from, _to addresses of control instances */
	constructor(
		readonly from: string,
		private readonly _to: string
	) {
		this._server = createServer({ allowHalfOpen: true, noDelay: true }, client => this._accept(client));
	}

	listen(): Promise<void> {
		return new Promise(resolve =>
			this._server.listen(PEER_PORT, linkAddress(this.from, this._to, PEER_PORT)!, resolve)
		);
	}

	hold(): void {
		this._isHeld = true;
		this._clients.forEach(client => client.pause());
	}

	release(): void {
		this._isHeld = false;
		this._clients.forEach(client => client.resume());
	}

	close(): void {
		this._server.close();
		this._clients.forEach(client => client.destroy());
	}

	private _accept(client: Socket): void {
		const target = connect({ host: this._to, port: PEER_PORT, allowHalfOpen: true, noDelay: true });
		this._clients.add(client);
		client.on('close', () => this._clients.delete(client));
		forward(client, target);
		forward(target, client);
		if (this._isHeld) {
			client.pause();
		}
	}
}

function forward(source: Socket, sink: Socket): void {
	source.on('data', chunk => sink.write(chunk));
	source.on('end', () => sink.end());
	source.on('error', () => sink.end());
}
