/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Registry of settings, which each plug-in declares with type, unit, default and description, and schemas for their values. */

import * as z from 'zod/mini';
import type { ProcessKind } from './pluginRegistry.js';

/** Declaration of one key of a section. */
export interface SettingDeclaration {
	/** Validates and converts the text of the INI value. */
	readonly schema: z.ZodMiniType;
	/** One sentence on the meaning, unit and allowed values. */
	readonly description: string;
	/** Default, as the text in the file; a key without a default is required. */
	readonly default?: string;
}

/** Declaration of a section, or of a group of named sections such as `[control.c1]`. */
export interface SettingsSection {
	readonly name: string;
	/** Whether the section may occur several times, each time with a different name after a dot. */
	readonly named: boolean;
	/** The kinds of process that have the section. */
	readonly kinds: readonly ProcessKind[];
	readonly description: string;
	readonly keys: Readonly<Record<string, SettingDeclaration>>;
}

class SettingsRegistry {
	private readonly _sections: SettingsSection[] = [];

	/** Declares a section and returns it; to be called when the module that reads it is loaded. */
	register<T extends SettingsSection>(section: T): T {
		this._sections.push(section);
		return section;
	}

	/** The sections of one kind of process, in order of registration. */
	sectionsFor(kind: ProcessKind): SettingsSection[] {
		return this._sections.filter(section => section.kinds.includes(kind));
	}
}

/** The registry of this process. */
export const settingsRegistry = new SettingsRegistry();

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/;

/** A name of an instance, hall, region, service or group. */
export const nameSchema = z.string().check(z.regex(NAME_PATTERN, 'letters, digits, - and _, at most 63 characters'));

const ADDRESS_PATTERN = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;
const MAX_PORT = 65535;
const MAX_OCTET = 255;

/** An IPv4 address with a port, such as `127.0.0.1:8080`. */
export const addressSchema = z.string().check(z.refine(isAddress, 'an IPv4 address and port, such as 127.0.0.1:8080'));

function isAddress(text: string): boolean {
	const match = ADDRESS_PATTERN.exec(text);
	if (!match) {
		return false;
	}
	const areOctetsValid = match[1]!.split('.').every(octet => Number(octet) <= MAX_OCTET);
	return areOctetsValid && Number(match[2]) <= MAX_PORT;
}

/** Comma-separated addresses; may be empty. */
export const addressListSchema = listSchema(addressSchema);

/** Comma-separated values; may be empty. */
export function listSchema<T extends z.ZodMiniType<unknown, string>>(item: T) {
	const items = z.pipe(
		z.string(),
		z.transform(text => text.split(',').filter(part => part !== ''))
	);
	return z.pipe(items, z.array(item));
}

/** `true` or `false`. */
export const booleanSchema = z.pipe(
	z.enum(['true', 'false'], 'true or false'),
	z.transform(text => text === 'true')
);

/** An integer from `min` to `max`, inclusive. */
export function integerSchema(min: number, max: number): z.ZodMiniType<number> {
	const message = `a whole number from ${min} to ${max}`;
	return boundedSchema(z.string().check(z.regex(/^-?\d+$/, message)), min, max, message);
}

/** A finite number from `min` to `max`, inclusive. */
export function numberSchema(min: number, max: number): z.ZodMiniType<number> {
	const message = `a number from ${min} to ${max}`;
	const isNumber = (text: string): boolean => text.trim() !== '' && Number.isFinite(Number(text));
	return boundedSchema(z.string().check(z.refine(isNumber, message)), min, max, message);
}

function boundedSchema(text: z.ZodMiniString, min: number, max: number, message: string): z.ZodMiniType<number> {
	const bounded = z.number(message).check(z.refine(value => value >= min && value <= max, message));
	return z.pipe(z.pipe(text, z.transform(Number)), bounded);
}

/** An `http://` or `https://` URL. */
export const urlSchema = z.string().check(z.refine(isHttpUrl, 'an http:// or https:// URL'));

function isHttpUrl(text: string): boolean {
	try {
		return ['http:', 'https:'].includes(new URL(text).protocol);
	} catch {
		return false;
	}
}

/** A non-empty path of a file or folder. */
export const pathSchema = z.string().check(z.minLength(1, 'a path'));
