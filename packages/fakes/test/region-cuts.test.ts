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
	wronglyRunPaths,
	SteadyCallers,
	type Errand,
} from './steady-callers.js';

const maxGapMs = 2000;
const inForceLimitMs = 3000;
const returnTimeoutMs = 10_000;
const cutMs = 5000;
const pollMs = 100;

/** Bookings with an idempotency key. Their record may lie on the other side of the cut; then they must not run. */
const bookingWithKey = 'booking once';

const errands: readonly Errand[] = [
	{name: 'lookup', method: 'GET', path: '/kaha/status'},
	{name: 'booking', method: 'POST', path: '/kaha/deposit'},
	{name: bookingWithKey, method: 'POST', path: '/kaha/order', once: true},
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

/** Records every case of a daemon whose version in force is lower than one it had before. */
function watchVersions(t: ExecutionContext, scene: Scene) {
	const reverts: string[] = [];
	const stopping = new AbortController();
	const watch = async (daemon: RunningDaemon) => {
		let highest = 0;
		while (!stopping.signal.aborted) {
			const {version} = await statusOf(daemon);
			if (version < highest) {
				reverts.push(`${daemon.vm}: ${highest} to ${version}`);
			}

			highest = Math.max(highest, version);
			await sleep(pollMs);
		}
	};

	const watches = scene.daemons.map(async (daemon) => watch(daemon));
	const stop = async () => {
		stopping.abort();
		await Promise.all(watches);
		return reverts;
	};

	t.teardown(stop);
	return stop;
}

async function start(t: ExecutionContext) {
	const scene = await Scene.start({hasMeshLinks: true, hasStoreLink: true});
	t.teardown(async () => scene.stop());
	await scene.addUnkeyedServers(2);
	const balancer = new ReadyDaemons(() => scene.daemons);
	t.teardown(async () => balancer.stop());
	const callers = new SteadyCallers(errands, balancer);
	t.teardown(async () => callers.stop());
	const audit = new Audit(scene);
	t.teardown(async () => audit.finish());
	return {scene, callers, audit, stopVersionWatch: watchVersions(t, scene)};
}

/** Changes a contract as an operator does; returns the new version. */
async function changeContract({deployment}: Scene): Promise<number> {
	const {objects} = deployment;
	const stored = await objects.get('contract', 'tiktak-haus');
	const {version, value} = stored.unsafeCoerce();
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
			const {scene, callers, audit, stopVersionWatch} = await start(t);
			const near = scene.daemons.slice(0, 2);
			const far = scene.daemons.slice(2);
			scene.mesh.cut(...cutsBetween(near, far));
			if (isStoreDown) {
				scene.storeLink.setFaults({holdTo: true, holdFrom: true});
			}

			const isDoubted = await scene.until(async () => {
				const {doubted} = await statusOf(near[0]);
				return doubted.length === far.length;
			});
			t.true(isDoubted, 'the cut was noticed');
			const version = await changeContract(scene);
			await sleep(cutMs);
			if (isStoreDown) {
				const behind = await statusOf(far[0]);
				t.true(behind.version < version, 'the change is not across the cut');
				await scene.setStoreFaults({outage: true});
			}

			scene.mesh.cut();
			const cutEndedAt = performance.now();
			const isInForce = await scene.until(async () => {
				const all = await Promise.all(
					scene.daemons.map(async (daemon) => statusOf(daemon)),
				);
				return all.every((status) => status.version >= version);
			}, inForceLimitMs);
			t.log(
				`in force ${Math.round(performance.now() - cutEndedAt)} ms after the cut`,
			);
			t.true(isInForce, 'the change is in force');
			const areAllBack = await scene.until(async () => {
				const all = await Promise.all(
					scene.daemons.map(async (daemon) => statusOf(daemon)),
				);
				return all.every(
					({members, doubted}) =>
						members.length === scene.daemons.length && doubted.length === 0,
				);
			}, returnTimeoutMs);
			t.log(
				`all back ${Math.round(performance.now() - cutEndedAt)} ms after the cut`,
			);
			t.true(areAllBack, 'all are back');
			await scene.setStoreFaults({outage: false});
			scene.storeLink.setFaults();
			await sleep(maxGapMs);
			const ended = await callers.stop();
			const withoutKey = ended.filter(({errand}) => errand !== bookingWithKey);
			const gaps = longestGaps(withoutKey);
			const refused = failures(ended);
			t.log(
				`${ended.length} requests, longest time between two answers ${Math.round(Math.max(...gaps.values()))} ms; ${refused.join(', ')}`,
			);
			t.deepEqual(failures(withoutKey), [], 'no request is lost');
			t.true(
				refused.every((failure) => /no-key-holder|unproved/.test(failure)),
				'a booking with an idempotency key is refused only because its record is out of reach',
			);
			for (const [name, ms] of gaps) {
				t.true(ms < maxGapMs, `${name}: ${ms} ms`);
			}

			const servers = [...scene.servers.values(), ...scene.unkeyed];
			t.deepEqual(await wronglyRunPaths(ended, servers), [], 'each ran once');
			t.deepEqual(await stopVersionWatch(), [], 'no version goes back');
			t.deepEqual(await audit.finish(), [], 'each slice has one owner');
		},
	);
}
