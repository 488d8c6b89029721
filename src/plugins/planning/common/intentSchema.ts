/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Schemas of operators' requests; the messages state the allowed values. */

import { z } from 'zod';
import { nameSchema } from '../../../kernel/common/settingsRegistry.js';
import { DrainScope } from '../../configuration/common/configuration.js';

const MAX_WINDOW_MS = 86400000;
const MIN_WINDOW_MS = 100;
const MAX_PERMILLE = 1000;

const permilleSchema = z
	.number('a whole number from 1 to 1000')
	.int('a whole number from 1 to 1000')
	.min(1, 'a whole number from 1 to 1000')
	.max(MAX_PERMILLE, 'a whole number from 1 to 1000');

const scopeSchema = z.enum(DrainScope, 'one of target, instance, hall, region');

const windowSchema = z
	.number('milliseconds from 100 to 86400000')
	.int('milliseconds from 100 to 86400000')
	.min(MIN_WINDOW_MS, 'milliseconds from 100 to 86400000')
	.max(MAX_WINDOW_MS, 'milliseconds from 100 to 86400000');

/** Schema of an intent. */
export const intentSchema = z.discriminatedUnion(
	'kind',
	[
		z.strictObject({ kind: z.literal('share'), group: nameSchema, share: permilleSchema }),
		z.strictObject({
			kind: z.literal('cap'),
			group: nameSchema,
			permille: permilleSchema,
			windowMs: windowSchema
		}),
		z.strictObject({
			kind: z.literal('prefer'),
			group: nameSchema,
			region: nameSchema,
			permille: permilleSchema.optional(),
			allowOverloadOnRegionLoss: z.boolean('true or false').optional()
		}),
		z.strictObject({
			kind: z.literal('drain'),
			scope: scopeSchema,
			name: nameSchema,
			allowOverloadOnRegionLoss: z.boolean('true or false').optional()
		}),
		z.strictObject({ kind: z.literal('restore'), scope: scopeSchema, name: nameSchema })
	],
	'one of share, cap, prefer, drain, restore'
);

const requestNumberSchema = z
	.number('a whole number from 0 to 9007199254740991')
	.int('a whole number from 0 to 9007199254740991')
	.nonnegative('a whole number from 0 to 9007199254740991');

const operatorSchema = z.string().regex(/^[\w.@-]{1,64}$/, 'letters, digits, and . _ @ -, 64 at most');

/** Body of `POST /v1/intents`. */
export const intentRequestSchema = z.strictObject({
	operator: operatorSchema,
	number: requestNumberSchema,
	baseRevision: z.number('a revision, 0 or more').int('a revision, 0 or more').nonnegative().optional(),
	intent: intentSchema
});

/** Body of `POST /v1/plans/<id>/confirm`. */
export const confirmRequestSchema = z.strictObject({
	operator: operatorSchema,
	number: requestNumberSchema,
	digest: z.string().regex(/^[0-9a-f]{64}$/, 'the digest of the plan, 64 hexadecimal digits')
});

/** Validated body of `POST /v1/intents`. */
export type IntentRequest = z.infer<typeof intentRequestSchema>;
/** Validated body of `POST /v1/plans/<id>/confirm`. */
export type ConfirmRequest = z.infer<typeof confirmRequestSchema>;
