/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Reads the INI file of a process and validates it against the registered settings. */

import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import { type ProcessKind } from '../common/pluginRegistry.js';
import { createServiceIdentifier } from '../common/serviceIdentifier.js';
import { type SettingsSection, settingsRegistry } from '../common/settingsRegistry.js';

/** The validated settings of the process. */
export interface ISettingsService {
	/** The values of a section that occurs once; `T` must match the declaration of the section. */
	section<T>(name: string): T;
	/** The values of all sections such as `[control.c1]`, by the name after the dot. */
	namedSections<T>(name: string): ReadonlyMap<string, T>;
	/** Replaces the reloadable sections with those of `other`; returns the names of the sections that changed. */
	reload(other: ISettingsService): string[];
}

/** Identifier of the settings service. */
export const ISettingsService = createServiceIdentifier<ISettingsService>('settingsService');

/** A validation error in a settings file. */
export interface SettingsFault {
	readonly section: string;
	readonly key?: string;
	/** Describes the error and the allowed values. */
	readonly message: string;
}

/** A settings file is invalid; lists all faults. */
export class SettingsError extends Error {
	constructor(
		readonly file: string,
		readonly faults: readonly SettingsFault[]
	) {
		const lines = faults.map(fault => `  [${fault.section}]${fault.key ? ` ${fault.key}` : ''}: ${fault.message}`);
		super(`${file}: ${faults.length} fault(s)\n${lines.join('\n')}`);
		this.name = 'SettingsError';
	}
}

/** Validates several sections together, for example for duplicate addresses; returns the faults. */
export type CrossCheck = (settings: ISettingsService) => SettingsFault[];

const crossChecks: { kinds: readonly ProcessKind[]; check: CrossCheck }[] = [];

/** Registers a check that runs once all sections are valid on their own. */
export function registerCrossCheck(kinds: readonly ProcessKind[], check: CrossCheck): void {
	crossChecks.push({ kinds, check });
}

/** Sections that may change in a running process; code that uses them must not cache their values. */
const RELOADABLE_SECTIONS = ['discovery'];

type RawSection = Record<string, unknown>;

class CheckedSettings implements ISettingsService {
	readonly sectionValues = new Map<string, unknown>();
	readonly namedSectionValues = new Map<string, Map<string, unknown>>();

	section<T>(name: string): T {
		return this.sectionValues.get(name) as T;
	}

	namedSections<T>(name: string): ReadonlyMap<string, T> {
		return (this.namedSectionValues.get(name) ?? new Map()) as ReadonlyMap<string, T>;
	}

	reload(other: ISettingsService): string[] {
		const changed = RELOADABLE_SECTIONS.filter(
			name => JSON.stringify(other.section(name)) !== JSON.stringify(this.section(name))
		);
		changed.forEach(name => this.sectionValues.set(name, other.section(name)));
		return changed;
	}
}

function checkSection(title: string, section: SettingsSection, raw: RawSection, faults: SettingsFault[]): unknown {
	const values: Record<string, unknown> = {};
	for (const key of Object.keys(raw)) {
		if (!(key in section.keys)) {
			const allowed = Object.keys(section.keys).join(', ');
			faults.push({ section: title, key, message: `unknown key; allowed: ${allowed}` });
		}
	}
	for (const [key, declaration] of Object.entries(section.keys)) {
		const given = raw[key] ?? declaration.default;
		if (given === undefined) {
			faults.push({ section: title, key, message: `is missing; ${declaration.description}` });
			continue;
		}
		const result = declaration.schema.safeParse(typeof given === 'string' ? given : String(given));
		if (result.success) {
			values[key] = result.data;
			continue;
		}
		const allowed = result.error.issues.map(issue => issue.message).join('; ');
		faults.push({ section: title, key, message: `'${String(given)}' is not allowed; allowed: ${allowed}` });
	}
	return values;
}

function checkNamedSections(
	section: SettingsSection,
	raw: RawSection,
	settings: CheckedSettings,
	faults: SettingsFault[]
): void {
	const valuesByName = new Map<string, unknown>();
	for (const [name, value] of Object.entries(raw)) {
		const title = `${section.name}.${name}`;
		if (typeof value !== 'object' || value === null) {
			faults.push({ section: section.name, key: name, message: `needs a name: write [${section.name}.NAME]` });
			continue;
		}
		valuesByName.set(name, checkSection(title, section, value as RawSection, faults));
	}
	settings.namedSectionValues.set(section.name, valuesByName);
}

/** Finds sections that occur more than once; the INI library would merge them without an error. */
function findRepeatedSections(text: string): SettingsFault[] {
	const seen = new Set<string>();
	const faults: SettingsFault[] = [];
	for (const line of text.split(/\r?\n/)) {
		const title = /^\s*\[([^\]]+)\]\s*$/.exec(line)?.[1];
		if (title && seen.has(title)) {
			faults.push({ section: title, message: 'stands twice; each section is allowed once' });
		}
		if (title) {
			seen.add(title);
		}
	}
	return faults;
}

/**
 * Parses and validates the text of a settings file for one kind of process.
 * @param file path for error messages
 * @throws SettingsError the settings are invalid
 */
export function parseSettings(file: string, text: string, kind: ProcessKind): ISettingsService {
	const raw = parse(text) as RawSection;
	const faults = findRepeatedSections(text);
	const settings = new CheckedSettings();
	const sections = settingsRegistry.sectionsFor(kind);
	for (const [name, value] of Object.entries(raw)) {
		if (typeof value !== 'object' || value === null) {
			faults.push({ section: '', key: name, message: 'stands outside any section' });
		} else if (!sections.some(section => section.name === name)) {
			const allowed = sections.map(section => (section.named ? `${section.name}.NAME` : section.name));
			faults.push({ section: name, message: `unknown section; allowed: ${allowed.join(', ')}` });
		}
	}
	for (const section of sections) {
		const value = raw[section.name];
		const given = typeof value === 'object' && value !== null ? (value as RawSection) : {};
		if (section.named) {
			checkNamedSections(section, given, settings, faults);
		} else {
			settings.sectionValues.set(section.name, checkSection(section.name, section, given, faults));
		}
	}
	if (faults.length === 0) {
		const checks = crossChecks.filter(entry => entry.kinds.includes(kind));
		faults.push(...checks.flatMap(entry => entry.check(settings)));
	}
	if (faults.length > 0) {
		throw new SettingsError(file, faults);
	}
	return settings;
}

/**
 * Reads and validates a settings file.
 * @throws SettingsError the file cannot be read or its settings are invalid
 */
export function readSettings(file: string, kind: ProcessKind): ISettingsService {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError(file, [{ section: '', message: `cannot be read: ${(error as Error).message}` }]);
	}
	return parseSettings(file, text, kind);
}

/** Returns a commented settings file with all keys and their defaults for one kind of process. */
export function formatDefaultSettings(kind: ProcessKind): string {
	const lines: string[] = [];
	for (const section of settingsRegistry.sectionsFor(kind)) {
		lines.push(`; ${section.description}`, `[${section.name}${section.named ? '.NAME' : ''}]`);
		for (const [key, declaration] of Object.entries(section.keys)) {
			lines.push(`; ${declaration.description}`);
			lines.push(declaration.default === undefined ? `; ${key} = (required)` : `${key} = ${declaration.default}`);
		}
		lines.push('');
	}
	return lines.join('\n');
}
