/** Runs a case: exit code 10 if the rule was broken, 0 if it held, 2 if the case could not run. */

import { join } from 'node:path';
import { Record } from './record.mjs';

const MAX_RUN_MS = 110000;
const HELD = 0;
const COULD_NOT_RUN = 2;
/** Differs from the codes with which Node.js itself ends. */
const BROKEN = 10;

/**
 * @param folder folder of the case
 * @param play plays the case; resolves to whether the rule held
 */
export async function main(folder, play) {
	const record = new Record(join(folder, 'record.txt'));
	const isTroubled = process.env.TROUBLE !== '0';
	const cleanUps = [];
	const end = async code => {
		for (const cleanUp of cleanUps.splice(0).reverse()) {
			await cleanUp();
		}
		record.save();
		process.exit(code);
	};
	const timer = setTimeout(() => {
		record.say('the case took too long');
		end(COULD_NOT_RUN);
	}, MAX_RUN_MS);
	['SIGINT', 'SIGTERM', 'SIGHUP'].forEach(signal => process.on(signal, () => end(COULD_NOT_RUN)));
	record.say(isTroubled ? 'with the disruption' : 'without the disruption');
	try {
		const holds = await play({ record, isTroubled, onEnd: cleanUp => cleanUps.push(cleanUp) });
		record.say(holds ? 'the rule held' : 'the rule was broken');
		clearTimeout(timer);
		await end(holds ? HELD : BROKEN);
	} catch (error) {
		record.say(`could not run: ${error.message}`);
		await end(COULD_NOT_RUN);
	}
}
