import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import {type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import test from 'ava';
import {request} from 'undici';
import {answer, site, type Act} from './gateway-site.js';
import {until} from './requests-fixture.js';

/** More than the daemon holds. */
const longLen = 1_500_000;

test('an answer comes back whole, and the server is told whom the request is for and how long it waits', async (t) => {
	const made = site(t);
	let seen: IncomingMessage['headers'] = {};
	await made.add('i-1', 'plain', (req, res, body) => {
		seen = req.headers;
		answer(req, res, `${req.method} ${req.url} ${body}`);
	});
	await made.start();
	const {status, headers, text} = await made.ask('/book/1?x=y', {}, 'two');
	t.is(status, 200);
	t.is(text, 'POST /book/1?x=y two');
	t.is(headers['x-kingcuproute-server-stamp'], 'signed');
	t.is(seen['x-kingcuproute-expect-instance'], 'i-1');
	t.is(seen['x-kingcuproute-request-id'], 'q/book/1?x=y');
	const leftMs = Number(seen['x-kingcuproute-deadline-ms']);
	t.true(leftMs > 0 && leftMs <= 20_000, `${leftMs} ms`);
	t.is(await made.status('/nowhere/'), 404);
});

test('what a server declined goes to another, and an unsafe request that was lost goes to none', async (t) => {
	const made = site(t);
	const ran: string[] = [];
	let first: string | undefined;
	const act =
		(name: string): Act =>
		(req, res, body) => {
			ran.push(`${name} ${req.url}`);
			first ??= name;
			if (req.url === '/book/declined' && first === name) {
				res.writeHead(503, {
					'x-kingcuproute-request-id': 'q/book/declined',
					'x-kingcuproute-not-executed': '1',
				});
				res.end();
			} else if (req.url!.endsWith('/lost') && first === name) {
				res.destroy();
			} else {
				answer(req, res, body);
			}
		};

	await made.add('i-1', 'plain', act('i-1'));
	await made.add('i-2', 'plain', act('i-2'));
	await made.start();
	t.is(await made.status('/book/declined', {}, 'b'), 200);
	t.is(ran.length, 2);
	for (const [at, status, runs] of [
		['/book/lost', 502, 1],
		['/read/lost', 200, 2],
	] as const) {
		ran.length = 0;
		first = undefined;
		const body = at === '/book/lost' ? 'b' : undefined;
		t.is(await made.status(at, {}, body), status, `at ${at}`);
		t.is(ran.length, runs, `ran: ${ran.join(',')}`);
	}
});

test('a safe request that was lost once is not said not to have run, whatever declines it after', async (t) => {
	const made = site(t);
	let runs = 0;
	const act: Act = (req, res) => {
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

	await made.add('i-1', 'plain', act);
	await made.add('i-2', 'plain', act);
	await made.start();
	t.is(await made.status('/read/x'), 502);
	t.is(runs, 2);
});

test('a holder that declines a key is asked again, more often than there may be servers', async (t) => {
	const made = site(t);
	let asked = 0;
	await made.add('i-1', 'keyed', (req, res, body) => {
		asked++;
		if (asked <= 2) {
			res.writeHead(421, {
				'x-kingcuproute-request-id': String(
					req.headers['x-kingcuproute-request-id'],
				),
			});
			res.end();
		} else {
			answer(req, res, body);
		}
	});
	await made.start();
	const key = {'x-kingcuproute-shard-key': '7'};
	const statuses: number[] = [];
	await until(async () => {
		statuses.push(await made.status('/clock/', key));
		return asked > 0;
	});
	t.is(statuses.at(-1), 200);
	t.is(asked, 3);
});

test('a request whose caller had left when it was read goes to no server', async (t) => {
	const made = site(t);
	let runs = 0;
	await made.add('i-1', 'plain', (req, res, body) => {
		runs++;
		answer(req, res, body);
	});
	await made.start();
	t.is(await made.status('/read/x'), 200);
	const {hostname, port} = new URL(`http://${made.entry}`);
	made.signal('SIGSTOP');
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
	made.signal('SIGCONT');
	await Promise.all(sockets.map(async (socket) => once(socket, 'close')));
	t.is(await made.status('/read/x'), 200);
	t.is(runs, 2);
});

test('an answer to another request is passed to nobody', async (t) => {
	const made = site(t);
	await made.add('i-1', 'plain', (req, res, body) => {
		answer(req, res, body, {'x-kingcuproute-request-id': 'other'});
	});
	await made.start();
	t.is(await made.status('/book/x', {}, 'b'), 502);
});

test('an answer without a length that ends with its connection is whole', async (t) => {
	const made = site(t);
	await made.add('i-1', 'plain', (req, res, body) => {
		res.useChunkedEncodingByDefault = false;
		answer(req, res, body);
	});
	await made.start();
	const {status, text} = await made.ask('/book/x', {}, 'all of it');
	t.is(status, 200);
	t.is(text, 'all of it');
});

test('an answer without a length is passed on once it is longer than what is held', async (t) => {
	const made = site(t);
	let finish: (() => void) | undefined;
	await made.add('i-1', 'plain', (req, res) => {
		res.useChunkedEncodingByDefault = false;
		res.writeHead(200, {
			'x-kingcuproute-request-id': String(
				req.headers['x-kingcuproute-request-id'],
			),
		});
		res.write('x'.repeat(longLen));
		finish = () => res.end('end');
	});
	await made.start();
	const res = await request(`http://${made.entry}/book/long`, {
		headers: {
			host: 'shop.example',
			'x-kingcuproute-request-id': 'long',
			'x-kingcuproute-deadline-ms': '20000',
		},
	});
	let len = 0;
	for await (const part of res.body) {
		len += (part as Uint8Array).length;
		finish!();
	}

	t.is(len, longLen + 3);
});

test('a key is served by the one server that holds it', async (t) => {
	const made = site(t);
	const served = new Map<string, Set<string>>();
	for (const name of ['i-1', 'i-2']) {
		await made.add(name, 'keyed', (req, res, body) => {
			const key = String(req.headers['x-kingcuproute-shard-key']);
			served.set(key, (served.get(key) ?? new Set()).add(name));
			answer(req, res, body);
		});
	}

	await made.start();
	const ask = async (key: number) =>
		made.status('/clock/', {'x-kingcuproute-shard-key': String(key)});
	await until(async () => (await ask(0)) === 200);
	for (const key of [0, 0, 65_535, 65_535]) {
		t.is(await ask(key), 200);
	}

	t.is(served.get('0')!.size, 1);
	t.is(served.get('65535')!.size, 1);
	t.notDeepEqual(served.get('0'), served.get('65535'));
	t.is(await made.status('/clock/'), 400);
});

test('a planned stop answers what is in flight, is not ready any more, and ends', async (t) => {
	const made = site(t);
	let finish: (() => void) | undefined;
	await made.add('i-1', 'plain', (req, res, body) => {
		finish = () => {
			answer(req, res, body);
		};
	});
	await made.start();
	const pending = made.ask('/book/slow', {}, 'b');
	await until(async () => finish !== undefined);
	const ended = made.term();
	await until(async () => (await made.isReady()) === 503);
	finish!();
	const {status} = await pending;
	t.is(status, 200);
	t.is(await ended, 0);
});

test('a hangup has the settings read again, and the daemon goes on whatever they say', async (t) => {
	const made = site(t);
	await made.add('i-1', 'plain', answer);
	await made.start();
	const settings = readFileSync(made.settingsFile, 'utf8');
	writeFileSync(made.settingsFile, settings.replace('graceS=6', 'graceS=7'));
	t.regex(await made.hangUp('settings-read'), /changed=bounds/);
	writeFileSync(made.settingsFile, settings.replace('graceS=6', 'graceS=long'));
	t.regex(await made.hangUp('settings-refused'), /graceS/);
	t.is(await made.status('/book/x', {}, 'b'), 200);
});
