/** TWICE: a server turns a request away, and a second copy of that answer comes late, where the next answer is due. */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Clients } from '../lib/client.mjs';
import { delay } from '../lib/http.mjs';
import { main } from '../lib/main.mjs';
import { createConfig, Operator } from '../lib/operator.mjs';
import { Server } from '../lib/server.mjs';
import { System } from '../lib/system.mjs';

const ZONE = 'klang-sepang';
const HOST = 'ficu95.example';
const SERVICE = 'huvo11a';
/** Retries are allowed in full once the window of the retry budget has passed since the start. */
const QUIET_MS = 12000;
/** Within twice the longest time for which the site has extra answers, 5.5 s. */
const PLAY_MS = 10000;
/** Of so many new requests, a server turns one away. */
const TURNED_AWAY_OF = 20;

await main(dirname(fileURLToPath(import.meta.url)), async ({ record, isTroubled, onEnd }) => {
	const system = await System.create(record, {
		controlZones: ['klang-sepang', 'penang-bayan', 'johor-nusajaya'],
		frontZones: ['klang-sepang', 'klang-cyber']
	});
	onEnd(() => system.stopAll());
	let isPlaying = false;
	let asked = 0;
	const turnedAway = new Set();
	const servers = [1, 2, 3].map(
		index =>
			new Server(record, system.controls, {
				...system.serverAddress(index),
				id: `i-000${index}`,
				service: SERVICE,
				zone: ZONE,
				workMs: 150,
				turnsAway: ({ headers }) => {
					const id = headers['request-id'];
					const isTurn = isPlaying && !turnedAway.has(id) && ++asked % TURNED_AWAY_OF === 0;
					if (isTurn) {
						turnedAway.add(id);
					}
					return isTurn;
				},
				extraAnswer: () => isTroubled
			})
	);
	onEnd(() => servers.forEach(server => server.end()));
	await Promise.all(servers.map(server => server.listen()));
	system.startAll();
	const operator = new Operator(record, system.controls);
	const route = { name: 'r-payout', host: HOST, prefix: '/pufi791/', kind: 'unsafe', service: SERVICE, attempts: 2 };
	await system.waitFor('a configuration is taken', async () => {
		const { status } = await operator.configure(createConfig(1, [route], [SERVICE]), 0);
		return status === 200;
	});
	servers.forEach(server => server.startBeating());
	await system.waitUntilReady();
	const clients = new Clients(record, system, {
		zone: ZONE,
		host: HOST,
		path: '/pufi791/2f',
		method: 'POST',
		body: 'amount=100',
		perSecond: 12,
		deadlineMs: 4000,
		isUnsafe: true
	});
	await delay(3000);
	clients.start();
	await delay(QUIET_MS);
	isPlaying = true;
	record.say('servers turn some requests away from now on');
	await delay(PLAY_MS);
	await clients.stop();
	await delay(1000);

	const runs = new Map();
	for (const server of servers) {
		for (const { requestId, at } of server.runs) {
			runs.set(requestId, [...(runs.get(requestId) ?? []), `${server.options.id} at ${at.toFixed(0)}`]);
		}
	}
	const answered = clients.attempts.filter(({ status }) => status === 200).length;
	record.say(`${clients.attempts.length} requests, ${answered} answered with 200, ${turnedAway.size} turned away once`);
	if (answered < 50 || turnedAway.size < 2) {
		throw new Error('too few requests were served, or turned away');
	}
	let broken = 0;
	for (const { id, status } of clients.attempts) {
		const count = runs.get(id)?.length ?? 0;
		if (count > 1) {
			broken++;
			record.say(`TWICE: ${id} ran ${count} times (${runs.get(id).join(', ')}); its client got ${status}`);
		}
		if (count > 0 && [408, 421, 429, 503].includes(status)) {
			record.say(
				`REFUSED, which this case does not judge: ${id} ran (${runs.get(id).join(', ')}); its client got ${status}`
			);
		}
	}
	return broken === 0;
});
