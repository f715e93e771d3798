import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import test from 'ava';
import {request} from 'undici';
import {
	pause,
	fetchRuns,
	countRuns,
	send,
	setServerFaults,
	startCluster,
	until,
} from './requests-fixture.js';

test('a booking in flight at a crash is answered as unknown and never runs again', async (t) => {
	const {servers, entry} = await startCluster(t, {servers: 3});
	await Promise.all(
		servers.map(async (server) => setServerFaults(server, {crashOn: 'boom'})),
	);
	const {status, body} = await send(entry, 'POST', '/kaha/boom', {body: 'x'});
	t.is(status, 502);
	t.is(body.ran, 'unknown');
	await pause(500);
	const isDown = await Promise.all(
		servers.map(async (server) => {
			try {
				await fetchRuns(server);
				return false;
			} catch {
				return true;
			}
		}),
	);
	t.is(isDown.filter(Boolean).length, 1);
});

test('bookings go to another server while one refuses connections', async (t) => {
	const {servers, entry} = await startCluster(t, {servers: 2});
	await servers[0].child.end('SIGKILL');
	for (let index = 0; index < 10; index++) {
		const path = `/kaha/booking-${index}`;
		const {status, body} = await send(entry, 'POST', path, {body: 'x'});
		t.true(status === 200 || body.ran === 'unknown');
		t.is(await countRuns([servers[1]], path), status === 200 ? 1 : 0);
	}

	const {status} = await send(entry, 'POST', '/kaha/last', {body: 'x'});
	t.is(status, 200);
});

test('a booking that no server accepted is refused as not-run, with a time to retry after', async (t) => {
	const {servers, entry} = await startCluster(t);
	await servers[0].child.end('SIGKILL');
	await pause(100);
	const {status, body, headers} = await send(entry, 'POST', '/kaha/none', {
		body: 'x',
	});
	t.is(status, 503);
	t.is(body.ran, 'not-run');
	t.true(Number(headers['x-kingcup-retry-after-ms']) > 0);
});

test('a booking that one server declines runs once, at another', async (t) => {
	const {servers, entry} = await startCluster(t, {servers: 2});
	await setServerFaults(servers[0], {shed: true});
	for (let index = 0; index < 6; index++) {
		const path = `/kaha/shed-${index}`;
		const {status} = await send(entry, 'POST', path, {body: 'x'});
		t.is(status, 200);
		t.is(await countRuns(servers, path), 1);
	}
});

test('the remaining time is sent to the server, and the request of a caller that disconnects is cancelled there', async (t) => {
	const {servers, entry} = await startCluster(t);
	await setServerFaults(servers[0], {workMs: 3000});
	const abort = new AbortController();
	const sent = request(`http://${entry}/kaha/leave`, {
		method: 'POST',
		headers: {'x-customer': 'tiktak-haus', 'x-kingcup-deadline-ms': '2500'},
		body: 'x',
		signal: abort.signal,
	});
	await until(async () => {
		const count = await countRuns(servers, '/kaha/leave');
		return count === 1;
	});
	abort.abort();
	await t.throwsAsync(sent, {any: true});
	await until(async () => {
		const cancelled = await fetchRuns(servers[0], 'cancelled');
		return cancelled.some(({path}) => path === '/kaha/leave');
	});
	const journal = await fetchRuns(servers[0]);
	const run = journal.find(({path}) => path === '/kaha/leave');
	const {deadlineMs = 0} = run ?? {};
	t.true(deadlineMs <= 2500 && deadlineMs > 1000);
});

test('a long body is streamed completely', async (t) => {
	const {entry} = await startCluster(t, {deadlineMs: 30_000});
	const chunk = Buffer.alloc(65_536, 'p');
	const chunkCount = 320;
	const {status, body} = await send(entry, 'POST', '/kaha/photos', {
		body: Readable.from(Array.from({length: chunkCount}, () => chunk)),
	});
	t.is(status, 200);
	t.is(body.bytes, chunkCount * chunk.length);
});

test('silent connections cost a lookup one share of its deadline, and a booking ends as unknown', async (t) => {
	const {servers, entry, daemons} = await startCluster(t, {deadlineMs: 2000});
	await Promise.all(
		Array.from({length: 5}, async (_, index) =>
			send(entry, 'GET', `/kaha/${index}`),
		),
	);
	await setServerFaults(servers[0], {silenceOpen: true});
	const lookup = await send(entry, 'GET', '/kaha/lookup');
	t.is(lookup.status, 200);
	t.true(
		daemons[0].child.lines.some((line) =>
			line.includes('event=connections-retired'),
		),
	);
	const startedAt = performance.now();
	const next = await send(entry, 'GET', '/kaha/next');
	t.is(next.status, 200);
	t.true(performance.now() - startedAt < 900);
	await setServerFaults(servers[0], {silenceOpen: true});
	const booking = await send(entry, 'POST', '/kaha/booking', {body: 'x'});
	t.true(booking.status === 200 || booking.body.ran === 'unknown');
});
