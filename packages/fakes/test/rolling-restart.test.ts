import test from 'ava';
import {Audit} from './ownership/audit.js';
import {keyOf, Scene, slices} from './ownership/scene.js';
import {ReadyDaemons} from './ready-daemons.js';
import {until} from './requests-fixture.js';
import {
	failures,
	longestGaps,
	wronglyRunPaths,
	SteadyCallers,
	type Errand,
} from './steady-callers.js';

const maxGapMs = 2000;

const errands: readonly Errand[] = [
	{name: 'lookup', method: 'GET', path: '/kaha/status'},
	{name: 'booking', method: 'POST', path: '/kaha/deposit'},
	{name: 'booking once', method: 'POST', path: '/kaha/order', once: true},
	{
		name: 'keyed booking',
		method: 'POST',
		path: '/ticket-desk/deposit',
		key: keyOf(1),
	},
	...Array.from({length: slices}, (_, slice): Errand => ({
		name: `lookup of slice ${slice}`,
		method: 'GET',
		path: '/ticket-desk/repair',
		key: keyOf(slice),
	})),
];

test('daemons restarted one after another under load cut off and refuse nothing, and no key goes unserved', async (t) => {
	const scene = await Scene.start();
	t.teardown(async () => scene.stop());
	await scene.addUnkeyedServers(2);
	const audit = new Audit(scene);
	t.teardown(async () => audit.finish());
	const balancer = new ReadyDaemons(() => scene.daemons);
	t.teardown(async () => balancer.stop());
	const callers = new SteadyCallers(errands, balancer);
	t.teardown(async () => callers.stop());
	for (const index of scene.daemons.keys()) {
		t.is(await scene.restartDaemon(index), 0);
		const {entry} = scene.daemons[index];
		await until(async () => balancer.has(entry));
	}

	const ended = await callers.stop();
	const gaps = longestGaps(ended);
	t.log(`${ended.length} requests, longest time between two answers of`);
	t.log(
		[...gaps].map(([name, ms]) => `${name} ${Math.round(ms)} ms`).join(', '),
	);
	t.deepEqual(failures(ended), []);
	for (const [name, ms] of gaps) {
		t.true(ms < maxGapMs, `${name}: ${ms} ms`);
	}

	t.deepEqual(await audit.finish(), []);
	const servers = [...scene.servers.values(), ...scene.unkeyed];
	t.deepEqual(await wronglyRunPaths(ended, servers), []);
});
