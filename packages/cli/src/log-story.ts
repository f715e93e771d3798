/**
 * What the logs of daemons say about one request or one key. Lines are name=value
 * pairs, as daemons write them; whatever else stands before or between them is passed
 * over, so that streams may be merged and marked by whoever collects them.
 */

/** The pairs of one line, in order. */
export type LogLine = ReadonlyMap<string, string>;

/** What a story is about. */
export type Subject = {
	/** A request's id, or a key. */
	readonly name: string;
	/** The service that the key is of; undefined for a request. */
	readonly service: string | undefined;
};

const pair = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** The line's pairs; undefined for a line of another making, which has no event. */
export function parseLogLine(text: string): LogLine | undefined {
	const pairs = new Map<string, string>();
	for (const [, name, value] of text.matchAll(pair)) {
		pairs.set(name, value.startsWith('"') ? unquoted(value) : value);
	}

	return pairs.has('event') ? pairs : undefined;
}

/** Whether a line tells of the subject: by its id, or by its service and a run of keys that the key is in. */
export function isAbout(line: LogLine, {name, service}: Subject): boolean {
	if (service === undefined) {
		return line.get('id') === name;
	}

	const key = Number(name);
	const isIn = Number(line.get('from')) <= key && key <= Number(line.get('to'));
	return line.get('service') === service && (isIn || line.get('key') === name);
}

/** Lines by their time; those of one time stay in the order in which they were read. */
export function inOrder(lines: readonly LogLine[]): readonly LogLine[] {
	const at = (line: LogLine) => line.get('time') ?? '';
	return lines.toSorted((a, b) => (at(a) < at(b) ? -1 : at(a) > at(b) ? 1 : 0));
}

/** A line for people: when, where, what, and on what grounds. */
export function textOfLine(line: LogLine): string {
	const shown = ['time', 'vm', 'event'];
	const rest = [...line].filter(
		([name]) => name !== 'level' && !shown.includes(name),
	);
	const head = shown.map((name) => line.get(name) ?? '-').join(' ');
	return [head, ...rest.map(([name, value]) => `${name}=${value}`)].join(' ');
}

function unquoted(text: string): string {
	try {
		return JSON.parse(text) as string;
	} catch {
		// Not written by a daemon: shown as it stands.
		return text;
	}
}
