import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {settingsVariable} from '@kingcuproute/platform';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {StandInStore} from '../src/platform/stand-in-store.js';

const {resolve} = createRequire(import.meta.url);
const main = path.join(
	path.dirname(resolve('@kingcuproute/daemon')),
	'gateway/main.js',
);
const capMs = 20_000;

const routes = {
	columns: [
		'name',
		'host',
		'pathPrefix',
		'routeKind',
		'timeoutMs',
		'targetLatencyMs',
		'priority',
		'maxAttempts',
		'service',
	],
	rows: [
		['r1', 'shop.example', '/read/', 'safe', 30_000, 600, 2, 2, 'plain'],
		['r2', 'shop.example', '/book/', 'unsafe', 30_000, 600, 1, 2, 'plain'],
		['r3', 'shop.example', '/clock/', 'safe', 30_000, 600, 1, 2, 'keyed'],
	],
};
const services = {
	columns: ['name', 'healthPath', 'maxConns', 'coldPerS', 'warmupS', 'sharded'],
	rows: [
		['plain', '/health', 130, 2.8, 3, null],
		['keyed', '/health', 130, 2.8, 3, true],
	],
};
const limits = {
	maxHeaderBytes: 16_384,
	maxBodyBytes: 1_000_000,
	headerTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};
const config = {version: 'r1', routes, services, limits};

type Act = (req: IncomingMessage, res: ServerResponse, body: string) => void;

/** Backend servers with a store and one daemon before them. */
class Site {
	readonly store = new StandInStore();
	readonly ran: string[] = [];
	entry = '';
	readiness = '';
	child: ChildProcess | undefined;
	readonly #servers: Server[] = [];
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'gateway-'));

	/** Adds a server that acts so on every request that is no order. */
	async add(name: string, service: string, act: Act): Promise<void> {
		const server = createServer((req, res) => {
			void (async () => {
				const parts = await req.toArray();
				if (req.url!.startsWith('/kingcuproute/')) {
					res.writeHead(200, {'x-kingcuproute-handover': 'h'});
					res.end();
				} else {
					act(req, res, parts.join(''));
				}
			})();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		this.#servers.push(server);
		const {port} = server.address() as AddressInfo;
		this.store.put(
			'servers',
			name,
			{
				addr: `127.0.0.1:${port}`,
				born: 1,
				info: {service, version: 'v1', zone: 'a', slots: 3},
			},
			{state: 'ready', seq: 1, coldLeftMs: 0},
		);
	}

	async start(): Promise<void> {
		const address = await this.store.start();
		this.store.put('config', 'main', config);
		const file = path.join(this.#folder, 'settings.conf');
		const settings = [
			'self.node=front-a-1',
			'self.zone=a',
			'self.region=r',
			'self.limits.memoryMb=350',
			'network.listen.front=127.0.0.1:0',
			'network.listen.ready=127.0.0.1:0',
			'platform.heartbeatMs=870',
			`platform.platform.addr=${address}`,
			'platform.platform.writesPerS=400',
			'platform.platform.readsPerS=2000',
			'terms.bounds.graceS=6',
			'terms.bounds.holdMaxMs=10000',
			'terms.bounds.retryBudgetRatio=0.2',
			'terms.bounds.retryBudgetSlack=62',
			'terms.bounds.budgetWindowS=10',
		];
		writeFileSync(file, settings.join('\n'));
		this.child = spawn(process.execPath, [main], {
			env: {...process.env, [settingsVariable]: file},
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		for await (const line of createInterface({input: this.child.stdout!})) {
			const found = /listening entry=(\S+) readiness=(\S+)/.exec(line);
			if (found) {
				[, this.entry, this.readiness] = found;
				break;
			}
		}

		this.child.stdout!.resume();
		await until(async () => (await this.isReady()) === 200);
	}

	async isReady(): Promise<number> {
		const res = await request(`http://${this.readiness}/kingcuproute/ready`);
		await res.body.dump();
		return res.statusCode;
	}

	async ask(at: string, fields: Record<string, string> = {}, body?: string) {
		const res = await request(`http://${this.entry}${at}`, {
			method: body === undefined ? 'GET' : 'POST',
			body,
			headers: {
				host: 'shop.example',
				'x-kingcuproute-request-id': `q${at}`,
				'x-kingcuproute-deadline-ms': '20000',
				...fields,
			},
		});
		return {
			status: res.statusCode,
			headers: res.headers,
			text: await res.body.text(),
		};
	}

	/** The status alone. */
	async status(...asked: Parameters<Site['ask']>): Promise<number> {
		const {status} = await this.ask(...asked);
		return status;
	}

	async stop(): Promise<void> {
		if (this.child?.exitCode === null) {
			this.child.kill('SIGKILL');
			await once(this.child, 'exit');
		}

		this.store.stop();
		for (const server of this.#servers) {
			server.closeAllConnections();
			server.close();
		}

		rmSync(this.#folder, {recursive: true});
	}
}

function site(t: ExecutionContext): Site {
	const made = new Site();
	t.teardown(async () => made.stop());
	return made;
}

/** Tries until it holds; the cap only ends a test that fails. */
async function until(holds: () => Promise<boolean>): Promise<void> {
	const end = Date.now() + capMs;
	while (!(await holds())) {
		if (Date.now() > end) {
			throw new Error(`not within ${capMs} ms`);
		}

		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
	}
}

function answer(
	req: IncomingMessage,
	res: ServerResponse,
	body: string,
	fields: Record<string, string> = {},
): void {
	res.writeHead(200, {
		'x-kingcuproute-request-id': String(
			req.headers['x-kingcuproute-request-id'],
		),
		'x-kingcuproute-server-stamp': 'signed',
		'x-kingcuproute-server-load': '1,0,3',
		...fields,
	});
	res.end(body);
}

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
	t.true(leftMs > 0 && leftMs <= 20_000, String(leftMs));
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
		t.is(await made.status(at, {}, body), status, at);
		t.is(ran.length, runs, ran.join(','));
	}
});

test('an answer to another request is passed to nobody', async (t) => {
	const made = site(t);
	await made.add('i-1', 'plain', (req, res, body) => {
		answer(req, res, body, {'x-kingcuproute-request-id': 'other'});
	});
	await made.start();
	t.is(await made.status('/book/x', {}, 'b'), 502);
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
	const ended = once(made.child!, 'exit');
	made.child!.kill('SIGTERM');
	await until(async () => (await made.isReady()) === 503);
	finish!();
	const {status} = await pending;
	t.is(status, 200);
	t.deepEqual(await ended, [0, null]);
});
