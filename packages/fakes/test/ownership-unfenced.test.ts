import test, {type ExecutionContext} from 'ava';
import {Audit} from './ownership/audit.js';
import {Scene, servedAgainMs, sleep} from './ownership/scene.js';

const observeMs = 3000;
const noticeMs = 1500;

async function start(t: ExecutionContext) {
	const scene = await Scene.start({checksFence: false, hasServerLinks: true});
	t.teardown(async () => scene.stop());
	const audit = new Audit(scene);
	t.teardown(async () => audit.finish());
	return {scene, audit};
}

test.serial('without fences, a killed owner is replaced in time', async (t) => {
	const {scene, audit} = await start(t);
	const {key, server, successor} = await scene.pickServer();
	await server.child.end('SIGKILL');
	const ms = await scene.msUntilServed(key, successor);
	t.log(`served again after ${Math.round(ms)} ms`);
	t.true(ms < servedAgainMs);
	t.deepEqual(await audit.finish(), []);
});

test.serial(
	'without fences, a paused guardian is replaced and gives no orders when it resumes',
	async (t) => {
		const {scene, audit} = await start(t);
		const {key, server, guard, guardian, successor} = await scene.pickServer();
		guardian.child.signal('SIGSTOP');
		const gap = await scene.longestGapMs(key, successor, observeMs);
		guardian.child.signal('SIGCONT');
		await sleep(observeMs);
		t.log(`longest time without an answer ${Math.round(gap)} ms`);
		t.true(gap < servedAgainMs);
		const next = await scene.guard(server.name);
		t.true(next.term > guard.term);
		const state = await scene.grants(server);
		t.is(state!.term, next.term);
		t.deepEqual(await audit.finish(), []);
	},
);

test.serial(
	'without fences, a store outage alone interrupts nothing, and no successor takes over by rank during it',
	async (t) => {
		const {scene, audit} = await start(t);
		const {key, server, guardian, successor} = await scene.pickServer();
		await scene.setStoreFaults({outage: true});
		const gap = await scene.longestGapMs(key, successor, observeMs);
		t.true(gap < servedAgainMs);
		await guardian.child.end('SIGKILL');
		await sleep(noticeMs);
		const state = await scene.grants(server);
		t.is(state!.rank, 0);
		t.true(
			state!.now > state!.leaseEnd,
			'the lease is lost until the store is back',
		);
		await scene.setStoreFaults({outage: false});
		const ms = await scene.msUntilServed(key, successor);
		t.log(`served again ${Math.round(ms)} ms after the store's return`);
		t.not(ms, Infinity);
		t.deepEqual(await audit.finish(), []);
	},
);
