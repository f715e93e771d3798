import test from 'ava';
import {
	contractOf,
	startDeployment,
	startFleet,
	inForceAt,
	inForceLimitMs,
	getJson,
	sleep,
	statusOf,
	until,
	versionOf,
} from './fleet-fixture.js';

test.serial(
	'eleven daemons know each other; a killed daemon is removed, a paused one comes back when it resumes',
	async (t) => {
		const deployment = await startDeployment(t);
		const [first, second, ...rest] = await startFleet(deployment, 11);
		await first.child.end('SIGKILL');
		await until(async () => {
			const all = await Promise.all(rest.map(async (each) => statusOf(each)));
			return all.every(({members}) => members.length === 10);
		});
		second.child.signal('SIGSTOP');
		await until(async () => {
			const all = await Promise.all(rest.map(async (each) => statusOf(each)));
			return all.every(({members}) => members.length === 9);
		});
		const {lagging} = await inForceAt(rest[0], 1);
		t.true(lagging.some((id) => id.startsWith('vm-2.')));
		second.child.signal('SIGCONT');
		await until(async () => {
			const all = await Promise.all(
				[second, ...rest].map(async (each) => statusOf(each)),
			);
			return all.every(({members}) => members.length === 10);
		});
		t.pass();
	},
);

test.serial(
	'eleven idle daemons stay within the budget of calls to the platform, and a change comes into force everywhere',
	async (t) => {
		const deployment = await startDeployment(t);
		const daemons = await startFleet(deployment, 11);
		await sleep(1500);
		type Calls = {reads: number; writes: number; watches: number};
		const before = await getJson<Calls>(`${deployment.origin}/calls`);
		await sleep(4000);
		const after = await getJson<Calls>(`${deployment.origin}/calls`);
		const perSecond =
			(after.reads + after.watches - before.reads - before.watches) / 4;
		// Eight relays read the list of VMs about once a second.
		t.true(perSecond <= 12, `${perSecond} calls a second`);
		t.is(after.writes, before.writes);
		await deployment.createObject(
			'contract',
			'rive-nord',
			contractOf('rive-nord', 5),
		);
		const version = await versionOf(deployment, 'rive-nord');
		await until(async () => {
			const answer = await inForceAt(daemons[10], version);
			return answer.inForce;
		}, inForceLimitMs);
		const all = await Promise.all(daemons.map(async (each) => statusOf(each)));
		t.true(all.every((status) => status.version >= version));
	},
);
