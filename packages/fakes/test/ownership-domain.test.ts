import test from 'ava';
import {Audit} from './ownership/audit.js';
import {keyOf, Scene, servedAgainMs, sleep} from './ownership/scene.js';

const sampledSlices = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];
const settleMs = 2000;

test.serial(
	'after a whole failure domain is killed every key is served again, and only the slices of its server move',
	async (t) => {
		const scene = await Scene.start();
		t.teardown(async () => scene.stop());
		const {server} = await scene.pickServer();
		const {failureDomain} = server;
		const before = (await scene.table())!.rows;
		const audit = new Audit(scene);
		t.teardown(async () => audit.finish());
		const daemons = scene.daemons.filter(
			(daemon) => daemon.failureDomain === failureDomain,
		);
		t.is(daemons.length, 1);
		await Promise.all(
			[server, ...daemons].map(async ({child}) => child.end('SIGKILL')),
		);
		const [survivor] = scene.daemonsExcept(...daemons);
		const times = await Promise.all(
			sampledSlices.map(async (slice) =>
				scene.msUntilServed(keyOf(slice), survivor),
			),
		);
		t.log(`all served again after ${Math.round(Math.max(...times))} ms`);
		t.true(Math.max(...times) < servedAgainMs);
		await sleep(settleMs);
		const after = (await scene.table())!.rows;
		for (const [slice, {owner}] of before.entries()) {
			t.is(
				after[slice].owner !== owner,
				owner === server.name,
				`slice ${slice}`,
			);
		}

		t.deepEqual(await audit.finish(), []);
		t.true(audit.booked > 0);
	},
);
