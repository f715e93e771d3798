import test, {type ExecutionContext} from 'ava';
import {Audit} from './ownership/audit.js';
import {
	Scene,
	servedAgainMs,
	sleep,
	type SceneOptions,
} from './ownership/scene.js';

const leaseAndMoreMs = 2500;

async function start(t: ExecutionContext, options?: SceneOptions) {
	const scene = await Scene.start(options);
	t.teardown(async () => scene.stop());
	return scene;
}

function watch(t: ExecutionContext, scene: Scene) {
	const audit = new Audit(scene);
	t.teardown(async () => audit.faults());
	return audit;
}

test.serial(
	'a killed owner is replaced in time, and only its slices move',
	async (t) => {
		const scene = await start(t);
		const {key, server, successor} = await scene.pickServer();
		const before = (await scene.table())!;
		const audit = watch(t, scene);
		await server.child.end('SIGKILL');
		const ms = await scene.msUntilServed(key, successor);
		t.log(`served again after ${Math.round(ms)} ms`);
		t.true(ms < servedAgainMs);
		const after = (await scene.table())!;
		for (const [slice, row] of before.rows.entries()) {
			const hasMoved = after.rows[slice].owner !== row.owner;
			t.is(hasMoved, row.owner === server.name);
		}

		t.deepEqual(await audit.faults(), []);
		t.true(audit.booked > 0);
	},
);

test.serial(
	'an owner stopped past its lease refuses when it goes on',
	async (t) => {
		const scene = await start(t);
		const {key, slice, server, successor} = await scene.pickServer();
		const audit = watch(t, scene);
		server.child.signal('SIGSTOP');
		const ms = await scene.msUntilServed(key, successor);
		t.log(`served again after ${Math.round(ms)} ms`);
		t.true(ms < servedAgainMs);
		await sleep(leaseAndMoreMs);
		server.child.signal('SIGCONT');
		await sleep(leaseAndMoreMs);
		const state = (await scene.grants(server))!;
		t.false(state.held.some((grant) => grant.slice === slice));
		t.true(state.now < state.leaseEnd, 'a returned server gets its lease back');
		t.deepEqual(await audit.faults(), []);
	},
);

test.serial(
	'a killed guardian is succeeded before its server notices',
	async (t) => {
		const scene = await start(t);
		const {key, server, guard, guardian, successor} = await scene.pickServer();
		const audit = watch(t, scene);
		await guardian.child.end('SIGKILL');
		const gap = await scene.longestGapMs(key, successor, 4000);
		t.log(`longest time without an answer ${Math.round(gap)} ms`);
		t.true(gap < servedAgainMs);
		const next = await scene.guard(server.name);
		t.true(next.term > guard.term);
		t.not(next.guardian, guard.guardian);
		t.deepEqual(await audit.faults(), []);
	},
);

test.serial(
	'a guardian that was stopped stands down when it goes on',
	async (t) => {
		const scene = await start(t);
		const {key, server, guard, guardian, successor} = await scene.pickServer();
		const audit = watch(t, scene);
		guardian.child.signal('SIGSTOP');
		const gap = await scene.longestGapMs(key, successor, 3000);
		guardian.child.signal('SIGCONT');
		const later = await scene.longestGapMs(key, successor, 2000);
		t.log(
			`longest time without an answer ${Math.round(Math.max(gap, later))} ms`,
		);
		t.true(Math.max(gap, later) < servedAgainMs);
		const next = await scene.guard(server.name);
		t.true(next.term > guard.term);
		t.not(next.guardian, guard.guardian);
		t.deepEqual(await audit.faults(), []);
	},
);

test.serial(
	'a server and its guardian lost together are blocked, said so, and freed by an operator',
	async (t) => {
		const scene = await start(t);
		const {key, server, guard, guardian, successor} = await scene.pickServer();
		const audit = watch(t, scene);
		await Promise.all([
			server.child.end('SIGKILL'),
			guardian.child.end('SIGKILL'),
		]);
		const isBlocked = await scene.until(async () => {
			const {guards} = await scene.status(successor);
			const status = guards.find((each) => each.server === server.name);
			return status?.blocked?.endsWhen.includes('proved gone') ?? false;
		});
		t.true(isBlocked);
		t.is(await scene.msUntilServed(key, successor, 2000), Infinity);
		const {vm} = guardian;
		const asserted = await scene.deployment.cli(
			'vm',
			'gone',
			vm,
			'--run',
			guard.guardian,
			'--yes',
		);
		t.is(asserted.code, 0);
		const ms = await scene.msUntilServed(key, successor);
		t.log(`served again ${Math.round(ms)} ms after the operator's word`);
		t.true(ms < servedAgainMs);
		t.deepEqual(await audit.faults(), []);
	},
);
