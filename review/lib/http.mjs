/** HTTP calls of the stand-ins, each on a new connection. */

import { request as httpRequest } from 'node:http';

export const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

/**
 * Sends a request; resolves to its status, headers and body, or to `{ error }` where no whole answer came.
 * @param options.timeoutMs the connection is closed when there is no whole answer by then
 */
export function send(method, url, { headers = {}, body, timeoutMs = 1000 } = {}) {
	return new Promise(resolve => {
		const started = performance.now();
		const finish = result => {
			clearTimeout(timer);
			resolve({ ...result, tookMs: performance.now() - started });
		};
		const request = httpRequest(url, { method, headers, agent: false });
		const timer = setTimeout(() => {
			finish({ error: 'no answer in time' });
			request.destroy();
		}, timeoutMs);
		request.on('error', error => finish({ error: error.code ?? error.message }));
		request.on('response', response => {
			const chunks = [];
			response.on('data', chunk => chunks.push(chunk));
			response.on('error', error => finish({ error: error.code ?? error.message }));
			response.on('end', () => {
				const text = Buffer.concat(chunks).toString('utf8');
				finish(
					response.complete
						? { status: response.statusCode, headers: response.headers, body: text }
						: { error: 'answer cut off' }
				);
			});
		});
		request.end(body);
	});
}
