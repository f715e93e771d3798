import test from 'ava';
import {Deployment} from '../src/index.js';

test('a domain is taken out and back in, and a daemon run is declared gone, as docs/OPERATIONS.md describes', async (t) => {
	const deployment = await Deployment.start();
	t.teardown(async () => deployment.stop());
	await deployment.createObject('failure-domain', 'fd-a', {
		failureDomain: 'fd-a',
		region: 'ph-luzon',
		out: false,
	});
	const {operator} = await deployment.daemon('vm-1', 'fd-a');
	const config = deployment.writeJsonFile('kingcuproute.json', {
		operator: [operator],
	});
	const out = await deployment.runCli(
		'--config',
		config,
		'domain',
		'out',
		'fd-a',
		'--wait',
	);
	t.is(out.code, 0);
	const stored = await deployment.objects.get('failure-domain', 'fd-a');
	t.deepEqual(stored.unsafeCoerce().value, {
		failureDomain: 'fd-a',
		region: 'ph-luzon',
		out: true,
	});
	const back = await deployment.runCli(
		'--config',
		config,
		'domain',
		'in',
		'fd-a',
		'--wait',
	);
	t.is(back.code, 0);
	const gone = await deployment.runCli(
		'vm',
		'gone',
		'vm-9',
		'--run',
		'vm-9.abc',
		'--yes',
	);
	t.is(gone.code, 0);
	const vm = await deployment.objects.get('vm', 'vm-9');
	t.is(vm.unsafeCoerce().value?.gone, 'abc');
});
