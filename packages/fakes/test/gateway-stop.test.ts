import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {
	createSite,
	sendAnswer,
	siteConfig,
	type RequestHandler,
	type Site,
} from './gateway-site.js';
import {until} from './requests-fixture.js';

/** The stop time of the fixture's settings. */
const stopMs = 6000;
/** By the rules a request that is refused in a planned stop is answered before the process ends. */
const refusedByMs = stopMs - 1000;
const keyField = {'x-kingcuproute-shard-key': '7'};
const shortKeyed = {...keyField, 'x-kingcuproute-deadline-ms': '1000'};

/** Sends a request of which the daemon has to answer the header before its end; resolves with the status and the time it took. */
async function refusalOf(site: Site, ...args: Parameters<Site['send']>) {
	const sentAt = performance.now();
	const {status, text, headers} = await site.send(...args);
	return {
		status,
		...(JSON.parse(text) as {reason: string; notRun: boolean}),
		retryAfter: headers['retry-after'],
		tookMs: performance.now() - sentAt,
	};
}

const stopping = {status: 503, reason: 'stopping', notRun: true};

/** Runs requests that are answered only when the test ends. */
function hangingServer() {
	const ids: string[] = [];
	const hang: RequestHandler = (req) => {
		ids.push(String(req.headers['x-kingcuproute-request-id']));
	};

	return {ids, hang};
}

// A stopping daemon used to drop these without an answer at the end of the process.
test('a stopping daemon refuses the requests that wait for the owner of their key, those that came before the stop and after it', async (t) => {
	const site = createSite(t);
	await site.start();
	const before = refusalOf(site, '/clock/before', keyField);
	await sleep(300);
	const exit = site.terminate();
	await sleep(700);
	const after = refusalOf(site, '/hold/after', keyField, 'order');
	for (const {tookMs, ...refusal} of await Promise.all([before, after])) {
		t.like(refusal, {...stopping, retryAfter: '0.000'});
		t.true(tookMs < refusedByMs, `${tookMs} ms`);
	}

	t.is(await exit, 0);
});

// Requests queued for a connection were dropped in the same way.
test('a stopping daemon refuses the requests that wait for a connection, and no server ever gets them', async (t) => {
	const site = createSite(t);
	const {ids, hang} = hangingServer();
	await site.addServer('i-1', 'plain', hang);
	site.registerServer('i-1', 'plain', site.servedPort(), 100);
	await site.start();
	const {services} = siteConfig;
	const rows = services.rows.map(([name, path, , ...rest]) => [
		name,
		path,
		2,
		...rest,
	]);
	site.store.put('config', 'main', {
		...siteConfig,
		version: 'r2',
		services: {...services, rows},
	});
	await site.line('event=config-in-force version=2');
	const sent = ['/book/1', '/book/2'].map(async (target) =>
		refusalOf(site, target, {}, 'b'),
	);
	await until(async () => ids.length === 1);
	const exit = site.terminate();
	const ends = await Promise.all(sent);
	const refused = ends.filter(({notRun}) => notRun);
	t.is(refused.length, 1);
	t.like(refused[0], stopping);
	t.true(refused[0].tookMs < refusedByMs);
	t.is(await exit, 0);
	t.is(ids.length, 1);
});

// A request that its key's holder had declined waited for its next attempt until the process ended.
test('a stopping daemon refuses a request that a server has declined and that waits to be sent again', async (t) => {
	const site = createSite(t);
	let declined = 0;
	await site.addServer('i-1', 'keyed', (req, res) => {
		declined++;
		res.writeHead(503, {
			'x-kingcuproute-request-id': String(
				req.headers['x-kingcuproute-request-id'],
			),
			'x-kingcuproute-not-executed': '1',
		});
		res.end();
	});
	await site.start();
	await until(
		async () =>
			(await site.statusOf('/clock/', shortKeyed)) === 503 && declined > 0,
	);
	const sent = refusalOf(site, '/clock/declined', keyField);
	const exit = site.terminate();
	const {tookMs, ...refusal} = await sent;
	t.is(refusal.status, 503);
	t.true(refusal.notRun);
	t.true(tookMs < refusedByMs, `${tookMs} ms`);
	t.is(await exit, 0);
});

// It used to close the connections of requests that a server has, or queues, without an answer.
test('a stopping daemon tells the callers of requests that outlast it that these may have run', async (t) => {
	const site = createSite(t);
	const {ids, hang} = hangingServer();
	await site.addServer('i-1', 'plain', hang);
	await site.start();
	const sent = ['/read/1', '/book/2'].map(async (target) =>
		refusalOf(site, target, {}, 'b'),
	);
	await until(async () => ids.length === 2);
	const exit = site.terminate();
	for (const {tookMs, ...end} of await Promise.all(sent)) {
		t.like(end, {status: 502, reason: 'stopping', notRun: false});
		t.true(tookMs < stopMs, `${tookMs} ms`);
	}

	t.is(await exit, 0);
	t.is(ids.length, 2);
});

test('a stopping daemon refuses a request whose body is still on its way, and answers one that a server has', async (t) => {
	const site = createSite(t);
	let finish: (() => void) | undefined;
	await site.addServer('i-1', 'plain', (req, res, body) => {
		finish = () => {
			sendAnswer(req, res, body);
		};
	});
	await site.start();
	const inProgress = site.send('/book/slow', {}, 'b');
	await until(async () => finish !== undefined);
	const uploading = await openUpload(site);
	const exit = site.terminate();
	await until(async () => uploading.text().includes('\r\n\r\n'));
	t.regex(uploading.text(), /^HTTP\/1\.1 503 [^]*"reason":"stopping"/);
	finish!();
	const {status} = await inProgress;
	t.is(status, 200);
	t.is(await exit, 0);
});

/** Sends the head of a request and a part of its body. */
async function openUpload(site: Site) {
	const [host, port] = site.entry.split(':');
	const socket: Socket = connect(Number(port), host);
	await once(socket, 'connect');
	let received = '';
	socket.setEncoding('utf8').on('data', (text: string) => {
		received += text;
	});
	socket.on('error', () => undefined);
	socket.write(
		[
			'POST /book/upload HTTP/1.1',
			'host: shop.example',
			'x-kingcuproute-request-id: upload',
			'x-kingcuproute-deadline-ms: 20000',
			'content-length: 100',
			'',
			'part',
		].join('\r\n'),
	);
	return {text: () => received};
}
