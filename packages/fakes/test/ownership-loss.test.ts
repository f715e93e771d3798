import test, {type ExecutionContext} from 'ava';
import {Audit} from './ownership/audit.js';
import {
	Scene,
	servedAgainMs,
	sleep,
	type SceneOptions,
} from './ownership/scene.js';

const pastLeaseMs = 2500;

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
	'a killed owner is replaced in time, and only its slices move',
	async (t) => {
		const scene = await start(t);
		const {key, server, successor} = await scene.pickServer();
		const before = (await scene.table())!;
		const audit = startAudit(t, scene);
		await server.child.end('SIGKILL');
		const ms = await scene.msUntilServed(key, successor);
		t.log(`served again after ${Math.round(ms)} ms`);
		t.true(ms < servedAgainMs);
		const after = (await scene.table())!;
		for (const [slice, row] of before.rows.entries()) {
			const hasMoved = after.rows[slice].owner !== row.owner;
			t.is(hasMoved, row.owner === server.name);
		}

		t.deepEqual(await audit.finish(), []);
		t.true(audit.booked > 0);
	},
);

test.serial(
	'an owner paused until its lease has expired no longer owns its slices when it resumes',
	async (t) => {
		const scene = await start(t);
		const {key, slice, server, successor} = await scene.pickServer();
		const audit = startAudit(t, scene);
		server.child.signal('SIGSTOP');
		const ms = await scene.msUntilServed(key, successor);
		t.log(`served again after ${Math.round(ms)} ms`);
		t.true(ms < servedAgainMs);
		await sleep(pastLeaseMs);
		server.child.signal('SIGCONT');
		await sleep(pastLeaseMs);
		const state = (await scene.grants(server))!;
		t.false(state.held.some((grant) => grant.slice === slice));
		t.true(state.now < state.leaseEnd, 'a returned server gets its lease back');
		t.deepEqual(await audit.finish(), []);
	},
);

test.serial(
	'the successor of a killed guardian takes over in time',
	async (t) => {
		const scene = await start(t);
		const {key, server, guard, guardian, successor} = await scene.pickServer();
		const audit = startAudit(t, scene);
		await guardian.child.end('SIGKILL');
		const gap = await scene.longestGapMs(key, successor, 4000);
		t.log(`longest time without an answer ${Math.round(gap)} ms`);
		t.true(gap < servedAgainMs);
		const next = await scene.guard(server.name);
		t.true(next.term > guard.term);
		t.not(next.guardian, guard.guardian);
		t.deepEqual(await audit.finish(), []);
	},
);

test.serial(
	'a paused guardian that was replaced stands down when it resumes',
	async (t) => {
		const scene = await start(t);
		const {key, server, guard, guardian, successor} = await scene.pickServer();
		const audit = startAudit(t, scene);
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
		t.deepEqual(await audit.finish(), []);
	},
);

test.serial(
	'a server lost together with its guardian is blocked and shown so until an operator declares the VM gone',
	async (t) => {
		const scene = await start(t);
		const {key, server, guard, guardian, successor} = await scene.pickServer();
		const audit = startAudit(t, scene);
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
		const declaredGone = await scene.deployment.runCli(
			'vm',
			'gone',
			vm,
			'--run',
			guard.guardian,
			'--yes',
		);
		t.is(declaredGone.code, 0);
		const ms = await scene.msUntilServed(key, successor);
		t.log(`served again ${Math.round(ms)} ms after the operator's command`);
		t.true(ms < servedAgainMs);
		t.deepEqual(await audit.finish(), []);
	},
);
