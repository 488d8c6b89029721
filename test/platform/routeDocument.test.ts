/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Configuration documents of the platform that are not valid. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvalidFieldError, readRouteDocument } from '../../platform/routeDocument.js';
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
