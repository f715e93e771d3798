import test from 'ava';
import {type RunningServer} from '../src/index.js';
import {
	pause,
	fetchRuns,
	send,
	setServerFaults,
	startCluster,
	until,
} from './requests-fixture.js';

const noticeMs = 2500;
const requestCount = 30;

/** Requests that reached the server, run or not. */
async function receivedCount(server: RunningServer): Promise<number> {
	const lists = await Promise.all([
		fetchRuns(server),
		fetchRuns(server, 'declined'),
		fetchRuns(server, 'cancelled'),
	]);
	return lists.flat().length;
}

test('a server that drains by itself gets no new work after a few seconds, and work again once it is ready', async (t) => {
	const {servers, daemons} = await startCluster(t, {servers: 3, daemons: 2});
	const [leaving] = servers;
	await setServerFaults(leaving, {state: 'draining'});
	await pause(noticeMs);
	const before = await receivedCount(leaving);
	const work = async () => {
		for (let index = 0; index < requestCount; index++) {
			const {entry} = daemons[index % daemons.length];
			const method = index % 3 === 0 ? 'POST' : 'GET';
			const body = method === 'POST' ? 'x' : undefined;
			const {status} = await send(entry, method, `/kaha/w-${index}`, {body});
			t.is(status, 200);
		}
	};

	await work();
	t.is(await receivedCount(leaving), before);
	await setServerFaults(leaving, {state: 'ready'});
	await until(async () => {
		await work();
		return (await receivedCount(leaving)) > before;
	});
});

test('the slices of a server that drains by itself move away, and some come back once it is ready', async (t) => {
	const {deployment, servers, daemons} = await startCluster(t, {
		servers: 3,
		daemons: 3,
		slices: 16,
	});
	const [leaving] = servers;
	const owned = async () => {
		const held = await deployment.objects.get('table', 'kaha');
		const {rows} = held.unsafeCoerce().value!;
		return rows.filter(({owner}) => owner === leaving.name).length;
	};

	t.true((await owned()) > 0);
	await setServerFaults(leaving, {state: 'draining'});
	await until(async () => (await owned()) === 0);
	const before = await receivedCount(leaving);
	for (let index = 0; index < requestCount; index++) {
		const {entry} = daemons[index % daemons.length];
		const headers = {'x-key': `clock-${index}`};
		const {status} = await send(entry, 'POST', '/kaha/b', {body: 'x', headers});
		t.is(status, 200);
	}

	t.is(await receivedCount(leaving), before);
	await setServerFaults(leaving, {state: 'ready'});
	await until(async () => (await owned()) > 0);
});
