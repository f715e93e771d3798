import test from 'ava';
import {request} from 'undici';
import {
	fetchRuns,
	countRuns,
	send,
	setServerFaults,
	startCluster,
	until,
} from './requests-fixture.js';

for (const answer of [
	'truncated',
	'truncated-chunks',
	'endless',
	'wrong-id',
	'no-id',
] as const) {
	test(`a booking with a ${answer} answer ends as unknown or cut off, and runs once`, async (t) => {
		const {servers, entry} = await startCluster(t, {servers: 2});
		await Promise.all(
			servers.map(async (server) => setServerFaults(server, {answer})),
		);
		const path = `/kaha/${answer}`;
		const sent = send(entry, 'POST', path, {body: 'ten'});
		if (answer === 'truncated-chunks') {
			await t.throwsAsync(sent);
		} else {
			const {status, body, headers} = await sent;
			t.is(status, 502);
			t.is(body.ran, 'unknown');
			t.is(headers['x-kingcup-ran'], 'unknown');
			t.truthy(headers['retry-after']);
		}

		t.is(await countRuns(servers, path), 1);
	});
}

test('a lookup whose answer is truncated gets a complete one from another server', async (t) => {
	const {servers, entry} = await startCluster(t, {servers: 2});
	await setServerFaults(servers[0], {answer: 'truncated'});
	for (let index = 0; index < 10; index++) {
		const {status, body} = await send(entry, 'GET', `/kaha/${index}`);
		t.is(status, 200);
		t.is(body.backendServer, 'kaha-1');
	}
});

test('a doubled answer is never taken for the answer to another request', async (t) => {
	const {servers, entry} = await startCluster(t);
	await setServerFaults(servers[0], {answer: 'doubled'});
	for (let index = 0; index < 20; index++) {
		const res = await request(`http://${entry}/kaha/${index}`, {
			headers: {'x-customer': 'tiktak-haus'},
		});
		const body = (await res.body.json()) as {backendServer?: string};
		t.true(
			res.statusCode === 200
				? body.backendServer === 'kaha-0'
				: res.statusCode === 502,
		);
	}
});

test('a late answer is not awaited past the deadline, and the next request gets its own answer', async (t) => {
	const {servers, entry} = await startCluster(t);
	await setServerFaults(servers[0], {workMs: 600});
	const headers = {'x-kingcup-deadline-ms': '200'};
	const late = await send(entry, 'POST', '/kaha/late', {body: 'a', headers});
	t.is(late.status, 504);
	t.is(late.body.ran, 'unknown');
	await setServerFaults(servers[0], {workMs: 1});
	const next = await send(entry, 'POST', '/kaha/next', {body: 'four'});
	t.is(next.status, 200);
	t.is(next.body.bytes, 4);
	t.is(await countRuns(servers, '/kaha/late'), 1);
});

test('a refusal that is written twice is not taken for the answer of a booking that the server runs', async (t) => {
	const {servers, entry} = await startCluster(t);
	await setServerFaults(servers[0], {shed: true});
	const sent = send(entry, 'POST', '/kaha/again', {body: 'ten'});
	await until(async () => {
		const declined = await fetchRuns(servers[0], 'declined');
		return declined.some(({path}) => path === '/kaha/again');
	});
	await setServerFaults(servers[0], {
		shed: false,
		repeatRefusal: true,
		workMs: 300,
	});
	const {status} = await sent;
	t.is(status, 200);
	t.is(await countRuns(servers, '/kaha/again'), 1);
});
