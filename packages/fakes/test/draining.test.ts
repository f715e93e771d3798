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

/** How many requests reached the server, whether or not they ran. */
async function receivedCount(server: RunningServer): Promise<number> {
	const lists = await Promise.all([
		fetchRuns(server),
		fetchRuns(server, 'declined'),
		fetchRuns(server, 'cancelled'),
	]);
	return lists.flat().length;
}

test('a server that starts to drain by itself gets no new work after a few seconds, and gets work again once it is ready', async (t) => {
	const {servers, daemons} = await startCluster(t, {servers: 3, daemons: 2});
	const [draining] = servers;
	await setServerFaults(draining, {state: 'draining'});
	await pause(noticeMs);
	const before = await receivedCount(draining);
	const sendRequests = async () => {
		for (let index = 0; index < requestCount; index++) {
			const {entry} = daemons[index % daemons.length];
			const method = index % 3 === 0 ? 'POST' : 'GET';
			const body = method === 'POST' ? 'x' : undefined;
			const {status} = await send(entry, method, `/kaha/w-${index}`, {body});
			t.is(status, 200);
		}
	};

	await sendRequests();
	t.is(await receivedCount(draining), before);
	await setServerFaults(draining, {state: 'ready'});
	await until(async () => {
		await sendRequests();
		return (await receivedCount(draining)) > before;
	});
});

test('the slices of a server that starts to drain by itself move away, and some come back once it is ready', async (t) => {
	const {deployment, servers, daemons} = await startCluster(t, {
		servers: 3,
		daemons: 3,
		slices: 16,
	});
	const [draining] = servers;
	const ownedCount = async () => {
		const stored = await deployment.objects.get('table', 'kaha');
		const {rows} = stored.unsafeCoerce().value!;
		return rows.filter(({owner}) => owner === draining.name).length;
	};

	t.true((await ownedCount()) > 0);
	await setServerFaults(draining, {state: 'draining'});
	await until(async () => (await ownedCount()) === 0);
	const before = await receivedCount(draining);
	for (let index = 0; index < requestCount; index++) {
		const {entry} = daemons[index % daemons.length];
		const headers = {'x-key': `clock-${index}`};
		const {status} = await send(entry, 'POST', '/kaha/b', {body: 'x', headers});
		t.is(status, 200);
	}

	t.is(await receivedCount(draining), before);
	await setServerFaults(draining, {state: 'ready'});
	await until(async () => (await ownedCount()) > 0);
});
