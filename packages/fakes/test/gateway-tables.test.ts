import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {keepersKind, rangeTablesKind} from '@kingcuproute/platform';
import {createSite, sendAnswer} from './gateway-site.js';
import {until} from './requests-fixture.js';

const service = 'keyed';
const maxKey = 65_535;
/** The last key of the first of the two ranges. */
const firstTo = 9999;
const beatMs = 500;

test('a change of a range table that closely follows another is read once the former owner of a key declines it', async (t) => {
	const site = createSite(t);
	const holder = {name: 'i-1'};
	for (const name of ['i-1', 'i-2']) {
		await site.addServer(name, service, (req, res, body) => {
			if (name === holder.name) {
				sendAnswer(req, res, body);
			} else {
				const id = String(req.headers['x-kingcuproute-request-id']);
				res.writeHead(421, {'x-kingcuproute-request-id': id});
				res.end();
			}
		});
	}

	// Another daemon is the keeper, so that this one follows the tables.
	let beat = 0;
	const beatOnce = () => {
		beat++;
		site.store.put(keepersKind, service, {vm: 'front-b-1', beat});
	};

	let nextFence = 1;
	const writeTable = (first: string, second: string) => {
		const ranges = [
			[0, firstTo, first, 1, nextFence],
			[firstTo + 1, maxKey, second, 1, nextFence + 1],
		];
		nextFence += 2;
		site.store.put(rangeTablesKind, service, {service, nextFence, ranges});
	};

	beatOnce();
	const beats = setInterval(beatOnce, beatMs);
	t.teardown(() => {
		clearInterval(beats);
	});
	writeTable('i-1', 'i-1');
	await site.start();
	const key = {'x-kingcuproute-shard-key': '7'};
	await until(async () => (await site.statusOf('/clock/', key)) === 200);

	for (let round = 0; round < 3; round++) {
		writeTable(holder.name, round % 2 === 0 ? 'i-2' : 'i-1');
		holder.name = holder.name === 'i-1' ? 'i-2' : 'i-1';
		// Longer than the daemon takes to read the first change.
		await sleep(300);
		writeTable(holder.name, 'i-1');
		const sentAt = performance.now();
		t.is(await site.statusOf('/clock/', key), 200);
		t.true(performance.now() - sentAt < 1000, `round ${round}`);
	}
});

// The copy's older table sent requests to servers that had given the keys away.
test('requests go by the newer table that is known after the store is restored from a copy', async (t) => {
	const site = createSite(t);
	const {store} = site;
	store.era = 1;
	for (const name of ['i-1', 'i-2']) {
		await site.addServer(name, service, (req, res, body) => {
			if (name === 'i-2') {
				sendAnswer(req, res, body);
			} else {
				const id = String(req.headers['x-kingcuproute-request-id']);
				res.writeHead(421, {'x-kingcuproute-request-id': id});
				res.end();
			}
		});
	}

	let beat = 0;
	const beats = setInterval(() => {
		beat++;
		store.put(keepersKind, service, {vm: 'front-b-1', beat});
	}, beatMs);
	t.teardown(() => {
		clearInterval(beats);
	});
	// Written by the keeper, so that nobody writes it again.
	const writeTable = (owner: string, fence: number) => {
		const ranges = [[0, maxKey, owner, 1, fence]];
		const spec = {service, nextFence: fence + 1, ranges, era: 1};
		store.putText(rangeTablesKind, service, (rev) =>
			JSON.stringify({metadata: {name: service, rev}, spec}),
		);
	};

	writeTable('i-1', 1);
	const copy = store.copy();
	writeTable('i-2', 2);
	await site.start();
	const key = {'x-kingcuproute-shard-key': '7'};
	await until(async () => (await site.statusOf('/clock/', key)) === 200);
	store.goAway();
	await sleep(1000);
	store.restore(copy);
	await sleep(2000);
	t.is(await site.statusOf('/clock/', key), 200);
});
