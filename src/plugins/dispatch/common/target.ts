/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Schema of the list of targets that the platform serves. */

import { z } from 'zod';
import { integerSchema, nameSchema, urlSchema } from '../../../kernel/common/settingsRegistry.js';

const MAX_SLOTS = 10000;

/** A target on the list. */
export const targetSchema = z.object({
	name: nameSchema,
	service: nameSchema,
	url: urlSchema,
	hall: nameSchema,
	region: nameSchema,
	/** Maximum number of concurrent requests. */
	slots: z.number().int().min(1).max(MAX_SLOTS),
	state: z.enum(['live', 'leaving'])
});

/** The whole list. */
export const platformListSchema = z.object({ targets: z.array(targetSchema) });

/** One target on the platform's list. */
export type ListedTarget = z.infer<typeof targetSchema>;

/** Duration in a settings file, in milliseconds, up to an hour. */
export const durationMsSchema = integerSchema(0, 3600000);

/** Response header by which a target announces that it accepts no new requests. */
export const TARGET_LEAVING_HEADER = 'target-leaving';
/** Response header by which a target states that it refused a request without processing it. */
export const TARGET_SHED_HEADER = 'target-shed';
