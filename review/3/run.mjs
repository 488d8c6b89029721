/** CONFIG: configurations whose `kind` matches none of the kinds, but is a name that every JavaScript object has. */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { delay, send } from '../lib/http.mjs';
import { main } from '../lib/main.mjs';
import { createConfig, Operator } from '../lib/operator.mjs';
import { System } from '../lib/system.mjs';

const HOST = 'ficu95.example';
const SERVICE = 'huvo11a';
/** How long the platform waits before it starts a process again that has ended. */
const RESTART_MS = 500;
/** Bound of the site for the acknowledgement of a proper order. */
const ACK_MS = 4000;
const ROUTE = { name: 'r-payout', host: HOST, prefix: '/pufi791/', kind: 'unsafe', service: SERVICE };

await main(dirname(fileURLToPath(import.meta.url)), async ({ record, isTroubled, onEnd }) => {
	const system = await System.create(record, {
		controlZones: ['klang-sepang', 'penang-bayan', 'johor-nusajaya'],
		frontZones: ['klang-sepang']
	});
	onEnd(() => system.stopAll());
	system.startAll();
	const operator = new Operator(record, system.controls);
	await system.waitFor('a configuration is taken', async () => {
		const { status } = await operator.configure(createConfig(1, [ROUTE], [SERVICE]), 0);
		return status === 200;
	});
	await system.waitUntilReady();
	await delay(3000);
	system.restartEnded(RESTART_MS);

	let current = 1;
	let acknowledged = 0;
	/** Sends a further configuration; one with another `kind` is invalid. */
	const configure = async (version, kind) => {
		const { status } = await operator.configure(createConfig(version, [{ ...ROUTE, kind }], [SERVICE]), current);
		record.say(`version ${version} with kind '${kind}': ${status ?? 'no clear answer'}`);
		current = status === 200 ? version : current;
		return status;
	};
	for (const [version, kind] of [
		[3, '__proto__'],
		[5, 'constructor']
	]) {
		const status = await configure(version, isTroubled ? kind : 'unsafe');
		if (isTroubled && status === 200) {
			acknowledged++;
			record.say(`CONFIG: version ${version} is invalid and was acknowledged`);
			const answer = await send('GET', `${system.controls[1].controlUrl}/api/config`);
			const document = answer.status === 200 ? JSON.parse(answer.body) : undefined;
			record.say(`in force: version ${document?.version}, kind '${document?.routes.rows[0][3]}'`);
		}
	}
	const sentAt = record.now();
	let status;
	for (let i = 0; i < 5 && status !== 200; i++) {
		status = await configure(7, 'unsafe');
	}
	const tookMs = record.now() - sentAt;
	record.say(`a proper configuration after that was ${status === 200 ? 'acknowledged' : 'not acknowledged'}`);
	record.say(`it took ${tookMs.toFixed(0)} ms; a proper order has to be acknowledged within ${ACK_MS} ms`);
	const ends = system.controls.flatMap(({ node, ends: own }) => own.map(({ at }) => `${node} at ${at.toFixed(0)}`));
	record.say(`control processes that ended by themselves: ${ends.length} (${ends.join(', ')})`);
	return acknowledged === 0;
});
