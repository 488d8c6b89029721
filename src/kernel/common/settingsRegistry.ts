/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Where features declare their settings: type, unit, default and description, beside the code that uses them. */

import { z } from 'zod';
import type { ProcessKind } from './pluginRegistry.js';

/** One key of a section. */
export interface SettingDeclaration {
	/** Checks and converts the text of the INI value. */
	readonly schema: z.ZodType;
	/** What the value means, with its unit and what is allowed, in a sentence. */
	readonly description: string;
	/** Default, as written in the file; a key without one is required. */
	readonly default?: string;
}

/** One section, or a family of named sections such as `[control.c1]`. */
export interface SettingsSection {
	readonly name: string;
	/** Whether the section is repeated with a name of its own after a dot. */
	readonly named: boolean;
	/** Which processes have the section. */
	readonly kinds: readonly ProcessKind[];
	readonly description: string;
	readonly keys: Readonly<Record<string, SettingDeclaration>>;
}

class SettingsRegistry {
	private readonly _sections: SettingsSection[] = [];

	/** Declares a section; call it at module level of the feature that reads it. */
	register<T extends SettingsSection>(section: T): T {
		this._sections.push(section);
		return section;
	}

	/** The sections that one kind of process has, in order of registration. */
	sectionsFor(kind: ProcessKind): SettingsSection[] {
		return this._sections.filter(section => section.kinds.includes(kind));
	}
}

/** The registry of this process. */
export const settingsRegistry = new SettingsRegistry();

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/;

/** A name of an instance, hall, region, service or group. */
export const nameSchema = z.string().regex(NAME_PATTERN, 'letters, digits, - and _, 63 at most');

const ADDRESS_PATTERN = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;
const MAX_PORT = 65535;
const MAX_OCTET = 255;

/** An IPv4 address with a port, such as `127.0.0.1:8080`. */
export const addressSchema = z.string().refine(text => {
	const match = ADDRESS_PATTERN.exec(text);
	if (!match) {
		return false;
	}
	const octetsFit = match[1]!.split('.').every(octet => Number(octet) <= MAX_OCTET);
	return octetsFit && Number(match[2]) <= MAX_PORT;
}, 'an IPv4 address and port, such as 127.0.0.1:8080');

/** Addresses parted by commas; may be empty. */
export const addressListSchema = z
	.string()
	.transform(text => text.split(',').filter(part => part !== ''))
	.pipe(z.array(addressSchema));

/** `true` or `false`. */
export const booleanSchema = z.enum(['true', 'false'], 'true or false').transform(text => text === 'true');

/** A whole number from `min` to `max`, both allowed. */
export function integerSchema(min: number, max: number): z.ZodType<number> {
	return z
		.string()
		.regex(/^-?\d+$/, `a whole number from ${min} to ${max}`)
		.transform(Number)
		.refine(value => value >= min && value <= max, `a whole number from ${min} to ${max}`);
}

/** A number from `min` to `max`, both allowed. */
export function numberSchema(min: number, max: number): z.ZodType<number> {
	return z
		.string()
		.refine(text => text.trim() !== '' && Number.isFinite(Number(text)), `a number from ${min} to ${max}`)
		.transform(Number)
		.refine(value => value >= min && value <= max, `a number from ${min} to ${max}`);
}

/** An `http://` or `https://` URL. */
export const urlSchema = z.string().refine(text => {
	try {
		return ['http:', 'https:'].includes(new URL(text).protocol);
	} catch {
		return false;
	}
}, 'an http:// or https:// URL');

/** A path of a file or folder. */
export const pathSchema = z.string().min(1, 'a path');
