/**
 * Parses the log lines of daemons and selects those about one request or one key.
 * A line holds name=value pairs. Any other text before or between the pairs is
 * ignored, because log collectors merge streams and add text of their own.
 */

/** The values of one line by name, in the order of the line. */
export type LogLine = ReadonlyMap<string, string>;

/** The request or key to select lines for. */
export type Subject = {
	/** A request's id, or a key. */
	readonly name: string;
	/** The key's service; undefined for a request. */
	readonly service: string | undefined;
};

const pair = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** The line's pairs; undefined for a line without an event, which no daemon wrote. */
export function parseLogLine(text: string): LogLine | undefined {
	const pairs = new Map<string, string>();
	for (const [, name, value] of text.matchAll(pair)) {
		pairs.set(name, value.startsWith('"') ? unquote(value) : value);
	}

	return pairs.has('event') ? pairs : undefined;
}

/** Whether a line is about the subject: by its id, or by its service and either the key or a range that holds it. */
export function isAbout(line: LogLine, {name, service}: Subject): boolean {
	if (service === undefined) {
		return line.get('id') === name;
	}

	const key = Number(name);
	const inRange =
		Number(line.get('from')) <= key && key <= Number(line.get('to'));
	return (
		line.get('service') === service && (inRange || line.get('key') === name)
	);
}

/** The lines sorted by time; lines of the same time keep their order. */
export function sortedByTime(lines: readonly LogLine[]): readonly LogLine[] {
	const timeOf = (line: LogLine) => line.get('time') ?? '';
	return lines.toSorted((a, b) =>
		timeOf(a) < timeOf(b) ? -1 : timeOf(a) > timeOf(b) ? 1 : 0,
	);
}

/** A line as text: time, VM and event, then all other pairs except the log level. */
export function formatLine(line: LogLine): string {
	const leading = ['time', 'vm', 'event'];
	const rest = [...line].filter(
		([name]) => name !== 'level' && !leading.includes(name),
	);
	const head = leading.map((name) => line.get(name) ?? '-').join(' ');
	return [head, ...rest.map(([name, value]) => `${name}=${value}`)].join(' ');
}

function unquote(text: string): string {
	try {
		return JSON.parse(text) as string;
	} catch {
		// A daemon did not write this: show it unchanged.
		return text;
	}
}
