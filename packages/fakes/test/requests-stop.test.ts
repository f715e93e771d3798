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

test('a stop under load first reports not ready, cuts off no request and exits with 0', async (t) => {
	const {servers, daemons, entry} = await startCluster(t, {settings});
	await setServerFaults(servers[0], {workMs: 100});
	const {child, operator} = daemons[0];
	const answers: Answer[] = [];
	const stopSending = new AbortController();
	const caller = async (index: number) => {
		for (let count = 0; !stopSending.signal.aborted; count++) {
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
	// The balancer sends no callers here once the daemon is not ready.
	stopSending.abort();
	await t.notThrowsAsync(Promise.all(callers));
	t.true(answers.length > 8);
	t.true(answers.every(({status}) => status === 200));
	t.is(await exit, 0);
});

test('a daemon that is stopping answers with connection: close', async (t) => {
	const {daemons, entry} = await startCluster(t, {settings});
	const exit = daemons[0].child.end('SIGTERM');
	await pause(150);
	const {status, headers} = await send(entry, 'GET', '/kaha/late');
	t.is(status, 200);
	t.is(headers.connection, 'close');
	t.is(await exit, 0);
});

for (const hasSecondSignal of [true, false]) {
	test(`a request still running at ${hasSecondSignal ? 'a second signal' : 'the end of draining'} is cut off, and the log records it`, async (t) => {
		const {servers, daemons, entry} = await startCluster(t, {
			settings: {
				stop: {noticeMs: 100, drainMs: hasSecondSignal ? 60_000 : 700},
			},
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
		if (hasSecondSignal) {
			child.signal('SIGTERM');
		}

		await sent;
		t.is(await exit, 0);
		t.true(child.lines.some((line) => line.includes('event=cut-by-stop')));
	});
}
