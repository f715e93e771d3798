/** Malformed objects that another writer has put into the platform's store, next to valid ones. */
import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import {sendAnswer, createSite, type Site} from './gateway-site.js';
import {until} from './requests-fixture.js';

const tablesKind = 'kingcuproute-range-tables';

/** Deeper than a recursive JSON writer can go. */
const depth = 100_000;
const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;

/** Kind, name and spec of objects that are deeply nested in fields that the daemon reads. */
const nestedObjects = [
	['servers', 'i-0', `{"addr":${nested},"info":{"service":"plain"}}`],
	['servers', 'i-9', nested],
	['evacuations', 'b', nested],
	['kingcuproute-range-tables', 'other', nested],
	['kingcuproute-keepers', 'other', nested],
	['kingcuproute-daemons', 'other', nested],
	['kingcuproute-key-traffic', 'other', nested],
] as const;

function putObject(
	site: Site,
	[kind, name, spec]: readonly [string, string, string],
) {
	site.store.putText(
		kind,
		name,
		(rev) => `{"metadata":{"name":"${name}","rev":${rev}},"spec":${spec}}`,
	);
}

/** Resolves once requests to both services are answered, and a server added now receives some. */
async function untilServing(site: Site): Promise<void> {
	const key = {'x-kingcuproute-shard-key': '7'};
	await until(async () => (await site.statusOf('/clock/', key)) === 200);
	let isNewServerUsed = false;
	await site.addServer('i-new', 'plain', (req, res, body) => {
		isNewServerUsed = true;
		sendAnswer(req, res, body);
	});
	await until(async () => {
		const status = await site.statusOf('/book/x', {}, 'b');
		return status === 200 && isNewServerUsed;
	});
}

for (const when of ['before the daemon starts', 'while the daemon runs']) {
	test(`deeply nested objects stored ${when} neither stop it nor hide other objects`, async (t) => {
		const site = createSite(t);
		await site.addServer('i-1', 'plain', sendAnswer);
		await site.addServer('k-1', 'keyed', sendAnswer);
		const isBefore = when.startsWith('before');
		if (!isBefore) {
			await site.start();
		}

		for (const object of nestedObjects) {
			putObject(site, object);
		}

		if (isBefore) {
			await site.start();
		}

		await untilServing(site);
		t.is(await site.readinessStatus(), 200);
		for (const object of ['servers/i-0', 'kingcuproute-range-tables/other']) {
			const lines = site
				.log()
				.filter(
					(line) =>
						line.includes('event=object-unreadable') && line.includes(object),
				);
			t.is(lines.length, 1, `lines about ${object}`);
		}
	});
}

test('entries with unusable addresses or ids get no request and no key', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', sendAnswer);
	await site.addServer('k-1', 'keyed', sendAnswer);
	const unusable = [
		['x-1', '127.0.0.1:99999'],
		['x-2', '127.0.0.1/x:80'],
		['x-3', '999.1.1.1:80'],
		['x\n4', '127.0.0.1:1'],
	];
	for (const [name, addr] of unusable) {
		for (const service of ['plain', 'keyed']) {
			const info = {service, version: 'v1', zone: 'a', slots: 3};
			const status = {state: 'ready', seq: 1, coldLeftMs: 0};
			site.store.put('servers', `${name}${service}`, {addr, info}, status);
		}
	}

	await site.start();
	const statusOfKey = async (key: number) =>
		site.statusOf('/clock/', {'x-kingcuproute-shard-key': String(key)});
	await until(async () => (await statusOfKey(0)) === 200);
	const statuses: number[] = [];
	for (let index = 0; index < 16; index++) {
		statuses.push(
			await site.statusOf(`/book/${index}`, {}, 'b'),
			await statusOfKey(index * 4096),
		);
	}

	t.deepEqual(
		statuses.filter((status) => status !== 200),
		[],
	);
});

test('a list that is not JSON is ignored and logged once, and lists are followed again once the object is gone', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', sendAnswer);
	await site.addServer('k-1', 'keyed', sendAnswer);
	await site.start();
	site.store.putText('servers', 'odd', () => '{"metadata"');
	await site.line('event=store-lost');
	t.is(await site.statusOf('/book/x', {}, 'b'), 200);
	site.store.remove('servers', 'odd');
	await untilServing(site);
	const lost = site.log().filter((line) => line.includes('event=store-lost'));
	t.is(lost.length, 1, `lines: ${lost.join('; ')}`);
});

test('an unreadable object is skipped and logged once, in a list and among changes', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', sendAnswer);
	await site.addServer('k-1', 'keyed', sendAnswer);
	site.store.pageLen = 10;
	site.store.putText('servers', 'a-0', () => '7');
	site.store.putText('servers', 'a-1', () => 'null');
	await site.start();
	site.store.putText('servers', 'z', () => '{"metadata":{"name":"z"}}');
	await untilServing(site);
	const unreadableLines = site
		.log()
		.filter((line) => line.includes('objects-unreadable'));
	t.deepEqual(
		unreadableLines.map((line) => /names=(\S+)/.exec(line)?.[1]),
		['?', 'z'],
	);
});

test('a table or a registration of another writer changes neither who owns keys nor what a daemon does', async (t) => {
	const site = createSite(t);
	await site.addServer('k-1', 'keyed', sendAnswer);
	await site.start();
	const statusOfKey = async (key: number) =>
		site.statusOf('/clock/', {'x-kingcuproute-shard-key': String(key)});
	await until(async () => (await statusOfKey(0)) === 200);
	const ranges = [[0, 65_535, 'nobody', 1, 9]];
	const table = {service: 'keyed', nextFence: 10, ranges};
	site.store.put('kingcuproute-range-tables', 'other', table);
	site.store.put('kingcuproute-daemons', 'a-other', 7);
	await site.line('object=kingcuproute-daemons/a-other');
	t.is(await statusOfKey(0), 200);
	t.is(await statusOfKey(65_535), 200);
});

/** Longer than the store takes to report a change. */
const watchDelayMs = 500;
/** Longer than a keeper's lease lasts after its last heartbeat. */
const leaseMs = 5000;

for (const [damage, applyDamage] of [
	[
		'overwritten',
		(site: Site) => {
			site.store.put(tablesKind, 'keyed', 7);
		},
	],
	['removed', (site: Site) => site.store.remove(tablesKind, 'keyed')],
] as const) {
	test(`a key table that is ${damage} by another writer still serves keys, and keys can still move`, async (t) => {
		const site = createSite(t);
		await site.addServer('k-1', 'keyed', sendAnswer);
		await site.start();
		const statusOfKey = async (key: number) =>
			site.statusOf('/clock/', {'x-kingcuproute-shard-key': String(key)});
		await until(async () => (await statusOfKey(0)) === 200);
		applyDamage(site);
		await pause(watchDelayMs);
		t.is(await statusOfKey(0), 200);
		let isSecondUsed = false;
		await site.addServer('k-2', 'keyed', (req, res, body) => {
			isSecondUsed = true;
			sendAnswer(req, res, body);
		});
		await until(async () => {
			const statuses = [await statusOfKey(0), await statusOfKey(65_535)];
			return isSecondUsed && statuses.every((status) => status === 200);
		});
	});
}

test('a keeper whose lease another writer removed takes it again before it expires', async (t) => {
	const site = createSite(t);
	await site.addServer('k-1', 'keyed', sendAnswer);
	await site.start();
	await site.line('event=keeper-took-over');
	site.store.remove('kingcuproute-keepers', 'keyed');
	await site.line('event=beat-failed');
	await pause(leaseMs);
	const lines = site.log();
	t.false(lines.some((line) => line.includes('event=keeper-lost-lease')));
	t.is(lines.filter((line) => line.includes('event=beat-failed')).length, 1);
});
