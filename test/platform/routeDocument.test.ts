/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Configuration documents of the platform that are not valid. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeText } from '../../platform/bodyText.js';
import { InvalidFieldError, readRouteDocument } from '../../platform/routeDocument.js';
import { readHeartbeat } from '../../platform/targetHeartbeat.js';
import { validateRouteTable } from '../../src/plugins/routes/common/routeTableValidation.js';
import { type ConfigRoute, createConfigDocument } from './platformTestSystem.js';

/** Guards against words that match what every object inherits. */
for (const kind of ['__proto__', 'constructor', 'toString', 'other', '']) {
	test(`a route of the kind '${kind}' is refused with the kinds that are allowed`, () => {
		const route = { prefix: '/a/', kind, service: 's' } as unknown as ConfigRoute;
		assert.throws(() => readRouteDocument(createConfigDocument(1, [route])), {
			name: InvalidFieldError.name,
			allowed: 'safe, unsafe, download'
		});
	});
}

/** A document with one route, some cells of which are replaced. */
function createDocument(cells: Readonly<Record<string, unknown>>): string {
	const document = JSON.parse(createConfigDocument(1, [{ prefix: '/a/', kind: 'safe', service: 's' }])) as {
		routes: { columns: string[]; rows: unknown[][] };
	};
	for (const [column, value] of Object.entries(cells)) {
		document.routes.rows[0]![document.routes.columns.indexOf(column)] = value;
	}
	return JSON.stringify(document);
}

/** Guards against a document that is read back with other bytes than were sent. */
test('a document that is not UTF-8 is refused', () => {
	const document = Buffer.from(createDocument({ host: 'shop#.example' }));
	document[document.indexOf('#')] = 0xff;
	assert.throws(() => decodeText(document), { name: InvalidFieldError.name, field: 'body' });
	assert.equal(decodeText(Buffer.from('{"host":"é"}')), '{"host":"é"}');
});

/** Guards against names that differ between replicas: long ones with half a surrogate pair are read back as others. */
test('names with half a surrogate pair are refused', () => {
	const half = `${'a'.repeat(60)}\ud800`;
	for (const cells of [{ name: half }, { host: half }, { service: half }, { home_regions: [half] }]) {
		assert.throws(() => readRouteDocument(createDocument(cells)), InvalidFieldError, Object.keys(cells)[0]);
	}
	assert.equal(readRouteDocument(createDocument({ host: 'shop\ud83d\ude00' })).routes[0]?.host, 'shop\ud83d\ude00');
	const info = { service: half, zone: 'z', slots: 1 };
	const heartbeat = { addr: '127.0.0.1:1', info, status: { state: 'ready', seq: 1 } };
	assert.throws(() => readHeartbeat('i-1', JSON.stringify(heartbeat)), { field: 'info.service' });
});

/** Guards against a route that names an unknown service beside its split. */
test('a route with a split and a service that is not known is refused', () => {
	const split = [{ service: 's', weight: 1 }];
	assert.throws(() => readRouteDocument(createDocument({ split, service: 'other' })), {
		name: InvalidFieldError.name,
		allowed: 's'
	});
	for (const service of ['s', null]) {
		assert.equal(validateRouteTable(readRouteDocument(createDocument({ split, service }))).length, 0);
	}
});

test('a host of blanks counts as empty', () => {
	for (const host of ['', ' ', '\t ']) {
		assert.equal(validateRouteTable(readRouteDocument(createDocument({ host }))).length, 1, JSON.stringify(host));
	}
});
