import test from 'ava';
import {request} from 'undici';
import {type RunningDaemon} from '../src/index.js';
import {Audit} from './ownership/audit.js';
import {keyOf, Scene, servedAgainMs, slices} from './ownership/scene.js';

const observeMs = 2000;
const handoverTimeoutMs = 20_000;

async function listVm(
	{deployment}: Scene,
	{vm, failureDomain, mesh}: RunningDaemon,
	state: 'live' | 'leaving',
): Promise<void> {
	await deployment.listVm({vm, failureDomain, address: mesh, state});
}

/** Whether a run on the VM is guardian or successor of a server, or holder or successor of a part of the key table. */
async function hasDuties(scene: Scene, {vm}: RunningDaemon): Promise<boolean> {
	const table = await scene.table();
	const keyTable = await scene.deployment.objects.get('key-table', 'fleet');
	const {rows} = keyTable.unsafeCoerce().value!;
	const ids = [
		...Object.values(table!.guards).flatMap((guard) => [
			guard.guardian,
			guard.successor,
		]),
		...rows.flatMap(({holder, successor}) => [holder, successor]),
	];
	return ids.some((id) => id.startsWith(`${vm}.`));
}

/** The daemons without duties and the reasons, as the command line shows them. */
async function daemonsWithoutDuties(
	{deployment}: Scene,
	{operator}: RunningDaemon,
): Promise<readonly unknown[]> {
	const {lines} = await deployment.runCli(
		'status',
		'--operator',
		operator,
		'--output',
		'json',
	);
	return (JSON.parse(lines.join('\n')) as {withoutDuties: readonly unknown[]})
		.withoutDuties;
}

test('a VM listed as leaving hands over its duties and still serves callers; the listing is ignored when too many VMs are leaving', async (t) => {
	const scene = await Scene.start();
	t.teardown(async () => scene.stop());
	const {guardian} = await scene.pickServer();
	const [other] = scene.daemonsExcept(guardian);
	t.true(await hasDuties(scene, guardian));
	const audit = new Audit(scene);
	t.teardown(async () => audit.finish());
	const {vm} = guardian;
	await listVm(scene, guardian, 'leaving');
	const hasHandedOver = async () => !(await hasDuties(scene, guardian));
	t.true(
		await scene.until(hasHandedOver, handoverTimeoutMs),
		'its duties are handed over',
	);
	t.deepEqual(await daemonsWithoutDuties(scene, other), [
		{vm, reason: 'VM listed as leaving'},
	]);
	const gaps = Array.from({length: slices}, async (_, slice) =>
		scene.longestGapMs(keyOf(slice), guardian, observeMs),
	);
	t.true(Math.max(...(await Promise.all(gaps))) < servedAgainMs);
	const {statusCode} = await request(`http://${guardian.operator}/readyz`);
	t.is(statusCode, 200);

	for (const daemon of scene.daemons) {
		await listVm(scene, daemon, 'leaving');
	}

	const areIgnored = async () => {
		const listed = await daemonsWithoutDuties(scene, other);
		return (
			listed.length === scene.daemons.length &&
			listed.every((each) => JSON.stringify(each).includes('not heeded'))
		);
	};

	t.true(
		await scene.until(areIgnored, handoverTimeoutMs),
		'the listing of too many VMs as leaving is ignored',
	);
	t.true(await scene.isServed(keyOf(0), other));
	for (const daemon of scene.daemons) {
		await listVm(scene, daemon, 'live');
	}

	const isNoneLeaving = async () => {
		const listed = await daemonsWithoutDuties(scene, other);
		return listed.length === 0;
	};

	t.true(
		await scene.until(isNoneLeaving, handoverTimeoutMs),
		'no VM is leaving any more',
	);
	const hasDutiesAgain = async () => hasDuties(scene, guardian);
	t.true(
		await scene.until(hasDutiesAgain, handoverTimeoutMs),
		'it has duties again',
	);
	t.deepEqual(await audit.finish(), []);
});
