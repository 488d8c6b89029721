/** Fills the settings templates of `deploy/` as DEPLOY.md describes, and reads the commands of `deploy/system.toml`. */

import { readFileSync } from 'node:fs';
import { join } from 'node:path';

function lookUp(name, entry, fields) {
	if (name === '.') {
		return entry;
	}
	return name
		.split('.')
		.reduce((value, part) => (value === undefined || value === null ? undefined : value[part]), fields);
}

function textOf(value) {
	if (value === undefined || value === null) {
		return '';
	}
	if (Array.isArray(value)) {
		return value.join(',');
	}
	return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function repeat(value, body, fields) {
	const entries = Array.isArray(value) ? value.map((item, i) => [i, item]) : Object.entries(value ?? {});
	return entries
		.map(([key, item], i) =>
			body
				.replaceAll('{{@}}', String(key))
				.replaceAll('{{,}}', i < entries.length - 1 ? ',' : '')
				.replace(/\{\{([\w.]+)\}\}/g, (_gap, name) => textOf(lookUp(name, item, fields)))
		)
		.join('');
}

/** Fills a template with the fields of a process. */
export function fillTemplate(template, fields) {
	return template
		.replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_part, name, body) =>
			repeat(lookUp(name, undefined, fields), body, fields)
		)
		.replace(/\{\{([\w.]+)\}\}/g, (_gap, name) => textOf(lookUp(name, undefined, fields)));
}

/** The roles of the deploy file: command and template. */
export function readRoles(root) {
	const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
	const roles = {};
	for (const part of text.split(/^\[roles\./m).slice(1)) {
		const name = part.slice(0, part.indexOf(']'));
		const valueOf = key => new RegExp(`^${key} = "(.*)"$`, 'm').exec(part)?.[1];
		roles[name] = {
			command: valueOf('run').split(' '),
			template: readFileSync(join(root, valueOf('template')), 'utf8')
		};
	}
	return roles;
}
