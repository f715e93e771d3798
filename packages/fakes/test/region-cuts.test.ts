import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {type RunningDaemon} from '../src/index.js';
import {Audit} from './ownership/audit.js';
import {cutsBetween} from './ownership/mesh-links.js';
import {keyOf, Scene, slices, sleep} from './ownership/scene.js';
import {ReadyDaemons} from './ready-daemons.js';
import {
	failures,
	longestGaps,
	misrun,
	SteadyCallers,
	type Errand,
} from './steady-callers.js';

const unservedMs = 2000;
const inForceMs = 3000;
const returnMs = 10_000;
const cutMs = 5000;
const pollMs = 100;

/** Bookings with an idempotency key: the record may be across the cut, and then they must not run. */
const once = 'booking once';

const errands: readonly Errand[] = [
	{name: 'lookup', method: 'GET', path: '/kaha/status'},
	{name: 'booking', method: 'POST', path: '/kaha/deposit'},
	{name: once, method: 'POST', path: '/kaha/order', once: true},
	...Array.from({length: slices}, (_, slice): Errand => ({
		name: `lookup of slice ${slice}`,
		method: 'GET',
		path: '/ticket-desk/repair',
		key: keyOf(slice),
	})),
];

type Status = {
	readonly version: number;
	readonly members: readonly unknown[];
	readonly doubted: readonly string[];
};

async function statusOf({operator}: RunningDaemon): Promise<Status> {
	const res = await request(`http://${operator}/status`);
	return (await res.body.json()) as Status;
}

/** Notes every version in force that is lower than one that the same daemon had before. */
function watchVersions(t: ExecutionContext, scene: Scene) {
	const reverts: string[] = [];
	const over = new AbortController();
	const watch = async (daemon: RunningDaemon) => {
		let highest = 0;
		while (!over.signal.aborted) {
			const {version} = await statusOf(daemon);
			if (version < highest) {
				reverts.push(`${daemon.vm}: ${highest} to ${version}`);
			}

			highest = Math.max(highest, version);
			await sleep(pollMs);
		}
	};

	const watches = scene.daemons.map(async (daemon) => watch(daemon));
	const end = async () => {
		over.abort();
		await Promise.all(watches);
		return reverts;
	};

	t.teardown(end);
	return end;
}

async function start(t: ExecutionContext) {
	const scene = await Scene.start({hasMeshLinks: true, hasStoreLink: true});
	t.teardown(async () => scene.stop());
	await scene.addUnkeyed(2);
	const balancer = new ReadyDaemons(() => scene.daemons);
	t.teardown(async () => balancer.stop());
	const callers = new SteadyCallers(errands, balancer);
	t.teardown(async () => callers.stop());
	const audit = new Audit(scene);
	t.teardown(async () => audit.faults());
	return {scene, callers, audit, versions: watchVersions(t, scene)};
}

/** Has an operator change a contract; gives the version. */
async function accept({deployment}: Scene): Promise<number> {
	const {objects} = deployment;
	const held = await objects.get('contract', 'tiktak-haus');
	const {version, value} = held.unsafeCoerce();
	const changed = await objects.update('contract', 'tiktak-haus', version, {
		...value!,
		weight: 2,
	});
	return changed.unsafeCoerce().version;
}

for (const isStoreDown of [false, true]) {
	test.serial(
		`regions cut from each other ${isStoreDown ? 'and from a store that goes down' : 'with the store up'} lose no request, and agree again`,
		async (t) => {
			const {scene, callers, audit, versions} = await start(t);
			const near = scene.daemons.slice(0, 2);
			const far = scene.daemons.slice(2);
			scene.mesh.cut(...cutsBetween(near, far));
			if (isStoreDown) {
				scene.storeLink.fail({holdTo: true, holdFrom: true});
			}

			const isDoubted = await scene.until(async () => {
				const {doubted} = await statusOf(near[0]);
				return doubted.length === far.length;
			});
			t.true(isDoubted, 'the cut was noticed');
			const version = await accept(scene);
			await sleep(cutMs);
			if (isStoreDown) {
				const behind = await statusOf(far[0]);
				t.true(behind.version < version, 'the change is not across the cut');
				await scene.setStoreFaults({outage: true});
			}

			scene.mesh.cut();
			const mendedAt = performance.now();
			const isInForce = await scene.until(async () => {
				const all = await Promise.all(
					scene.daemons.map(async (daemon) => statusOf(daemon)),
				);
				return all.every((status) => status.version >= version);
			}, inForceMs);
			t.log(
				`in force ${Math.round(performance.now() - mendedAt)} ms after the cut`,
			);
			t.true(isInForce, 'the change is in force');
			const isBack = await scene.until(async () => {
				const all = await Promise.all(
					scene.daemons.map(async (daemon) => statusOf(daemon)),
				);
				return all.every(
					({members, doubted}) =>
						members.length === scene.daemons.length && doubted.length === 0,
				);
			}, returnMs);
			t.log(
				`all back ${Math.round(performance.now() - mendedAt)} ms after the cut`,
			);
			t.true(isBack, 'all are back');
			await scene.setStoreFaults({outage: false});
			scene.storeLink.fail();
			await sleep(unservedMs);
			const ended = await callers.stop();
			const others = ended.filter(({errand}) => errand !== once);
			const gaps = longestGaps(others);
			const refused = failures(ended);
			t.log(
				`${ended.length} requests, longest time between two answers ${Math.round(Math.max(...gaps.values()))} ms; ${refused.join(', ')}`,
			);
			t.deepEqual(failures(others), [], 'no request is lost');
			t.true(
				refused.every((what) => /no-key-holder|unproved/.test(what)),
				'a booking with an idempotency key is refused only for its record',
			);
			for (const [name, ms] of gaps) {
				t.true(ms < unservedMs, `${name}: ${ms} ms`);
			}

			const servers = [...scene.servers.values(), ...scene.unkeyed];
			t.deepEqual(await misrun(ended, servers), [], 'each ran once');
			t.deepEqual(await versions(), [], 'no version goes back');
			t.deepEqual(await audit.faults(), [], 'each slice has one owner');
		},
	);
}
