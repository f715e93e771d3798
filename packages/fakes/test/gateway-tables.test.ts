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
