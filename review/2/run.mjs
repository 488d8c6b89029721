/** EVAC: a control instance freezes, and wakes with an order to take a zone back that was given again elsewhere long ago. */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Clients } from '../lib/client.mjs';
import { delay } from '../lib/http.mjs';
import { main } from '../lib/main.mjs';
import { createConfig, Operator } from '../lib/operator.mjs';
import { Server } from '../lib/server.mjs';
import { System } from '../lib/system.mjs';

const ZONES = ['klang-sepang', 'penang-bayan', 'johor-nusajaya'];
/** The zone that is evacuated, taken back and evacuated again. */
const ZONE = 'penang-bayan';
const HOST = 'ficu95.example';
const SERVICE = 'wuno96b';
/** Bounds of the site. */
const EVAC_MS = 5000;
const SKEW_MAX_MS = 5000;
const CONTACT_MS = 3000;

await main(dirname(fileURLToPath(import.meta.url)), async ({ record, isTroubled, onEnd }) => {
	const system = await System.create(record, { controlZones: ZONES, frontZones: ZONES });
	onEnd(() => system.killNow());
	const servers = ZONES.flatMap((zone, i) =>
		[1, 2].map(
			copy =>
				new Server(record, system.controls, {
					...system.serverAddress(2 * i + copy),
					id: `i-${zone}-${copy}`,
					service: SERVICE,
					zone,
					workMs: 100
				})
		)
	);
	onEnd(() => servers.forEach(server => server.end()));
	await Promise.all(servers.map(server => server.listen()));
	system.startAll();
	const operator = new Operator(record, system.controls);
	const route = { name: 'r-status', host: HOST, prefix: '/lohu930/', kind: 'safe', service: SERVICE };
	await system.waitFor('a configuration is taken', async () => {
		const { status } = await operator.configure(createConfig(1, [route], [SERVICE]), 0);
		return status === 200;
	});
	servers.forEach(server => server.startBeating());
	await system.waitUntilReady();
	await delay(2000);
	const clients = ZONES.map(
		zone =>
			new Clients(record, system, {
				zone,
				host: HOST,
				path: '/lohu930/2f',
				method: 'GET',
				perSecond: 8,
				deadlineMs: 3000,
				isUnsafe: false
			})
	);
	clients.forEach(each => each.start());
	await delay(6000);

	const path = `/api/evacuate/${ZONE}`;
	const first = await operator.order('POST', path);
	await delay(7000);
	const leader = system.leader();
	const frozen = system.controls.find(control => control !== leader);
	record.say(`${leader?.node} leads`);
	if (isTroubled) {
		system.signal(frozen, 'SIGSTOP');
		onEnd(() => frozen.child.kill('SIGCONT'));
		await delay(1000);
	}
	const back = await operator.order('DELETE', path, { first: frozen });
	await delay(4000);
	const again = await operator.order('POST', path, { first: leader });
	await delay(2000);
	let wokenAt = record.now();
	if (isTroubled) {
		system.signal(frozen, 'SIGCONT');
		wokenAt = record.now();
	}
	// From then on all machines are in touch, and the bound has passed even where the unsteady core extends it.
	const judgedFrom = Math.max(again.at + EVAC_MS + SKEW_MAX_MS, wokenAt + CONTACT_MS) + 500;
	await delay(judgedFrom + 8000 - record.now());
	const judgedUntil = record.now();
	await Promise.all(clients.map(each => each.stop()));

	if (![first, back, again].every(({ status }) => status === 200)) {
		throw new Error('an order was not acknowledged');
	}
	const runsIn = (zone, from, until) =>
		servers
			.filter(({ options }) => options.zone === zone)
			.flatMap(({ runs }) => runs)
			.filter(({ at }) => at >= from && at < until).length;
	const before = runsIn(ZONE, 0, first.at);
	const during = runsIn(ZONE, first.at + EVAC_MS, back.at);
	const late = runsIn(ZONE, judgedFrom, judgedUntil);
	record.say(`requests that ran in ${ZONE}: ${before} before the first evacuation, ${during} during it,`);
	record.say(`${late} later than ${Math.round(judgedFrom - again.at)} ms after the second one was acknowledged`);
	record.say(`requests that ran elsewhere meanwhile: ${runsIn('klang-sepang', judgedFrom, judgedUntil)}`);
	if (before < 10) {
		throw new Error(`too few requests ran in ${ZONE} before`);
	}
	return late === 0 && during === 0;
});
