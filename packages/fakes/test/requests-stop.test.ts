import test from 'ava';
import {request} from 'undici';
import {
	pause,
	countRuns,
	send,
	setServerFaults,
	startCluster,
	until,
	type Answer,
} from './requests-fixture.js';

const settings = {stop: {noticeMs: 500, drainMs: 10_000}};

test('a stop under load turns readiness first, cuts off no request and exits 0', async (t) => {
	const {servers, daemons, entry} = await startCluster(t, {settings});
	await setServerFaults(servers[0], {workMs: 100});
	const {child, operator} = daemons[0];
	const answers: Answer[] = [];
	const stopped = new AbortController();
	const caller = async (index: number) => {
		for (let count = 0; !stopped.signal.aborted; count++) {
			answers.push(
				await send(entry, 'POST', `/kaha/load-${index}-${count}`, {body: 'x'}),
			);
		}
	};

	const callers = Array.from({length: 8}, async (_, index) => caller(index));
	await pause(500);
	const exit = child.end('SIGTERM');
	await until(async () => {
		const res = await request(`http://${operator}/readyz`);
		await res.body.dump();
		return res.statusCode === 503;
	});
	// The balancer sends nobody here once readiness is false.
	stopped.abort();
	await t.notThrowsAsync(Promise.all(callers));
	t.true(answers.length > 8);
	t.true(answers.every(({status}) => status === 200));
	t.is(await exit, 0);
});

test('while it stops, a daemon answers with connection: close', async (t) => {
	const {daemons, entry} = await startCluster(t, {settings});
	const exit = daemons[0].child.end('SIGTERM');
	await pause(150);
	const {status, headers} = await send(entry, 'GET', '/kaha/late');
	t.is(status, 200);
	t.is(headers.connection, 'close');
	t.is(await exit, 0);
});

for (const second of [true, false]) {
	test(`a request that outlasts ${second ? 'a second signal' : 'the bound'} is cut, and the log says which`, async (t) => {
		const {servers, daemons, entry} = await startCluster(t, {
			settings: {stop: {noticeMs: 100, drainMs: second ? 60_000 : 700}},
			deadlineMs: 60_000,
		});
		await setServerFaults(servers[0], {workMs: 30_000});
		const path = '/kaha/long';
		const sent = t.throwsAsync(send(entry, 'POST', path, {body: 'x'}), {
			any: true,
		});
		await until(async () => {
			const count = await countRuns(servers, path);
			return count === 1;
		});
		const {child} = daemons[0];
		const exit = child.end('SIGTERM');
		await pause(300);
		if (second) {
			child.signal('SIGTERM');
		}

		await sent;
		t.is(await exit, 0);
		t.true(child.lines.some((line) => line.includes('event=cut-by-stop')));
	});
}
