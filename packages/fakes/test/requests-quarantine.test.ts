import test from 'ava';
import {type RunningServer} from '../src/index.js';
import {
	knowsMembers,
	pause,
	fetchRuns,
	send,
	setServerFaults,
	startCluster,
	until,
} from './requests-fixture.js';

async function crashedCount(
	servers: readonly RunningServer[],
): Promise<number> {
	const up = await Promise.all(
		servers.map(async (server) => {
			try {
				await fetchRuns(server);
				return true;
			} catch {
				return false;
			}
		}),
	);
	return up.filter((isUp) => !isUp).length;
}

test('a booking that crashes servers is stopped after two crashes, whichever daemons its caller resends it through', async (t) => {
	const {servers, daemons} = await startCluster(t, {servers: 5, daemons: 2});
	await Promise.all(
		servers.map(async (server) => setServerFaults(server, {crashOn: 'poison'})),
	);
	const book = async (index: number) =>
		send(daemons[index % 2].entry, 'POST', '/kaha/poison', {body: 'ten'});
	const reasons: unknown[] = [];
	for (let index = 0; index < 8; index++) {
		const {body} = await book(index);
		reasons.push(body.reason);
		await pause(1000);
	}

	t.is(await crashedCount(servers), 2);
	t.deepEqual(reasons.slice(0, 2), ['cut-off', 'cut-off']);
	t.true(reasons.slice(2).every((reason) => reason === 'quarantined'));
	const innocent = await send(daemons[0].entry, 'POST', '/kaha/fine', {
		body: 'ten',
	});
	t.is(innocent.status, 200);
});

for (const {pauseMs, name} of [
	{pauseMs: 1500, name: 'with time to judge the first'},
	{pauseMs: 0, name: 'without a pause'},
]) {
	test(`a resend through a third daemon does not run after two crashes, ${name}`, async (t) => {
		const {servers, daemons} = await startCluster(t, {servers: 5, daemons: 3});
		await until(async () => {
			const known = await Promise.all(
				daemons.map(async (daemon) => knowsMembers(daemon, 3)),
			);
			return known.every(Boolean);
		});
		await Promise.all(
			servers.map(async (server) =>
				setServerFaults(server, {crashOn: 'poison'}),
			),
		);
		const reasons: unknown[] = [];
		for (const [index, {entry}] of daemons.entries()) {
			const {body} = await send(entry, 'POST', '/kaha/poison', {body: 'ten'});
			reasons.push(body.reason);
			await pause(index === 0 ? pauseMs : 0);
		}

		t.deepEqual(reasons, ['cut-off', 'cut-off', 'quarantined']);
		t.is(await crashedCount(servers), 2);
	});
}

test('a lookup that crashes servers is stopped after two crashes, and lookups in flight at the same time are answered', async (t) => {
	const {servers, entry} = await startCluster(t, {
		servers: 5,
		deadlineMs: 5000,
	});
	await Promise.all(
		servers.map(async (server) =>
			setServerFaults(server, {crashOn: 'poison', workMs: 300}),
		),
	);
	const others = Array.from({length: 20}, async (_, index) =>
		send(entry, 'GET', `/kaha/beside-${index}`),
	);
	await pause(100);
	const poison = await send(entry, 'GET', '/kaha/poison');
	t.is(poison.body.ran, 'unknown');
	const answers = await Promise.all(others);
	t.true(answers.every(({status}) => status === 200));
	await pause(1500);
	const again = await send(entry, 'GET', '/kaha/poison');
	t.is(again.body.reason, 'quarantined');
	t.is(again.body.ran, 'not-run');
	for (let index = 0; index < 20; index++) {
		const {status} = await send(entry, 'GET', `/kaha/beside-${index}`);
		t.is(status, 200);
	}

	t.is(await crashedCount(servers), 2);
});
