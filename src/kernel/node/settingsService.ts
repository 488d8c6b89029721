/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Reads the INI file of a process and checks it against what the features declared. */

import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import { type ProcessKind } from '../common/pluginRegistry.js';
import { createServiceIdentifier } from '../common/serviceIdentifier.js';
import { type SettingsSection, settingsRegistry } from '../common/settingsRegistry.js';

/** The checked settings of the process. */
export interface ISettingsService {
	/** The values of a section that occurs once; `T` is the section's own type. */
	section<T>(name: string): T;
	/** The values of each section of a named family, by name. */
	namedSections<T>(name: string): ReadonlyMap<string, T>;
	/** Takes over the reloadable sections of another reading of the file; returns the names of those that differ. */
	reload(other: ISettingsService): string[];
}

/** Identifier of the settings service. */
export const ISettingsService = createServiceIdentifier<ISettingsService>('settingsService');

/** One fault in a settings file. */
export interface SettingsFault {
	readonly section: string;
	readonly key?: string;
	/** What is wrong and what is allowed. */
	readonly message: string;
}

/** Every fault of a settings file at once. */
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

/** A check over several sections, such as an address that occurs twice; returns the faults it finds. */
export type CrossCheck = (settings: ISettingsService) => SettingsFault[];

const crossChecks: { kinds: readonly ProcessKind[]; check: CrossCheck }[] = [];

/** Registers a check that runs when each section by itself is without fault. */
export function registerCrossCheck(kinds: readonly ProcessKind[], check: CrossCheck): void {
	crossChecks.push({ kinds, check });
}

/** Sections whose readers ask for them anew each time, so that a change takes effect in a running process. */
const RELOADABLE_SECTIONS = ['discovery'];

type RawSection = Record<string, unknown>;

class CheckedSettings implements ISettingsService {
	readonly single = new Map<string, unknown>();
	readonly named = new Map<string, Map<string, unknown>>();

	section<T>(name: string): T {
		return this.single.get(name) as T;
	}

	namedSections<T>(name: string): ReadonlyMap<string, T> {
		return (this.named.get(name) ?? new Map()) as ReadonlyMap<string, T>;
	}

	reload(other: ISettingsService): string[] {
		const changed = RELOADABLE_SECTIONS.filter(
			name => JSON.stringify(other.section(name)) !== JSON.stringify(this.section(name))
		);
		changed.forEach(name => this.single.set(name, other.section(name)));
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

function checkNamedFamily(
	section: SettingsSection,
	raw: RawSection,
	settings: CheckedSettings,
	faults: SettingsFault[]
): void {
	const family = new Map<string, unknown>();
	for (const [name, value] of Object.entries(raw)) {
		const title = `${section.name}.${name}`;
		if (typeof value !== 'object' || value === null) {
			faults.push({ section: section.name, key: name, message: `needs a name: write [${section.name}.NAME]` });
			continue;
		}
		family.set(name, checkSection(title, section, value as RawSection, faults));
	}
	settings.named.set(section.name, family);
}

/** Sections that stand twice in the file; the INI library would merge them in silence. */
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
 * Checks the text of a settings file for one kind of process.
 * @throws SettingsError with every fault found
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
			checkNamedFamily(section, given, settings, faults);
		} else {
			settings.single.set(section.name, checkSection(section.name, section, given, faults));
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
 * Reads and checks a settings file.
 * @throws SettingsError with every fault found, or when the file cannot be read
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

/** A commented settings file with every key and its default, for one kind of process. */
export function printDefaults(kind: ProcessKind): string {
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
