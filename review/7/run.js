/**
 * The store comes back from a copy some seconds old. A daemon that is added afterwards
 * grants keys by the old table, with fences that other servers have had, while these
 * servers still hold the keys.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Backend} from '../stand-ins-2/backend.js';
import {
	desiredState,
	hasTrouble,
	pause,
	runCase,
	send,
	until,
} from '../stand-ins-2/case.js';
import {Daemon} from '../stand-ins-2/daemon.js';
import {KeyJudge} from '../stand-ins-2/key-judge.js';
import {Store} from '../stand-ins-2/store.js';

const folder = path.dirname(fileURLToPath(import.meta.url));
const service = 'ticket-desk';
const keyCount = 65_536;
/** The store is away for this long. */
const awayMs = 1000;
/** Until all daemons know each other, and follow the lease of the keeper closely. */
const settleMs = 15_000;
/** From the copy to the change that is lost with it. */
const copyAgeMs = 1000;
const watchedMs = 12_000;

await runCase(folder, async ({temporary, record, now, own}) => {
	const store = own(new Store());
	store.record = record;
	await store.start();
	const kinds = {'/status/': 'safe', '/deposit/': 'unsafe'};
	store.put('config', 'main', {
		spec: desiredState(service, kinds, {sharded: true}),
	});
	const servers = [];
	const judge = new KeyJudge(servers, {now, record});
	const addServer = async (id, zone) => {
		const server = own(new Backend(id, {service, zone}));
		server.record = record;
		server.onGrant = (grant) => judge.granted(grant);
		server.onRun = ({id: request, key}) => {
			record(`${server.id} runs ${request}, key ${key}`);
		};

		await server.start();
		servers.push(server);
		store.put('servers', id, server.entry());
		return server;
	};

	await addServer('i-1', 'luzon-b');
	await addServer('i-2', 'luzon-c');
	await addServer('i-3', 'luzon-d');
	const daemons = [];
	const addDaemon = async (zone) => {
		const name = `front-${zone}-1`;
		const daemon = own(
			new Daemon(name, zone, {folder: temporary, store: store.address}),
		);
		await daemon.start();
		record(`${name} is started`);
		await until(`${name} is ready`, async () => daemon.isReady());
		daemons.push(daemon);
	};

	await Promise.all(
		['luzon-b', 'luzon-c', 'luzon-d'].map(async (zone) => addDaemon(zone)),
	);
	const heldCount = () =>
		servers.reduce((sum, server) => sum + server.heldCount(), 0);
	await until('all keys are held', async () => heldCount() === keyCount);
	const counts = new Map();
	const traffic = setInterval(async () => {
		judge.sent++;
		const number = judge.sent;
		const key = (number * 2_654_435_761) % keyCount;
		const method = number % 3 === 0 ? 'POST' : 'GET';
		const target =
			method === 'POST' ? `/deposit/${number}` : `/status/${number}`;
		const {port} = daemons[number % daemons.length];
		const id = `q${number}`;
		const {status} = await send(port, {method, target, id, key});
		record(`client ${id} ${method} key ${key}: ${status}`);
		counts.set(status, (counts.get(status) ?? 0) + 1);
	}, 40);
	const sampling = setInterval(() => judge.sample(), 50);
	await pause(settleMs);
	const copy = store.copy();
	record(`a copy of the store is made, revision ${copy.revision}`);
	await pause(copyAgeMs);
	const added = await addServer('i-4', 'luzon-a');
	await until('the new server holds keys', async () => added.heldCount() > 0);
	await pause(1500);
	record(`i-4 holds ${added.heldCount()} keys`);
	if (hasTrouble) {
		record('the store goes away');
		store.goAway();
		await pause(awayMs);
		store.comeBackFrom(copy);
		record('the store is back, from the copy');
	} else {
		await pause(awayMs);
	}

	await addDaemon('luzon-a');
	await pause(watchedMs);
	clearInterval(traffic);
	clearInterval(sampling);
	record(`answers: ${JSON.stringify([...counts])}`);
	for (const daemon of daemons) {
		const lines = daemon.log.join('').split('\n');
		for (const line of lines
			.filter((text) => /keeper-|table-not/.test(text))
			.slice(0, 10)) {
			record(`log ${line.slice(0, 200)}`);
		}
	}

	return judge.broken;
});
