import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import {type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import test from 'ava';
import {request} from 'undici';
import {sendAnswer, createSite, type RequestHandler} from './gateway-site.js';
import {until} from './requests-fixture.js';

/** Bytes; more than the daemon buffers of an answer. */
const longLen = 1_500_000;

test('an answer comes back complete, and the server receives the expected instance, the request id and the time left', async (t) => {
	const site = createSite(t);
	let received: IncomingMessage['headers'] = {};
	await site.addServer('i-1', 'plain', (req, res, body) => {
		received = req.headers;
		sendAnswer(req, res, `${req.method} ${req.url} ${body}`);
	});
	await site.start();
	const {status, headers, text} = await site.send('/book/1?x=y', {}, 'two');
	t.is(status, 200);
	t.is(text, 'POST /book/1?x=y two');
	t.is(headers['x-kingcuproute-server-stamp'], 'signed');
	t.is(received['x-kingcuproute-expect-instance'], 'i-1');
	t.is(received['x-kingcuproute-request-id'], 'q/book/1?x=y');
	const leftMs = Number(received['x-kingcuproute-deadline-ms']);
	t.true(leftMs > 0 && leftMs <= 20_000, `${leftMs} ms`);
	t.is(await site.statusOf('/nowhere/'), 404);
});

test('a declined request goes to another server, and an unsafe request that was lost goes to none', async (t) => {
	const site = createSite(t);
	const ran: string[] = [];
	let firstServer: string | undefined;
	const handlerOf =
		(name: string): RequestHandler =>
		(req, res, body) => {
			ran.push(`${name} ${req.url}`);
			firstServer ??= name;
			if (req.url === '/book/declined' && firstServer === name) {
				res.writeHead(503, {
					'x-kingcuproute-request-id': 'q/book/declined',
					'x-kingcuproute-not-executed': '1',
				});
				res.end();
			} else if (req.url!.endsWith('/lost') && firstServer === name) {
				res.destroy();
			} else {
				sendAnswer(req, res, body);
			}
		};

	await site.addServer('i-1', 'plain', handlerOf('i-1'));
	await site.addServer('i-2', 'plain', handlerOf('i-2'));
	await site.start();
	t.is(await site.statusOf('/book/declined', {}, 'b'), 200);
	t.is(ran.length, 2);
	for (const [path, status, runs] of [
		['/book/lost', 502, 1],
		['/read/lost', 200, 2],
	] as const) {
		ran.length = 0;
		firstServer = undefined;
		const body = path === '/book/lost' ? 'b' : undefined;
		t.is(await site.statusOf(path, {}, body), status, `path ${path}`);
		t.is(ran.length, runs, `ran: ${ran.join(',')}`);
	}
});

test('a safe request that was lost once is not reported as not run, even if another server declines it later', async (t) => {
	const site = createSite(t);
	let runs = 0;
	const handle: RequestHandler = (req, res) => {
		runs++;
		if (runs === 1) {
			res.destroy();
			return;
		}

		res.writeHead(503, {
			'x-kingcuproute-request-id': String(
				req.headers['x-kingcuproute-request-id'],
			),
			'x-kingcuproute-not-executed': '1',
		});
		res.end();
	};

	await site.addServer('i-1', 'plain', handle);
	await site.addServer('i-2', 'plain', handle);
	await site.start();
	t.is(await site.statusOf('/read/x'), 502);
	t.is(runs, 2);
});

test('a key holder that declines is tried again, more often than maxAttempts', async (t) => {
	const site = createSite(t);
	let attempts = 0;
	await site.addServer('i-1', 'keyed', (req, res, body) => {
		attempts++;
		if (attempts <= 2) {
			res.writeHead(421, {
				'x-kingcuproute-request-id': String(
					req.headers['x-kingcuproute-request-id'],
				),
			});
			res.end();
		} else {
			sendAnswer(req, res, body);
		}
	});
	await site.start();
	const key = {'x-kingcuproute-shard-key': '7'};
	const statuses: number[] = [];
	await until(async () => {
		statuses.push(await site.statusOf('/clock/', key));
		return attempts > 0;
	});
	t.is(statuses.at(-1), 200);
	t.is(attempts, 3);
});

test('a request whose caller disconnected before it was read goes to no server', async (t) => {
	const site = createSite(t);
	let runs = 0;
	await site.addServer('i-1', 'plain', (req, res, body) => {
		runs++;
		sendAnswer(req, res, body);
	});
	await site.start();
	t.is(await site.statusOf('/read/x'), 200);
	const {hostname, port} = new URL(`http://${site.entry}`);
	site.signal('SIGSTOP');
	const sockets = Array.from({length: 20}, (_, index) => {
		const socket = connect(Number(port), hostname);
		socket.end(
			[
				'GET /read/x HTTP/1.1',
				'host: shop.example',
				`x-kingcuproute-request-id: left-${index}`,
				'x-kingcuproute-deadline-ms: 20000',
				'\r\n',
			].join('\r\n'),
		);
		return socket.resume();
	});
	await Promise.all(sockets.map(async (socket) => once(socket, 'finish')));
	site.signal('SIGCONT');
	await Promise.all(sockets.map(async (socket) => once(socket, 'close')));
	t.is(await site.statusOf('/read/x'), 200);
	t.is(runs, 2);
});

test('an answer to another request is passed to no caller', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', (req, res, body) => {
		sendAnswer(req, res, body, {'x-kingcuproute-request-id': 'other'});
	});
	await site.start();
	t.is(await site.statusOf('/book/x', {}, 'b'), 502);
});

test('an answer without a length that ends with its connection is complete', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', (req, res, body) => {
		res.useChunkedEncodingByDefault = false;
		sendAnswer(req, res, body);
	});
	await site.start();
	const {status, text} = await site.send('/book/x', {}, 'all of it');
	t.is(status, 200);
	t.is(text, 'all of it');
});

test('an answer without a length is passed on once it exceeds what the daemon buffers', async (t) => {
	const site = createSite(t);
	let finish: (() => void) | undefined;
	await site.addServer('i-1', 'plain', (req, res) => {
		res.useChunkedEncodingByDefault = false;
		res.writeHead(200, {
			'x-kingcuproute-request-id': String(
				req.headers['x-kingcuproute-request-id'],
			),
		});
		res.write('x'.repeat(longLen));
		finish = () => res.end('end');
	});
	await site.start();
	const res = await request(`http://${site.entry}/book/long`, {
		headers: {
			host: 'shop.example',
			'x-kingcuproute-request-id': 'long',
			'x-kingcuproute-deadline-ms': '20000',
		},
	});
	let len = 0;
	for await (const chunk of res.body) {
		if (len === 0) {
			finish!();
		}

		len += (chunk as Uint8Array).length;
	}

	t.is(len, longLen + 3);
});

test('a key is served by the one server that holds it', async (t) => {
	const site = createSite(t);
	const served = new Map<string, Set<string>>();
	for (const name of ['i-1', 'i-2']) {
		await site.addServer(name, 'keyed', (req, res, body) => {
			const key = String(req.headers['x-kingcuproute-shard-key']);
			served.set(key, (served.get(key) ?? new Set()).add(name));
			sendAnswer(req, res, body);
		});
	}

	await site.start();
	const statusOfKey = async (key: number) =>
		site.statusOf('/clock/', {'x-kingcuproute-shard-key': String(key)});
	await until(async () => (await statusOfKey(0)) === 200);
	for (const key of [0, 0, 65_535, 65_535]) {
		t.is(await statusOfKey(key), 200);
	}

	t.is(served.get('0')!.size, 1);
	t.is(served.get('65535')!.size, 1);
	t.notDeepEqual(served.get('0'), served.get('65535'));
	t.is(await site.statusOf('/clock/'), 400);
});

test('a daemon that is stopped is no longer ready, answers requests in flight, and exits', async (t) => {
	const site = createSite(t);
	let finish: (() => void) | undefined;
	await site.addServer('i-1', 'plain', (req, res, body) => {
		finish = () => {
			sendAnswer(req, res, body);
		};
	});
	await site.start();
	const pending = site.send('/book/slow', {}, 'b');
	await until(async () => finish !== undefined);
	const exited = site.terminate();
	await until(async () => (await site.readinessStatus()) === 503);
	finish!();
	const {status} = await pending;
	t.is(status, 200);
	t.is(await exited, 0);
});

test('SIGHUP makes the daemon read its settings again, and it keeps running even if they are invalid', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', sendAnswer);
	await site.start();
	const settings = readFileSync(site.settingsFile, 'utf8');
	writeFileSync(site.settingsFile, settings.replace('graceS=6', 'graceS=7'));
	t.regex(await site.reloadSettings('settings-read'), /changed=bounds/);
	writeFileSync(site.settingsFile, settings.replace('graceS=6', 'graceS=long'));
	t.regex(await site.reloadSettings('settings-refused'), /graceS/);
	t.is(await site.statusOf('/book/x', {}, 'b'), 200);
});
