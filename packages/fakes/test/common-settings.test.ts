import test from 'ava';
import {Deployment} from '../src/index.js';

const shorterLease = {ownership: {leaseMs: 800}};

test("a daemon with a lease duration other than the fleet's is refused, and the duration can be changed after the whole fleet has stopped", async (t) => {
	const deployment = await Deployment.start();
	t.teardown(async () => deployment.stop());
	await deployment.createObject('vm', 'vm-1', {vm: 'vm-1', out: false});
	const first = await deployment.daemon('vm-1', 'fd-a');
	await first.child.line('event=common-settings-written');
	const {code, errorLines} = await deployment.refusedDaemon(
		'vm-2',
		'fd-b',
		shorterLease,
	);
	t.is(code, 2);
	t.deepEqual(
		errorLines.filter((line) => line.includes('leaseMs')),
		['ownership.leaseMs: must be 1000 as in the rest of the fleet, found 800'],
	);
	const matching = await deployment.daemon('vm-3', 'fd-c');
	const shown = await deployment.runCli('settings', 'show');
	t.true(shown.lines.some((line) => /ownership\.leaseMs +1000 ms/.test(line)));
	await Promise.all([first.child.end(), matching.child.end()]);
	const unconfirmed = await deployment.runCli('settings', 'forget');
	t.is(unconfirmed.code, 2);
	const forgotten = await deployment.runCli('settings', 'forget', '--yes');
	t.is(forgotten.code, 0);
	const changed = await deployment.daemon('vm-1', 'fd-a', shorterLease);
	await changed.child.line('event=common-settings-written');
	const stored = await deployment.objects.get('common-settings', 'fleet');
	t.true(
		stored
			.unsafeCoerce()
			.value?.durations.some(
				({path, ms}) => path === 'ownership.leaseMs' && ms === 800,
			),
	);
});
