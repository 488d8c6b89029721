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
const HOST = 'ficu95.example';
const SERVICE = 'wuno96b';
/** Bounds of the site. */
const EVAC_MS = 5000;
const SKEW_MAX_MS = 5000;
const CONTACT_MS = 3000;
const ACK_MS = 4000;
/** Twice the longest freeze and the longest evacuation of the site. */
const MAX_FREEZE_MS = 7000;
const MAX_EVACUATION_MS = 18000;

await main(dirname(fileURLToPath(import.meta.url)), async ({ record, isTroubled, onEnd }) => {
	const system = await System.create(record, { controlZones: ZONES, frontZones: ZONES });
	onEnd(() => system.stopAll());
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

	// The instance that freezes stands in the zone that is evacuated, so that no more than that zone is lost at once.
	const leader = system.leader();
	const frozen = system.controls.find(control => control !== leader);
	const { zone: ZONE } = frozen;
	record.say(`${leader?.node} leads`);
	const path = `/api/evacuate/${ZONE}`;
	const first = await operator.order('POST', path, { withinMs: ACK_MS });
	await delay(7000);
	const frozenAt = record.now();
	if (isTroubled) {
		system.signal(frozen, 'SIGSTOP');
		onEnd(() => frozen.child.kill('SIGCONT'));
		await delay(300);
	}
	const back = await operator.order('DELETE', path, { first: frozen, withinMs: ACK_MS });
	await delay(2000);
	const again = await operator.order('POST', path, { first: leader, withinMs: ACK_MS });
	await delay(500);
	let wokenAt = record.now();
	if (isTroubled) {
		system.signal(frozen, 'SIGCONT');
		wokenAt = record.now();
		record.say(`it was frozen for ${Math.round(wokenAt - frozenAt)} ms`);
		if (wokenAt - frozenAt > MAX_FREEZE_MS) {
			throw new Error('the freeze took too long');
		}
	}
	// From then on all machines are in touch, and the bound has passed even where the unsteady core extends it.
	const judgedFrom = Math.max(again.at + EVAC_MS + SKEW_MAX_MS, wokenAt + CONTACT_MS) + 500;
	await delay(again.at + MAX_EVACUATION_MS - 500 - record.now());
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
	const during = runsIn(ZONE, first.at + EVAC_MS, frozenAt);
	const late = runsIn(ZONE, judgedFrom, judgedUntil);
	record.say(`requests that ran in ${ZONE}: ${before} before the first evacuation, ${during} during it,`);
	record.say(`${late} later than ${Math.round(judgedFrom - again.at)} ms after the second one was acknowledged`);
	record.say(`requests that ran elsewhere meanwhile: ${runsIn('klang-sepang', judgedFrom, judgedUntil)}`);
	if (before < 10) {
		throw new Error(`too few requests ran in ${ZONE} before`);
	}
	return late === 0;
});
