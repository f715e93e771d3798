import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {type LinkFaults, type RunningDaemon} from '../src/index.js';
import {Audit} from './ownership/audit.js';
import {
	Scene,
	servedAgainMs,
	sleep,
	type SceneOptions,
} from './ownership/scene.js';

const observeMs = 3000;

async function start(t: ExecutionContext, options?: SceneOptions) {
	const scene = await Scene.start(options);
	t.teardown(async () => scene.stop());
	return scene;
}

function startAudit(t: ExecutionContext, scene: Scene) {
	const audit = new Audit(scene);
	t.teardown(async () => audit.finish());
	return audit;
}

/** The local address of a daemon's connections to servers. */
function addressOf({vm}: RunningDaemon): string {
	return `127.0.0.${11 + Number(vm.slice('vm-'.length))}`;
}

const cuts: ReadonlyArray<readonly [string, Partial<LinkFaults>]> = [
	['towards the server', {silentTo: true}],
	['from the server', {silentFrom: true}],
	['in both directions', {silentTo: true, silentFrom: true}],
	['by a delay after which orders arrive late', {delayToMs: 1500}],
];

for (const [description, faults] of cuts) {
	test.serial(
		`a slice has one owner throughout when the link between guardian and server is cut ${description}`,
		async (t) => {
			const scene = await start(t, {hasServerLinks: true});
			const {key, server, guardian, successor} = await scene.pickServer();
			const audit = startAudit(t, scene);
			const link = scene.links.get(server.name)!;
			link.setFaults({...faults, only: addressOf(guardian)});
			const gap = await scene.longestGapMs(key, successor, observeMs);
			t.log(`longest time without an answer ${Math.round(gap)} ms`);
			t.true(gap < servedAgainMs);
			link.setFaults({});
			await sleep(observeMs);
			t.true((await scene.msUntilServed(key, successor)) < servedAgainMs);
			t.deepEqual(await audit.finish(), []);
		},
	);
}

test.serial(
	'a successor that takes over by rank grants nothing back to a server whose slices moved away during a cut',
	async (t) => {
		const scene = await start(t, {hasServerLinks: true});
		const {key, slice, server, guardian, successor} = await scene.pickServer();
		const audit = startAudit(t, scene);
		const link = scene.links.get(server.name)!;
		link.setFaults({
			silentTo: true,
			silentFrom: true,
			only: addressOf(guardian),
		});
		await sleep(observeMs);
		const {owner} = (await scene.table())!.rows[slice];
		t.not(owner, server.name, 'its slices have moved');
		await scene.setStoreFaults({outage: true});
		await guardian.child.end('SIGKILL');
		const gap = await scene.longestGapMs(key, successor, observeMs);
		t.log(`longest time without an answer ${Math.round(gap)} ms`);
		t.true(gap < servedAgainMs);
		t.deepEqual(await audit.finish(), []);
	},
);

test.serial(
	'a restarted server refuses an order that was under way to its previous run',
	async (t) => {
		const scene = await start(t, {hasServerLinks: true});
		const {key, slice, server, successor} = await scene.pickServer();
		const held = (await scene.grants(server))!;
		const epoch = await scene.epoch(slice);
		const audit = startAudit(t, scene);
		await server.child.end('SIGKILL');
		await scene.restartServer(server);
		const restartedAt = performance.now();
		const staleOrder = {
			guardian: 'vm-0.old',
			term: held.term + 100,
			rank: 0,
			incarnation: held.incarnation,
			seq: 1_000_000,
			validUntil: held.now + 1e9,
			leaseEnd: held.now + 1e9,
			grant: [{slice, epoch}],
			revoke: [],
		};
		const res = await request(`http://${server.address}/grants`, {
			method: 'POST',
			body: JSON.stringify(staleOrder),
		});
		t.is(res.statusCode, 409);
		await res.body.dump();
		const after = await scene.grants(server);
		t.true(after!.leaseEnd < staleOrder.leaseEnd);
		t.true(after!.term < staleOrder.term);
		await scene.msUntilServed(key, successor);
		const ms = performance.now() - restartedAt;
		t.log(`served again ${Math.round(ms)} ms after the restart`);
		t.true(ms < servedAgainMs);
		t.deepEqual(await audit.finish(), []);
	},
);
