/** The log's line format: key=value pairs; an ambiguous value is written as a JSON string. */

/** The fields of a line; `undefined` and `null` are written as an empty value. */
export type LineFields = Readonly<Record<string, unknown>>;

const unambiguous = /^[^\s"=\\\p{Cc}]+$/u;

/** Formats the fields of one event in their order, without a line break at the end. */
export function logfmt(fields: LineFields): string {
	return Object.entries(fields)
		.map(([key, value]) => `${key}=${formatValue(value)}`)
		.join(' ');
}

function formatValue(value: unknown): string {
	if (value === undefined || value === null) {
		return '';
	}

	if (typeof value === 'number' && Number.isFinite(value)) {
		return String(value);
	}

	const text = typeof value === 'string' ? value : JSON.stringify(value);
	return unambiguous.test(text) ? text : JSON.stringify(text);
}
