/** Calls over HTTP/1.1, each on a connection of its own. */

import { request as httpRequest } from 'node:http';

/** Sends a request; rejects after the timeout, or when the connection breaks. */
export function call(host, port, method, path, { headers = {}, body, timeoutMs = 1000 } = {}) {
	return new Promise((resolve, reject) => {
		const bodyHeaders =
			body === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) };
		const request = httpRequest(
			{ host, port, method, path, agent: false, headers: { ...headers, ...bodyHeaders } },
			response => {
				const chunks = [];
				response.on('data', chunk => chunks.push(chunk));
				response.on('error', reject);
				response.on('end', () => {
					clearTimeout(timer);
					resolve({
						status: response.statusCode,
						headers: response.headers,
						body: Buffer.concat(chunks).toString('utf8')
					});
				});
			}
		);
		const timer = setTimeout(() => request.destroy(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs);
		request.on('error', error => {
			clearTimeout(timer);
			reject(error);
		});
		request.end(body);
	});
}

/** The status of a call, or the reason why there is none. */
export async function statusOf(promise) {
	try {
		return (await promise).status;
	} catch (error) {
		return error.message;
	}
}
