import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import {sendAnswer, createSite} from './gateway-site.js';
import {until} from './requests-fixture.js';

const {resolve} = createRequire(import.meta.url);
const cli = path.join(
	path.dirname(resolve('@kingcuproute/cli')),
	'kingcuproute.js',
);

const log = [
	'starting up',
	'level=info time=2026-12-04T10:00:02Z vm=b event=request-sent id=q1 service=s backendServer=i-2 number=2',
	String.raw`collector: 7 level=info time=2026-12-04T10:00:01Z vm=a event=attempt-failed id=q1 end=declined message="status 421, \"not mine\""`,
	'level=info time=2026-12-04T10:00:01Z vm=a event=request-sent id=q10 service=s',
	'level=info time=2026-12-04T10:00:00Z vm=a event=keys-granted service=s backendServer=i-2 from=10 to=20 fence=4',
	'level=info time=2026-12-04T10:00:03Z vm=a event=keys-granted service=other backendServer=i-3 from=0 to=99 fence=9',
	'level=info time=2026-12-04T10:00:03Z vm=a event=request-refused id=q2 service=s key=15 reason=no-owner',
];

function logFile(t: ExecutionContext, lines: readonly string[]): string {
	const folder = mkdtempSync(path.join(tmpdir(), 'explain-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'daemon.log');
	writeFileSync(file, lines.join('\n'));
	return file;
}

async function explain(args: readonly string[], input = '') {
	const child = spawn(process.execPath, [cli, 'explain', ...args]);
	const ended = once(child, 'close');
	child.stdin.end(input);
	const [output, errors] = await Promise.all([
		child.stdout.toArray(),
		child.stderr.toArray(),
	]);
	const [code] = (await ended) as [number];
	return {
		code,
		lines: output.join('').trim().split('\n'),
		errors: errors.join(''),
	};
}

test('a request is explained from logs, in order of time', async (t) => {
	const {code, lines} = await explain(['q1', '--log', logFile(t, log)]);
	t.is(code, 0);
	t.deepEqual(lines, [
		'2026-12-04T10:00:01Z a attempt-failed id=q1 end=declined message=status 421, "not mine"',
		'2026-12-04T10:00:02Z b request-sent id=q1 service=s backendServer=i-2 number=2',
	]);
});

test('a key is explained from logs by the key ranges that contain it, also from standard input', async (t) => {
	const args = ['15', '--service', 's', '--log=-', '--output', 'json'];
	const {code, lines} = await explain(args, log.join('\n'));
	t.is(code, 0);
	const explained = JSON.parse(lines[0]) as ReadonlyArray<
		Record<string, string>
	>;
	t.deepEqual(
		explained.map(({event}) => event),
		['keys-granted', 'request-refused'],
	);
});

test('an id that is on no line, and a log that cannot be read, are reported', async (t) => {
	const missing = await explain(['q3', '--log', logFile(t, log)]);
	t.is(missing.code, 4);
	t.regex(missing.errors, /no line is about q3/);
	const unreadable = await explain(['q1', '--log', '/nowhere.log']);
	t.is(unreadable.code, 2);
	t.regex(unreadable.errors, /nowhere\.log/);
});

test('the log of a daemon explains why a request was refused', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', (req, res, body) => {
		if (req.url === '/book/lost') {
			res.destroy();
		} else {
			sendAnswer(req, res, body);
		}
	});
	await site.start();
	t.is(await site.statusOf('/book/lost', {}, 'b'), 502);
	await until(async () =>
		site.log().some((line) => line.includes('event=request-refused')),
	);
	const {lines} = await explain([
		'q/book/lost',
		'--log',
		logFile(t, site.log()),
	]);
	t.is(lines.length, 3);
	t.regex(lines[0], /request-sent .*backendServer=i-1 number=1 version=1 /);
	t.regex(lines[1], /attempt-failed .*end=lost/);
	t.regex(lines[2], /request-refused .*reason=lost notRun=false/);
});

test('a reader that closes the output early causes no error', async (t) => {
	const many = Array.from({length: 20_000}, () => log[1]);
	const file = logFile(t, many);
	const child = spawn(process.execPath, [cli, 'explain', 'q1', '--log', file]);
	const ended = once(child, 'close');
	child.stdout.once('data', () => {
		child.stdout.destroy();
	});
	const errors = await child.stderr.toArray();
	const [code] = (await ended) as [number];
	t.is(errors.join(''), '');
	t.is(code, 0);
});
