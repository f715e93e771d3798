/** Objects in the platform's store that another writer has left, beside sound ones. */
import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import {sendAnswer, createSite, type Site} from './gateway-site.js';
import {until} from './requests-fixture.js';

const tablesKind = 'kingcuproute-range-tables';

/** Deeper than JSON can be written by recursion. */
const depth = 100_000;
const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;

/** Kind, name and spec of objects that are nested deeply where the daemon reads. */
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

/** Requests to both services are answered, and a server that is added now is heard of. */
async function untilServing(site: Site): Promise<void> {
	const key = {'x-kingcuproute-shard-key': '7'};
	await until(async () => (await site.statusOf('/clock/', key)) === 200);
	let heard = false;
	await site.addServer('i-new', 'plain', (req, res, body) => {
		heard = true;
		sendAnswer(req, res, body);
	});
	await until(async () => {
		const status = await site.statusOf('/book/x', {}, 'b');
		return status === 200 && heard;
	});
}

for (const when of ['before the daemon starts', 'while the daemon runs']) {
	test(`deeply nested objects left ${when} neither end nor blind it`, async (t) => {
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

test('entries with addresses or ids that cannot be used take no request and no key', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', sendAnswer);
	await site.addServer('k-1', 'keyed', sendAnswer);
	const odd = [
		['x-1', '127.0.0.1:99999'],
		['x-2', '127.0.0.1/x:80'],
		['x-3', '999.1.1.1:80'],
		['x\n4', '127.0.0.1:1'],
	];
	for (const [name, addr] of odd) {
		for (const service of ['plain', 'keyed']) {
			const info = {service, version: 'v1', zone: 'a', slots: 3};
			const status = {state: 'ready', seq: 1, coldLeftMs: 0};
			site.store.put('servers', `${name}${service}`, {addr, info}, status);
		}
	}

	await site.start();
	const ask = async (key: number) =>
		site.statusOf('/clock/', {'x-kingcuproute-shard-key': String(key)});
	await until(async () => (await ask(0)) === 200);
	const statuses: number[] = [];
	for (let part = 0; part < 16; part++) {
		statuses.push(
			await site.statusOf(`/book/${part}`, {}, 'b'),
			await ask(part * 4096),
		);
	}

	t.deepEqual(
		statuses.filter((status) => status !== 200),
		[],
	);
});

test('a list that is no JSON is kept out, told of once, and followed again once the object is gone', async (t) => {
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
	t.is(lost.length, 1);
});

test('an object that cannot be read is passed over and told of once, in a list and among changes', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', sendAnswer);
	await site.addServer('k-1', 'keyed', sendAnswer);
	site.store.pageLen = 10;
	site.store.putText('servers', 'a-0', () => '7');
	site.store.putText('servers', 'a-1', () => 'null');
	await site.start();
	site.store.putText('servers', 'z', () => '{"metadata":{"name":"z"}}');
	await untilServing(site);
	const told = site.log().filter((line) => line.includes('objects-unreadable'));
	t.deepEqual(
		told.map((line) => /names=(\S+)/.exec(line)?.[1]),
		['?', 'z'],
	);
});

test("a table or a registration of another writer changes nobody's keys and nobody's part", async (t) => {
	const site = createSite(t);
	await site.addServer('k-1', 'keyed', sendAnswer);
	await site.start();
	const ask = async (key: number) =>
		site.statusOf('/clock/', {'x-kingcuproute-shard-key': String(key)});
	await until(async () => (await ask(0)) === 200);
	const ranges = [[0, 65_535, 'nobody', 1, 9]];
	const table = {service: 'keyed', nextFence: 10, ranges};
	site.store.put('kingcuproute-range-tables', 'other', table);
	site.store.put('kingcuproute-daemons', 'a-other', 7);
	await site.line('object=kingcuproute-daemons/a-other');
	t.is(await ask(0), 200);
	t.is(await ask(65_535), 200);
});

/** Longer than the store takes to tell of a change. */
const newsMs = 500;
/** Longer than a keeper's lease, from its last beat. */
const leaseMs = 5000;

for (const [harm, act] of [
	[
		'overwritten',
		(site: Site) => {
			site.store.put(tablesKind, 'keyed', 7);
		},
	],
	['removed', (site: Site) => site.store.remove(tablesKind, 'keyed')],
] as const) {
	test(`a key table that is ${harm} by another writer serves on, and changes hands again`, async (t) => {
		const site = createSite(t);
		await site.addServer('k-1', 'keyed', sendAnswer);
		await site.start();
		const ask = async (key: number) =>
			site.statusOf('/clock/', {'x-kingcuproute-shard-key': String(key)});
		await until(async () => (await ask(0)) === 200);
		act(site);
		await pause(newsMs);
		t.is(await ask(0), 200);
		let isSecond = false;
		await site.addServer('k-2', 'keyed', (req, res, body) => {
			isSecond = true;
			sendAnswer(req, res, body);
		});
		await until(async () => {
			const statuses = [await ask(0), await ask(65_535)];
			return isSecond && statuses.every((status) => status === 200);
		});
	});
}

test('a keeper whose lease another writer removed takes it again before it ends', async (t) => {
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
