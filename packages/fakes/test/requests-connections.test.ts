import test from 'ava';
import {
	knowsMembers,
	fetchRuns,
	send,
	setServerFaults,
	startCluster,
	until,
} from './requests-fixture.js';

test('daemons together open no more connections than a server accepts', async (t) => {
	const connections = 4;
	const {servers, daemons} = await startCluster(t, {daemons: 2, connections});
	await until(async () => {
		const known = await Promise.all(
			daemons.map(async (daemon) => knowsMembers(daemon, 2)),
		);
		return known.every(Boolean);
	});
	await setServerFaults(servers[0], {workMs: 20});
	const answers = await Promise.all(
		Array.from({length: 40}, async (_, index) =>
			send(daemons[index % 2].entry, 'POST', '/kaha/burst', {body: 'ten'}),
		),
	);
	t.true(answers.every(({status}) => status === 200));
	const journal = await fetchRuns(servers[0]);
	const ports = journal
		.filter(({path}) => path === '/kaha/burst')
		.map(({callerPort}) => callerPort);
	t.is(ports.length, 40);
	t.true(new Set(ports).size <= connections);
});
