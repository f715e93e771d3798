import test from 'ava';
import {request} from 'undici';
import {
	contractOf,
	addKaha,
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
	'a daemon that starts while the platform is down takes its configuration from its peers and serves, and no change is reverted',
	async (t) => {
		const deployment = await startDeployment(t);
		const daemons = await startFleet(deployment, 4);
		await addKaha(deployment);
		await deployment.createObject(
			'contract',
			'rive-nord',
			contractOf('rive-nord', 50),
		);
		const version = await versionOf(deployment, 'rive-nord');
		await until(async () => {
			const answer = await inForceAt(daemons[0], version);
			return answer.inForce;
		}, inForceLimitMs);
		await setPlatformFaults(deployment, {outage: true});
		await daemons[3].child.end('SIGKILL');
		const seeds = [daemons[0].mesh, daemons[1].mesh];
		const late = await deployment.daemon('vm-4', 'fd-d', {fleet: {seeds}});
		await until(async () => {
			const {statusCode} = await request(`http://${late.operator}/readyz`);
			return statusCode === 200;
		});
		const status = await statusOf(late);
		t.true(status.version >= version);
		const served = await request(`http://${late.entry}/kaha/piece`, {
			headers: {'x-customer': 'rive-nord'},
		});
		t.is(served.statusCode, 200);
		await setPlatformFaults(deployment, {outage: false});
		await until(async () => {
			const answer = await inForceAt(late, version);
			return answer.inForce;
		});
	},
);
