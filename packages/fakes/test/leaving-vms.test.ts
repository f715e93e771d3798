import test from 'ava';
import {request} from 'undici';
import {type RunningDaemon} from '../src/index.js';
import {Audit} from './ownership/audit.js';
import {keyOf, Scene, servedAgainMs, slices} from './ownership/scene.js';

const watchMs = 2000;
const handOverMs = 20_000;

async function list(
	{deployment}: Scene,
	{vm, failureDomain, mesh}: RunningDaemon,
	state: 'live' | 'leaving',
): Promise<void> {
	await deployment.listVm({vm, failureDomain, address: mesh, state});
}

/** Whether a run on the VM guards, succeeds a guardian, or holds or succeeds a holder of key parts. */
async function hasDuties(scene: Scene, {vm}: RunningDaemon): Promise<boolean> {
	const table = await scene.table();
	const keys = await scene.deployment.objects.get('key-table', 'fleet');
	const {rows} = keys.unsafeCoerce().value!;
	const ids = [
		...Object.values(table!.guards).flatMap((guard) => [
			guard.guardian,
			guard.successor,
		]),
		...rows.flatMap(({holder, successor}) => [holder, successor]),
	];
	return ids.some((id) => id.startsWith(`${vm}.`));
}

async function reasons(
	{deployment}: Scene,
	{operator}: RunningDaemon,
): Promise<readonly unknown[]> {
	const {lines} = await deployment.cli(
		'status',
		'--operator',
		operator,
		'--output',
		'json',
	);
	return (JSON.parse(lines.join('\n')) as {withoutDuties: readonly unknown[]})
		.withoutDuties;
}

test('a VM listed as leaving hands its duties on and serves callers; too many are not heeded', async (t) => {
	const scene = await Scene.start();
	t.teardown(async () => scene.stop());
	const {guardian} = await scene.pickServer();
	const [other] = scene.daemonsExcept(guardian);
	t.true(await hasDuties(scene, guardian));
	const audit = new Audit(scene);
	t.teardown(async () => audit.faults());
	const {vm} = guardian;
	await list(scene, guardian, 'leaving');
	const isFree = async () => !(await hasDuties(scene, guardian));
	t.true(await scene.until(isFree, handOverMs), 'its duties are handed on');
	t.deepEqual(await reasons(scene, other), [
		{vm, reason: 'VM listed as leaving'},
	]);
	const gaps = Array.from({length: slices}, async (_, slice) =>
		scene.longestGapMs(keyOf(slice), guardian, watchMs),
	);
	t.true(Math.max(...(await Promise.all(gaps))) < servedAgainMs);
	const {statusCode} = await request(`http://${guardian.operator}/readyz`);
	t.is(statusCode, 200);

	for (const daemon of scene.daemons) {
		await list(scene, daemon, 'leaving');
	}

	const areUnheeded = async () => {
		const found = await reasons(scene, other);
		return (
			found.length === scene.daemons.length &&
			found.every((each) => JSON.stringify(each).includes('not heeded'))
		);
	};

	t.true(await scene.until(areUnheeded, handOverMs), 'too many are leaving');
	t.true(await scene.isServed(keyOf(0), other));
	for (const daemon of scene.daemons) {
		await list(scene, daemon, 'live');
	}

	const isOver = async () => {
		const found = await reasons(scene, other);
		return found.length === 0;
	};

	t.true(await scene.until(isOver, handOverMs), 'the word is taken back');
	const isBack = async () => hasDuties(scene, guardian);
	t.true(await scene.until(isBack, handOverMs), 'it has duties again');
	t.deepEqual(await audit.faults(), []);
});
