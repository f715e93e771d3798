import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {CallerSocket, requestText} from './caller-socket.js';
import {createSite, sendAnswer} from './gateway-site.js';
import {until} from './requests-fixture.js';

/** A site whose server answers a request only when the test says so. */
async function startSite(t: ExecutionContext) {
	const site = createSite(t);
	const ran: string[] = [];
	const left: string[] = [];
	const finishers = new Map<string, () => void>();
	await site.addServer('i-1', 'plain', (req, res, body) => {
		const path = req.url!;
		ran.push(path);
		res.once('close', () => {
			if (!res.writableFinished) {
				left.push(path);
			}
		});
		finishers.set(path, () => {
			sendAnswer(req, res, body);
		});
	});
	await site.start();
	// More requests at once than the slots of one entry would admit.
	site.registerServer('i-1', 'plain', site.servedPort(), 60);
	const finish = async (path: string) => {
		await until(async () => finishers.has(path));
		finishers.get(path)!();
	};

	return {site, ran, left, finish, caller: await CallerSocket.open(site.entry)};
}

test('answers to requests sent ahead come in the order of the requests, though the first one is slow', async (t) => {
	const {ran, finish, caller} = await startSite(t);
	caller.send('/read/1', '/read/2', '/read/3');
	await finish('/read/3');
	await finish('/read/2');
	await sleep(100);
	t.deepEqual(caller.answers, []);
	await finish('/read/1');
	await until(async () => caller.answers.length === 3);
	t.deepEqual(caller.ids, ['/read/1', '/read/2', '/read/3']);
	t.is(ran.length, 3);
});

test('a bounded number of requests of one connection is in progress, and all are answered', async (t) => {
	const {ran, finish, caller} = await startSite(t);
	const targets = Array.from({length: 100}, (_, index) => `/read/${index}`);
	caller.send(...targets);
	await until(async () => ran.length >= 8);
	await sleep(100);
	t.is(ran.length, 8);
	for (const target of targets) {
		await finish(target);
	}

	await until(async () => caller.answers.length === targets.length);
	t.deepEqual(caller.ids, targets);
});

test('a request that must not run twice runs only as the first of its connection, and those behind it wait', async (t) => {
	const {ran, finish, caller} = await startSite(t);
	caller.send('/read/1', '/book/2', '/read/3');
	await until(async () => ran.length === 1);
	await sleep(100);
	t.deepEqual(ran, ['/read/1']);
	await finish('/read/1');
	await until(async () => ran.length === 2);
	await sleep(100);
	t.deepEqual(ran, ['/read/1', '/book/2']);
	await finish('/book/2');
	await finish('/read/3');
	await until(async () => caller.answers.length === 3);
	t.deepEqual(caller.ids, ['/read/1', '/book/2', '/read/3']);
});

test('when a caller leaves, the requests that it sent ahead are cancelled, and those not begun never run', async (t) => {
	const {site, ran, left, caller} = await startSite(t);
	caller.send('/read/1', '/read/2', '/book/3');
	await until(async () => ran.length === 2);
	caller.leave();
	await until(async () => left.length === 2);
	await sleep(100);
	t.deepEqual(ran, ['/read/1', '/read/2']);
	const stoppedAt = performance.now();
	t.is(await site.terminate(), 0);
	t.true(performance.now() - stoppedAt < 4500, 'waits for nobody');
});

test('requests before a malformed one are answered, then the connection is refused and closed', async (t) => {
	const {ran, finish, caller} = await startSite(t);
	caller.send('/read/1', '/book/2');
	caller.write('NONSENSE\r\n\r\n');
	await finish('/read/1');
	await finish('/book/2');
	await caller.closed;
	t.deepEqual(
		caller.answers.map(({status}) => status),
		[200, 200, 400],
	);
	t.is(ran.length, 2);
});

test('a request whose body turns out malformed closes the connection after the answers before it', async (t) => {
	const {ran, finish, caller} = await startSite(t);
	caller.send('/read/1');
	caller.write(
		[
			'POST /book/2 HTTP/1.1',
			'host: shop.example',
			'x-kingcuproute-request-id: /book/2',
			'transfer-encoding: chunked',
			'',
			'zz',
			'',
		].join('\r\n'),
	);
	await finish('/read/1');
	await caller.closed;
	t.deepEqual(caller.ids, ['/read/1']);
	t.deepEqual(ran, ['/read/1']);
});

test('a planned stop answers the requests in progress on a connection, and the last answer closes it', async (t) => {
	const {site, ran, finish, caller} = await startSite(t);
	caller.send('/read/1', '/read/2', '/book/3');
	await until(async () => ran.length === 2);
	const exit = site.terminate();
	await until(async () => (await site.readinessStatus()) === 503);
	await finish('/read/1');
	await finish('/read/2');
	await caller.closed;
	t.deepEqual(caller.ids, ['/read/1', '/read/2']);
	t.deepEqual(
		caller.answers.map(({closes}) => closes),
		[false, true],
	);
	t.deepEqual(ran, ['/read/1', '/read/2']);
	t.is(await exit, 0);
});

/** Bytes; more than the daemon buffers of an answer, so that its header is written early. */
const longLen = 1_500_000;
const idField = 'x-kingcuproute-request-id';

test('late in a planned stop, a request on a kept connection is refused before it runs, unless it can end in time', async (t) => {
	const site = createSite(t);
	const ran: string[] = [];
	const finishers: Array<() => void> = [];
	await site.addServer('i-1', 'plain', (req, res, body) => {
		ran.push(req.url!);
		if (req.url!.startsWith('/read/long')) {
			res.writeHead(200, {[idField]: String(req.headers[idField])});
			res.write('x'.repeat(longLen));
			finishers.push(() => res.end());
		} else {
			sendAnswer(req, res, body);
		}
	});
	await site.start();
	const [first, second] = [
		await CallerSocket.open(site.entry),
		await CallerSocket.open(site.entry),
	];
	first.send('/read/long-1');
	second.send('/read/long-2');
	await until(
		async () => first.answers.length === 1 && second.answers.length === 1,
	);
	const exit = site.terminate();
	await sleep(3500);
	for (const finish of finishers) {
		finish();
	}

	first.send('/book/late');
	second.write(requestText('/book/short', 1000));
	await Promise.all([first.closed, second.closed]);
	t.deepEqual(
		first.answers.map(({status}) => status),
		[200, 503],
	);
	t.deepEqual(second.ids, ['/read/long-2', '/book/short']);
	t.deepEqual(ran.slice(2), ['/book/short']);
	t.is(await exit, 0);
});
