/** Fills a settings template of `deploy/` as the users' page DEPLOY.md describes it. */

function lookUp(scopes, path) {
	if (path === '.') {
		return scopes.at(-1).value;
	}
	const [first, ...rest] = path.split('.');
	for (let i = scopes.length - 1; i >= 0; i--) {
		const { value } = scopes[i];
		if (value !== null && typeof value === 'object' && first in value) {
			return rest.reduce((inner, name) => inner?.[name], value[first]);
		}
	}
	return undefined;
}

function format(value) {
	if (value === undefined || value === null) {
		return '';
	}
	if (Array.isArray(value)) {
		return value.join(',');
	}
	return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function entriesOf(value) {
	if (Array.isArray(value)) {
		return value.map((item, index) => [index, item]);
	}
	if (value !== null && typeof value === 'object') {
		return Object.entries(value);
	}
	return value === undefined || value === false || value === '' ? [] : [['', value]];
}

function render(text, scopes) {
	let result = '';
	let rest = text;
	for (;;) {
		const gap = /\{\{(.*?)\}\}/.exec(rest);
		if (!gap) {
			return result + rest;
		}
		result += rest.slice(0, gap.index);
		const name = gap[1];
		rest = rest.slice(gap.index + gap[0].length);
		if (name.startsWith('#') || name.startsWith('^')) {
			const end = `{{/${name.slice(1)}}}`;
			const at = rest.indexOf(end);
			const inner = rest.slice(0, at);
			rest = rest.slice(at + end.length);
			const entries = entriesOf(lookUp(scopes, name.slice(1)));
			if (name.startsWith('^')) {
				result += entries.length === 0 ? render(inner, scopes) : '';
			} else {
				entries.forEach(([key, value], i) => {
					result += render(inner, [...scopes, { value, key, isLast: i === entries.length - 1 }]);
				});
			}
		} else if (name === '@') {
			result += scopes.at(-1).key;
		} else if (name === ',') {
			result += scopes.at(-1).isLast ? '' : ',';
		} else if (name.endsWith('|json')) {
			result += JSON.stringify(lookUp(scopes, name.slice(0, -5)));
		} else {
			result += format(lookUp(scopes, name));
		}
	}
}

/** The text of a template with the fields of one process filled in. */
export function fill(template, fields) {
	return render(template, [{ value: fields, key: '', isLast: true }]);
}
