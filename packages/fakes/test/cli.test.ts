import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {Deployment, type RunningDaemon} from '../src/index.js';
import {until} from './requests-fixture.js';

const contract = {
	customer: 'tiktak-haus',
	services: ['ticket-desk'],
	ratePerSecond: 100,
	burst: 50,
	concurrency: 10,
};

async function startDeployment(t: ExecutionContext): Promise<Deployment> {
	const deployment = await Deployment.start();
	t.teardown(async () => deployment.stop());
	return deployment;
}

async function exitCodeOf(
	deployment: Deployment,
	...args: readonly string[]
): Promise<number> {
	const {code} = await deployment.runCli(...args);
	return code;
}

async function startDaemon(deployment: Deployment): Promise<RunningDaemon> {
	return deployment.daemon('vm-1', 'fd-a');
}

test('a contract is applied, read, listed and deleted, and a wrong one is refused with its path', async (t) => {
	const deployment = await startDeployment(t);
	const file = deployment.writeJsonFile('contract.json', contract);
	t.is(await exitCodeOf(deployment, 'contract', 'apply', file), 0);
	const shown = await deployment.runCli(
		'--output',
		'json',
		'contract',
		'get',
		'tiktak-haus',
	);
	t.is(
		(JSON.parse(shown.lines[0]) as {value: {burst: number}}).value.burst,
		50,
	);
	const listed = await deployment.runCli('contract', 'list');
	t.true(listed.lines.some((line) => line.startsWith('tiktak-haus')));
	const wrong = deployment.writeJsonFile('wrong.json', {
		...contract,
		burst: -1,
		color: 'red',
	});
	const refused = await deployment.runCli('contract', 'apply', wrong);
	t.is(refused.code, 2);
	t.true(
		refused.errorLines.some(
			(line) => line.includes('burst') && line.includes('color'),
		),
	);
	t.is(await exitCodeOf(deployment, 'contract', 'delete', 'tiktak-haus'), 0);
	t.is(await exitCodeOf(deployment, 'contract', 'get', 'tiktak-haus'), 4);
});

test('of two operators who edit the same version, the second gets a conflict and overwrites nothing', async (t) => {
	const deployment = await startDeployment(t);
	const apply = async (burst: number, ...more: readonly string[]) =>
		deployment.runCli(
			'--output',
			'json',
			'contract',
			'apply',
			deployment.writeJsonFile(`c${burst}.json`, {...contract, burst}),
			...more,
		);
	const first = await apply(1);
	const {version} = JSON.parse(first.lines[0]) as {version: number};
	const [mine, other] = await Promise.all([
		apply(2, '--version', String(version)),
		apply(3, '--version', String(version)),
	]);
	t.deepEqual(
		[mine.code, other.code].toSorted((a, b) => a - b),
		[0, 3],
	);
	const stored = await deployment.objects.get('contract', 'tiktak-haus');
	t.is(stored.unsafeCoerce().value?.burst, mine.code === 0 ? 2 : 3);
});

test('wrong usage exits with 2, and a platform that is down with 5', async (t) => {
	const deployment = await startDeployment(t);
	t.is(await exitCodeOf(deployment, 'contrct', 'list'), 2);
	t.is(
		await exitCodeOf(deployment, 'vm', 'gone', 'vm-1', '--run', 'vm-1.abc'),
		2,
	);
	t.is(await exitCodeOf(deployment, 'backend-server', 'out', 'nobody'), 4);
	await request(`${deployment.origin}/faults`, {
		method: 'PUT',
		body: JSON.stringify({outage: true}),
	});
	t.is(await exitCodeOf(deployment, 'domain', 'out', 'fd-a'), 5);
});

test('--wait returns once the version is in force, and status, owner and explain answer', async (t) => {
	const deployment = await startDeployment(t);
	const {operator, entry} = await startDaemon(deployment);
	const cli = async (...args: readonly string[]) =>
		deployment.runCli('--operator', operator, ...args);
	const file = deployment.writeJsonFile('contract.json', contract);
	const applied = await cli('contract', 'apply', file, '--wait');
	t.is(applied.code, 0);
	t.true(applied.lines[0].includes('in force everywhere'));
	const status = await cli('--output', 'json', 'status');
	t.true(
		(JSON.parse(status.lines[0]) as {members: unknown[]}).members.length === 1,
	);
	const missing = await cli('owner', 'ticket-desk', 'heirloom-7');
	t.is(missing.code, 4);
	const refused = await request(`http://${entry}/ticket-desk/x`, {
		headers: {'x-customer': 'tiktak-haus', 'x-key': 'heirloom-7'},
	});
	await refused.body.dump();
	const id = String(refused.headers['x-kingcup-request-id']);
	const explained = await cli('explain', id);
	t.is(explained.code, 0);
	t.true(explained.lines.some((line) => line.includes('event=refused')));
});

test('a backend server that does not exist cannot be taken out, and an apply whose wait is impossible writes nothing', async (t) => {
	const deployment = await startDeployment(t);
	const file = deployment.writeJsonFile('contract.json', contract);
	const apply = ['contract', 'apply', file];
	t.is(await exitCodeOf(deployment, 'backend-server', 'out', 'kaha-1'), 4);
	t.is(await exitCodeOf(deployment, ...apply, '--wait'), 2);
	t.is(await exitCodeOf(deployment, ...apply, '--timeout-ms', 'soon'), 2);
	t.is(await exitCodeOf(deployment, ...apply, '--version', 'last'), 2);
	t.is(await exitCodeOf(deployment, 'contract', 'get', 'tiktak-haus'), 4);
});

test('status shows what every daemon guards that was asked, and lists those that did not answer', async (t) => {
	const deployment = await startDeployment(t);
	await deployment.createObject('service', 'ticket-desk', {
		service: 'ticket-desk',
		slices: 4,
		slots: 3,
		connections: 130,
		checksFence: true,
		deadlineMs: 5000,
		slowStartMs: 0,
	});
	for (const failureDomain of ['fd-a', 'fd-b']) {
		await deployment.server({
			name: `desk-${failureDomain}`,
			service: 'ticket-desk',
			failureDomain,
			keyed: true,
		});
	}

	const daemons = [
		await deployment.daemon('vm-1', 'fd-a'),
		await deployment.daemon('vm-2', 'fd-b'),
	];
	const nobody = '127.0.0.1:1';
	const addresses = [...daemons.map(({operator}) => operator), nobody];
	const status = async () => {
		const {lines, code} = await deployment.runCli(
			...addresses.flatMap((address) => ['--operator', address]),
			'--output',
			'json',
			'status',
		);
		t.is(code, 0);
		return JSON.parse(lines[0]) as {
			readonly guards: ReadonlyArray<{readonly server: string}>;
			readonly unanswered: readonly string[];
		};
	};

	await until(async () => {
		const {guards, unanswered} = await status();
		t.deepEqual(unanswered, [nobody]);
		return ['desk-fd-a', 'desk-fd-b'].every(
			(name) => guards.filter(({server}) => server === name).length === 2,
		);
	});
});
