import test from 'ava';
import {
	newIdempotencyKey,
	send,
	setServerFaults,
	setPlatformFaults,
	startCluster,
	until,
	type Cluster,
} from './requests-fixture.js';

type Decision = Readonly<Record<string, unknown>>;

const cliOf =
	({deployment, daemons}: Cluster) =>
	async (...args: readonly string[]) =>
		deployment.runCli(
			...daemons.flatMap(({operator}) => ['--operator', operator]),
			'--output',
			'json',
			...args,
		);

async function decisionsOf(cluster: Cluster, id: string) {
	const {lines} = await cliOf(cluster)('explain', id);
	return (JSON.parse(lines[0]) as {decisions: readonly Decision[]}).decisions;
}

test('a store outage goes as docs/OPERATIONS.md describes', async (t) => {
	const cluster = await startCluster(t, {servers: 2});
	const cli = cliOf(cluster);
	const isUp = async () => {
		const {lines} = await cli('status');
		return (JSON.parse(lines[0]) as {store: {up: boolean}}).store.up;
	};

	const change = cluster.deployment.writeJsonFile('contract.json', {
		customer: 'inventaire',
		services: ['kaha'],
		ratePerSecond: 10,
		burst: 10,
		concurrency: 10,
	});
	t.true(await isUp());
	await setPlatformFaults(cluster, {outage: true});
	await until(async () => !(await isUp()));
	const lookup = await send(cluster.entry, 'GET', '/kaha/a');
	const booking = await send(cluster.entry, 'POST', '/kaha/b', {body: 'x'});
	t.deepEqual([lookup.status, booking.status], [200, 200]);
	const refused = await cli('contract', 'apply', change);
	t.is(refused.code, 5);
	t.true(
		cluster.daemons[0].child.lines.some((line) =>
			line.includes('event=store-down'),
		),
	);
	await setPlatformFaults(cluster, {outage: false});
	await until(isUp);
	const applied = await cli('contract', 'apply', change, '--wait');
	t.is(applied.code, 0);
});

test('a resent booking is traced as docs/OPERATIONS.md describes', async (t) => {
	const cluster = await startCluster(t, {servers: 3, daemons: 2});
	await Promise.all(
		cluster.servers.map(async (server) =>
			setServerFaults(server, {answer: 'truncated'}),
		),
	);
	const headers = {'idempotency-key': newIdempotencyKey()};
	const answers = [];
	for (const {entry} of cluster.daemons) {
		answers.push(
			await send(entry, 'POST', '/kaha/booking', {body: 'x', headers}),
		);
	}

	const ids = answers.map((answer) =>
		String(answer.headers['x-kingcup-request-id']),
	);
	const [first, second] = await Promise.all(
		ids.map(async (id) => decisionsOf(cluster, id)),
	);
	t.is(first.filter(({event}) => event === 'routed').length, 1);
	t.true(
		first.some(({event, ran}) => event === 'refused' && ran === 'unknown'),
	);
	t.is(second.filter(({event}) => event === 'routed').length, 0);
	t.true(
		second.some(
			({event, reason}) => event === 'refused' && reason === 'duplicate',
		),
	);
});
