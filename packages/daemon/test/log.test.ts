import test from 'ava';
import fc from 'fast-check';
import {pino} from 'pino';
import {Log} from '../src/log/log.js';
import {LineStream} from '../src/log/line-stream.js';
import {logfmt} from '../src/log/logfmt.js';

test('a line holds every field once, in order, on one line, and can be read back', (t) => {
	fc.assert(
		fc.property(
			fc.uniqueArray(fc.stringMatching(/^[a-z]{1,8}$/)),
			fc.array(fc.string({unit: 'binary'}), {minLength: 20, maxLength: 20}),
			(names, values) => {
				const fields = names.map((name, index) => [name, values[index] ?? '']);
				const line = logfmt(Object.fromEntries(fields) as never);
				return (
					!/[\n\r]/.test(line) &&
					JSON.stringify(readBack(line)) === JSON.stringify(fields)
				);
			},
		),
	);
	t.pass();
});

test('an event is written with its level and time to the second, before its fields', (t) => {
	const lines: string[] = [];
	const stream = new LineStream((line) => lines.push(line));
	const log = new Log(
		pino(
			{base: {vm: 'vm-1'}, timestamp: () => ',"time":1780000000123'},
			stream,
		),
	);
	log.warn('server-crashed', {
		inFlight: 2,
		message: 'was "here"',
		slice: undefined,
	});
	t.deepEqual(lines, [
		'level=warn time=2026-05-28T20:26:40Z vm=vm-1 event=server-crashed inFlight=2 message="was \\"here\\""\n',
	]);
});

test('an event that is written directly has the same line as one through JSON', (t) => {
	const lines: string[] = [];
	const stream = new LineStream((line) => lines.push(line));
	const time = 1_780_000_000_123;
	const fields = {event: 'request-sent', load: 0.5, isKeyed: true, id: 'a b'};
	stream.write(JSON.stringify({level: 30, time, ...fields}));
	stream.writeEvent({time, level: 'info', fields});
	t.is(lines[1], lines[0]);
});

/** Parses the fields of a line according to the format. */
function readBack(line: string): ReadonlyArray<readonly string[]> {
	return [...line.matchAll(/([a-z]+)=("(?:[^"\\]|\\.)*"|[^ ]*)/g)].map(
		([, name, value]) => [name, unquote(value)],
	);
}

function unquote(value: string): string {
	return value.startsWith('"') ? (JSON.parse(value) as string) : value;
}

test('the length of a line is bounded, however long its values are', (t) => {
	const lines: string[] = [];
	const recorded: number[] = [];
	const log = new Log(
		pino({base: {}}, new LineStream((line) => lines.push(line))),
		(_event, {name}) => recorded.push(String(name).length),
	);
	const name = 'x'.repeat(1_000_000);
	log.warn('object-unreadable', {name, revision: 7});
	log.routing('request-sent', {name});
	t.is(lines.length, 2);
	t.true(lines.every(({length}) => length < 2500));
	t.regex(lines[0], /name=x+… revision=7/);
	t.true(recorded.every((len) => len < 2500));
});
