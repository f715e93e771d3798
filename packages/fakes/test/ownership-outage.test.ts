import test, {type ExecutionContext} from 'ava';
import {Audit} from './ownership/audit.js';
import {
	Scene,
	servedAgainMs,
	sleep,
	type SceneOptions,
} from './ownership/scene.js';

const noticeMs = 1500;
const pauseMs = 1000;

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

test.serial(
	'an owner lost while the store is down is replaced by its standby, and the table keeps the change once the store is back',
	async (t) => {
		const scene = await start(t);
		const {key, slice, server, successor} = await scene.pickServer();
		const {standby, epoch} = (await scene.table())!.rows[slice];
		const audit = startAudit(t, scene);
		await scene.setStoreFaults({outage: true});
		await sleep(noticeMs);
		await server.child.end('SIGKILL');
		const ms = await scene.msUntilServed(key, successor);
		t.log(`served again after ${Math.round(ms)} ms`);
		t.true(ms < servedAgainMs);
		await scene.setStoreFaults({outage: false});
		const isStored = await scene.until(async () => {
			const table = await scene.table();
			const row = table?.rows[slice];
			return row?.owner === standby && row.epoch === epoch + 1;
		});
		t.true(isStored);
		t.true((await scene.msUntilServed(key, successor)) < servedAgainMs);
		t.deepEqual(await audit.finish(), []);
	},
);

test.serial(
	"the standby replaces an owner lost in a store outage although the standby's guardian was paused and replaced by rank",
	async (t) => {
		const scene = await start(t);
		const {key, slice, server, successor} = await scene.pickServer();
		const {rows, guards} = (await scene.table())!;
		const {standby} = rows[slice];
		const paused = scene.daemonById(guards[standby].guardian);
		const audit = startAudit(t, scene);
		await scene.setStoreFaults({outage: true});
		await sleep(noticeMs);
		paused.child.signal('SIGSTOP');
		await sleep(pauseMs);
		paused.child.signal('SIGCONT');
		await sleep(noticeMs);
		const standbyServer = scene.servers.get(standby)!;
		const standbyState = await scene.grants(standbyServer);
		t.is(
			standbyState!.rank,
			1,
			"the guardian's successor has taken over by rank",
		);
		await server.child.end('SIGKILL');
		const ms = await scene.msUntilServed(key, successor);
		t.log(`served again after ${Math.round(ms)} ms`);
		t.true(ms < servedAgainMs);
		await scene.setStoreFaults({outage: false});
		t.true((await scene.msUntilServed(key, successor)) < servedAgainMs);
		t.deepEqual(await audit.finish(), []);
	},
);

test.serial(
	'the successor of a guardian lost while the store is down takes over by rank',
	async (t) => {
		const scene = await start(t);
		const {key, server, guard, guardian, successor} = await scene.pickServer();
		const audit = startAudit(t, scene);
		await scene.setStoreFaults({outage: true});
		await sleep(noticeMs);
		await guardian.child.end('SIGKILL');
		const gap = await scene.longestGapMs(key, successor, 4000);
		t.log(`longest time without an answer ${Math.round(gap)} ms`);
		t.true(gap < servedAgainMs);
		const state = (await scene.grants(server))!;
		t.is(state.rank, 1);
		t.is(state.term, guard.term);
		await scene.setStoreFaults({outage: false});
		const isWritten = await scene.until(async () => {
			const next = await scene.guard(server.name);
			return next.guardian === guard.successor;
		});
		t.true(isWritten);
		t.deepEqual(await audit.finish(), []);
	},
);

test.serial(
	'store answers lost after the write leave one owner and move the slice once',
	async (t) => {
		const scene = await start(t);
		const {key, slice, server, successor} = await scene.pickServer();
		const epoch = await scene.epoch(slice);
		const audit = startAudit(t, scene);
		await scene.setStoreFaults({loseAnswers: true});
		await server.child.end('SIGKILL');
		const ms = await scene.msUntilServed(key, successor);
		t.log(`served again after ${Math.round(ms)} ms`);
		t.true(ms < servedAgainMs);
		await scene.setStoreFaults({loseAnswers: false});
		await sleep(noticeMs);
		t.is(await scene.epoch(slice), epoch + 1);
		t.deepEqual(await audit.finish(), []);
	},
);

test.serial('no lease is lost while the store is slow', async (t) => {
	const scene = await start(t);
	const {key, successor} = await scene.pickServer();
	const audit = startAudit(t, scene);
	await scene.setStoreFaults({delayMs: 800});
	const gap = await scene.longestGapMs(key, successor, 4000);
	t.log(`longest time without an answer ${Math.round(gap)} ms`);
	t.true(gap < servedAgainMs);
	await scene.setStoreFaults({delayMs: 0});
	t.deepEqual(await audit.finish(), []);
});
