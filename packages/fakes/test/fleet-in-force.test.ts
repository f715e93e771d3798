import test from 'ava';
import {request} from 'undici';
import {
	contractOf,
	startDeployment,
	setPlatformFaults,
	startFleet,
	inForceAt,
	inForceLimitMs,
	statusOf,
	until,
	versionOf,
} from './fleet-fixture.js';

test.serial(
	'of two operators who change a contract at the same time one gets a conflict, and a write whose answer is lost comes into force once',
	async (t) => {
		const deployment = await startDeployment(t);
		const daemons = await startFleet(deployment, 3);
		await deployment.createObject(
			'contract',
			'rive-nord',
			contractOf('rive-nord', 50),
		);
		const first = await versionOf(deployment, 'rive-nord');
		const setRate = async (rate: number) =>
			deployment.objects.update(
				'contract',
				'rive-nord',
				first,
				contractOf('rive-nord', rate),
			);
		const results = await Promise.all([setRate(60), setRate(70)]);
		const conflicts = results.filter((each) =>
			each
				.swap()
				.map(({kind}) => kind === 'conflict')
				.orDefault(false),
		);
		t.is(conflicts.length, 1);
		const [succeeded] = results.flatMap((each) => each.toMaybe().toList());
		const second = await versionOf(deployment, 'rive-nord');
		t.is(
			second,
			succeeded.version,
			'nothing was written after the update that succeeded',
		);
		await setPlatformFaults(deployment, {loseAnswers: true});
		const lostAnswer = await deployment.objects.update(
			'contract',
			'rive-nord',
			second,
			contractOf('rive-nord', 80),
		);
		t.is(
			lostAnswer
				.swap()
				.map(({kind}) => kind)
				.orDefault('conflict'),
			'unknown',
		);
		await setPlatformFaults(deployment, {loseAnswers: false});
		const stored = await deployment.objects.get('contract', 'rive-nord');
		const {value, version} = stored.unsafeCoerce();
		t.is(value?.ratePerSecond, 80);
		await until(async () => {
			const answer = await inForceAt(daemons[0], version);
			return answer.inForce;
		}, inForceLimitMs);
	},
);

test.serial(
	'a change comes into force although a relay is killed while it is being written',
	async (t) => {
		const deployment = await startDeployment(t);
		const daemons = await startFleet(deployment, 11);
		const relay = daemons.find(
			({child}) =>
				child.lines.some((line) => line.includes('relay-started')) &&
				!child.lines.some((line) => line.includes('relay-stopped')),
		)!;
		const rest = daemons.filter((each) => each !== relay);
		await deployment.createObject(
			'contract',
			'rive-nord',
			contractOf('rive-nord', 5),
		);
		await relay.child.end('SIGKILL');
		await deployment.createObject(
			'contract',
			'tiktak',
			contractOf('tiktak', 5),
		);
		const version = await versionOf(deployment, 'tiktak');
		await until(async () => {
			const all = await Promise.all(rest.map(async (each) => statusOf(each)));
			return all.every((status) => status.version >= version);
		}, inForceLimitMs);
		await until(async () => {
			const {lagging} = await inForceAt(rest[0], version);
			return lagging.every((id) => id.startsWith(`${relay.vm}.`));
		});
		await request(`${deployment.origin}/v1/vms/${relay.vm}`, {
			method: 'DELETE',
		});
		await until(async () => {
			const answer = await inForceAt(rest[0], version);
			return answer.inForce;
		});
		t.pass();
	},
);
