/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Fake of the platform's target list, run as a separate process. Changes of a target's state can be delayed.
 *
 * `POST /_set` takes `{targets}` or `{name, state, lagMs}`; `GET /v1/targets` returns the list.
 */

import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A target in the response of `GET /v1/targets`. */
export interface PlatformTarget {
	readonly name: string;
	readonly service: string;
	readonly url: string;
	readonly hall: string;
	readonly region: string;
	readonly slots: number;
	state: 'live' | 'leaving';
}

/** Body of `POST /_set`: either replaces the whole list, or changes the state of one target after a delay. */
interface SetRequest {
	readonly targets?: PlatformTarget[];
	readonly name?: string;
	readonly state?: PlatformTarget['state'];
	readonly lagMs?: number;
}

let targets: PlatformTarget[] = [];

function apply(request: SetRequest): void {
	if (request.targets) {
		targets = request.targets;
		return;
	}
	setTimeout(() => {
		targets = targets.map(item =>
			item.name === request.name ? { ...item, state: request.state ?? item.state } : item
		);
	}, request.lagMs ?? 0);
}

const server = createServer((request, response) => {
	const chunks: Buffer[] = [];
	request.on('data', (chunk: Buffer) => chunks.push(chunk));
	request.on('end', () => {
		if (request.url === '/_set') {
			apply(JSON.parse(Buffer.concat(chunks).toString()) as SetRequest);
		}
		response.setHeader('Content-Type', 'application/json');
		response.end(JSON.stringify({ targets }));
	});
});
server.listen(0, '127.0.0.1', () => {
	const { port } = server.address() as AddressInfo;
	process.stdout.write(`${JSON.stringify({ url: `http://127.0.0.1:${port}` })}\n`);
});
process.on('disconnect', () => process.exit(0));
