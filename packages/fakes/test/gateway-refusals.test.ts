/** What callers receive when a faulty server writes an earlier refusal a second time. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import test from 'ava';
import {CallerSocket, requestText} from './caller-socket.js';
import {
	createSite,
	sendAnswer,
	type RequestHandler,
	type Site,
} from './gateway-site.js';
import {pause, until} from './requests-fixture.js';

/** Long enough for a refusal to be taken for the answer of a running request. */
const runMs = 100;
const refusalStatus = 503;

/** When the refusal is written again; always on the connection on which it was first sent. */
type Moment = 'with the refusal' | 'while idle' | 'at the next request';

function refusalFields(id: string): Readonly<Record<string, string>> {
	return {
		'x-kingcuproute-request-id': id,
		'x-kingcuproute-not-executed': '1',
		'content-length': '0',
	};
}

function idOf(req: IncomingMessage): string {
	return String(req.headers['x-kingcuproute-request-id']);
}

/** A faulty server that declines its first request, runs all others, and writes the refusal a second time. */
class RefusalRepeater {
	/** Requests that ran, by id. */
	readonly ran: string[] = [];
	#repeat: (() => void) | undefined;

	constructor(private readonly moment: Moment) {}

	readonly handle: RequestHandler = (req, res, body) => {
		if (!this.#repeat) {
			this.#decline(req.socket, res, idOf(req));
			return;
		}

		this.ran.push(idOf(req));
		if (this.moment === 'at the next request') {
			this.#repeat();
		}

		setTimeout(() => {
			sendAnswer(req, res, body);
		}, runMs);
	};

	#decline(socket: Socket, res: ServerResponse, id: string): void {
		const fields = refusalFields(id);
		this.#repeat = () => {
			const lines = Object.entries(fields).map((field) => field.join(': '));
			socket.write(
				[`HTTP/1.1 ${refusalStatus} Full`, ...lines, '\r\n'].join('\r\n'),
			);
		};

		socket.cork();
		res.writeHead(refusalStatus, fields);
		res.end();
		if (this.moment === 'with the refusal') {
			this.#repeat();
		}

		socket.uncork();
		if (this.moment === 'while idle') {
			setTimeout(this.#repeat, runMs);
		}
	}
}

for (const moment of [
	'with the refusal',
	'while idle',
	'at the next request',
] as const) {
	test(`a refusal that is written again ${moment} is not taken for the answer of a request that the key holder runs`, async (t) => {
		const site = createSite(t);
		const holder = new RefusalRepeater(moment);
		await site.addServer('i-1', 'keyed', holder.handle);
		await site.start();
		let status = 0;
		await until(async () => {
			const key = {'x-kingcuproute-shard-key': '7'};
			status = await site.statusOf('/hold/x', key, 'b');
			return holder.ran.length > 0;
		});
		t.is(status, 200);
		t.deepEqual(holder.ran, ['q/hold/x']);
	});

	test(`a refusal that is written again ${moment} is not taken for the answer of a later request with the same id`, async (t) => {
		const site = createSite(t);
		const server = new RefusalRepeater(moment);
		await site.addServer('i-1', 'plain', server.handle);
		await site.start();
		t.is(await site.statusOf('/book/x', {}, 'b'), refusalStatus);
		await pause(moment === 'while idle' ? 2 * runMs : 0);
		t.is(await site.statusOf('/book/x', {}, 'b'), 200);
		t.deepEqual(server.ran, ['q/book/x']);
	});
}

test('a refusal that is written again is not taken for the answer of another request', async (t) => {
	const site = createSite(t);
	const server = new RefusalRepeater('at the next request');
	await site.addServer('i-1', 'plain', server.handle);
	await site.start();
	t.is(await site.statusOf('/book/x', {}, 'b'), refusalStatus);
	t.is(await site.statusOf('/book/y', {}, 'b'), 502);
	t.is(await site.statusOf('/book/z', {}, 'b'), 200);
	t.deepEqual(server.ran, ['q/book/y', 'q/book/z']);
});

test('errors that nothing has caught are logged, and requests are served on', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', (req, res, body) => {
		sendAnswer(req, res, body);
	});
	const fault = `process.on('SIGUSR2', () => {
		Promise.reject(new Error('rejected'));
		Promise.reject(undefined);
		throw new Error('thrown');
	});`;
	const url = `data:text/javascript,${encodeURIComponent(fault)}`;
	await site.start(Object.fromEntries([['NODE_OPTIONS', `--import=${url}`]]));
	site.signal('SIGUSR2');
	await site.line('message=thrown');
	await site.line('message=rejected');
	await site.line('message=undefined');
	t.is(await site.statusOf('/read/x'), 200);
	t.is(await site.terminate(), 0);
});

test('the log line of a request refused as overloaded names the least loaded server, its load and the bound', async (t) => {
	const site = createSite(t);
	const finishers: Array<() => void> = [];
	await site.addServer('i-1', 'plain', (req, res, body) => {
		finishers.push(() => {
			sendAnswer(req, res, body);
		});
	});
	await site.start();
	const pending = Array.from({length: 6}, async () => site.statusOf('/read/x'));
	await until(async () => finishers.length === 6);
	t.is(await site.statusOf('/read/x'), 503);
	const line = await site.line('reason=overloaded');
	t.regex(line, /backendServer=i-1 load=2.00 maxLoad=2 coldMs=0 candidates=1/);
	for (const finish of finishers) {
		finish();
	}

	t.deepEqual(new Set(await Promise.all(pending)), new Set([200]));
});

/** How long the daemon takes to answer a request whose caller allows `allowedMs`, of which these bytes arrive. */
async function answerTime(
	site: Site,
	{allowedMs, body}: {readonly allowedMs: number; readonly body: string},
) {
	const caller = await CallerSocket.open(site.entry);
	const sentAt = performance.now();
	caller.write(
		[
			'POST /book/slow HTTP/1.1',
			'host: shop.example',
			'x-kingcuproute-request-id: q',
			`x-kingcuproute-deadline-ms: ${allowedMs}`,
			'content-length: 10',
			'',
			body,
		].join('\r\n'),
	);
	await until(async () => caller.answers.length > 0);
	const tookMs = performance.now() - sentAt;
	caller.leave();
	return {tookMs, status: caller.answers[0].status};
}

test('a request that waits behind one that must not run twice is refused when its time is over, and never runs', async (t) => {
	const site = createSite(t);
	const runs: string[] = [];
	await site.addServer('i-1', 'plain', (req, res, body) => {
		runs.push(req.url!);
		if (req.url === '/book/first') {
			setTimeout(() => {
				sendAnswer(req, res, body);
			}, 2000);
		} else {
			sendAnswer(req, res, body);
		}
	});
	await site.start();
	const caller = await CallerSocket.open(site.entry);
	caller.write(requestText('/book/first') + requestText('/read/x', 500));
	const line = await site.line('reason=too-late');
	t.regex(line, /id=\/read\/x/);
	t.regex(line, /notRun=true/);
	t.true(Number(/tookMs=(\d+)/.exec(line)![1]) < 1000, `${line}`);
	await until(async () => caller.answers.length === 2);
	t.deepEqual(
		caller.answers.map(({status}) => status),
		[200, 503],
	);
	t.deepEqual(runs, ['/book/first']);
	caller.leave();
});

test('a request whose body does not arrive is refused when its time is over', async (t) => {
	const site = createSite(t);
	const runs: string[] = [];
	await site.addServer('i-1', 'plain', (req, res, body) => {
		runs.push(body);
		sendAnswer(req, res, body);
	});
	await site.start();
	for (const body of ['', 'half']) {
		const {tookMs, status} = await answerTime(site, {allowedMs: 1000, body});
		t.is(status, 503);
		t.true(tookMs > 900 && tookMs < 1500, `${tookMs} ms`);
	}

	t.deepEqual(runs, []);
});
