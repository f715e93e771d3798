import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {
	createSite,
	plainConfig,
	sendAnswer,
	type RequestHandler,
} from './gateway-site.js';
import {until} from './requests-fixture.js';

/** Declines a request as a full server does, with fields of its own. */
function decline(
	req: IncomingMessage,
	res: ServerResponse,
	fields: Record<string, string>,
): void {
	res.writeHead(503, {
		'x-kingcuproute-request-id': String(
			req.headers['x-kingcuproute-request-id'],
		),
		'x-kingcuproute-not-executed': '1',
		...fields,
	});
	res.end();
}

test('a server that says it is leaving gets no further requests, though its entry says ready', async (t) => {
	const site = createSite(t);
	const runs: string[] = [];
	for (const name of ['i-1', 'i-2']) {
		await site.addServer(name, 'plain', (req, res, body) => {
			runs.push(name);
			const fields = name === 'i-1' ? {'server-leaving': '1'} : undefined;
			sendAnswer(req, res, body, fields);
		});
	}

	await site.start();
	await until(async () => {
		await site.statusOf('/read/x');
		return runs.includes('i-1');
	});
	runs.length = 0;
	for (let count = 0; count < 20; count++) {
		t.is(await site.statusOf('/read/x'), 200);
	}

	t.false(runs.includes('i-1'));
	await site.line('event=server-leaving');
});

test('the only server of a service is used for a while after it says that it leaves, and then no longer', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', (req, res, body) => {
		sendAnswer(req, res, body, {'server-leaving': '1'});
	});
	await site.start();
	t.is(await site.statusOf('/read/x'), 200);
	const leavingSince = performance.now();
	t.is(await site.statusOf('/read/x'), 200);
	await until(async () => (await site.statusOf('/read/x')) === 503);
	t.true(performance.now() - leavingSince < 2000, 'within drainMs');
	const refused = await site.send('/book/x', {}, 'b');
	t.is(refused.status, 503);
	t.true(Number(refused.headers['retry-after']) > 0);
});

/** Holds each request of a server until the test answers it. */
class HeldRequests {
	readonly paths: string[] = [];
	#answers: Array<() => void> = [];

	readonly hold: RequestHandler = (req, res, body) => {
		this.paths.push(req.url!);
		this.#answers.push(() => {
			sendAnswer(req, res, body);
		});
	};

	answerAll(): void {
		const answers = this.#answers;
		this.#answers = [];
		for (const answer of answers) {
			answer();
		}
	}
}

/** A site at which a request waits for the one connection to server `i-1`, of which it has chosen. */
async function createSiteWithWaitingRequest(t: ExecutionContext) {
	const site = createSite(t);
	const held = new HeldRequests();
	const [row] = plainConfig.services.rows;
	site.config = {
		...plainConfig,
		services: {
			...plainConfig.services,
			rows: [row.with(plainConfig.services.columns.indexOf('maxConns'), 2)],
		},
	};
	await site.addServer('i-1', 'plain', held.hold);
	await site.start();
	const first = site.statusOf('/read/first');
	await until(async () => held.paths.length === 1);
	const second = site.statusOf('/book/second', {}, 'b');
	await until(async () =>
		site.log().some((line) => line.includes('q/book/second')),
	);
	return {site, held, first, second};
}

for (const notice of ['reports that it leaves', 'is gone'] as const) {
	test(`a request that waits for a connection is not sent to its server once that ${notice}`, async (t) => {
		const {site, held, first, second} = await createSiteWithWaitingRequest(t);
		if (notice === 'is gone') {
			site.store.remove('servers', 'i-1');
			await until(async () => (await site.statusOf('/read/x')) === 503);
		} else {
			site.store.markDraining('i-1');
			await site.line('event=server-leaving');
			await sleep(1800);
		}

		held.answerAll();
		t.is(await first, 200);
		t.is(await second, 503, 'no other server can take it');
		t.deepEqual(held.paths, ['/read/first']);
	});
}

test('a request that waits for a connection to a server that goes is sent to another one at once', async (t) => {
	const {site, held, first, second} = await createSiteWithWaitingRequest(t);
	await site.addServer('i-2', 'plain', sendAnswer);
	site.store.remove('servers', 'i-1');
	t.is(await second, 200, 'though the connection to i-1 is still busy');
	held.answerAll();
	t.is(await first, 200);
	t.deepEqual(held.paths, ['/read/first']);
});

test('a server that asks for a pause gets none of the requests that follow, and if all do, callers are told at once when to return', async (t) => {
	const site = createSite(t);
	const runs: string[] = [];
	const pausing = new Set(['i-1']);
	for (const name of ['i-1', 'i-2']) {
		await site.addServer(name, 'plain', (req, res, body) => {
			runs.push(name);
			if (pausing.has(name)) {
				decline(req, res, {'retry-after': '30'});
			} else {
				sendAnswer(req, res, body);
			}
		});
	}

	await site.start();
	for (let count = 0; count < 20; count++) {
		t.is(await site.statusOf('/book/x', {}, 'b'), 200);
	}

	t.true(runs.filter((name) => name === 'i-1').length <= 1);
	pausing.add('i-2');
	t.is(await site.statusOf('/book/x', {}, 'b'), 503);
	const count = runs.length;
	const sentAt = performance.now();
	const {status, headers, text} = await site.send('/book/x', {}, 'b');
	t.is(status, 503);
	t.regex(text, /held/);
	t.true(performance.now() - sentAt < 500, 'refused at once');
	const retryAfterS = Number(headers['retry-after']);
	t.true(retryAfterS > 25 && retryAfterS < 31, `${retryAfterS} s`);
	t.is(runs.length, count);
});

test('malformed announcements of a server are ignored, and logged once', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', (req, res, body) => {
		const isRefused = body === 'refused';
		const fields = {'server-leaving': 'soon', 'retry-after': '-1'};
		if (isRefused) {
			decline(req, res, fields);
		} else {
			sendAnswer(req, res, body, fields);
		}
	});
	await site.start();
	for (let count = 0; count < 3; count++) {
		t.is(await site.statusOf('/book/x', {}, 'refused'), 503);
		t.is(await site.statusOf('/book/x', {}, 'b'), 200);
	}

	const ignored = site
		.log()
		.filter((line) => line.includes('event=answer-field-ignored'));
	t.is(ignored.length, 2);
});

test('after a restart of the daemon a server that is leaving gets no requests, and no former holder gets those for its keys', async (t) => {
	const site = createSite(t);
	const runs: string[] = [];
	for (const [name, service] of [
		['i-1', 'plain'],
		['i-2', 'plain'],
		['k-1', 'keyed'],
	]) {
		await site.addServer(name, service, (req, res, body) => {
			runs.push(name);
			sendAnswer(req, res, body);
		});
	}

	await site.start();
	const key = {'x-kingcuproute-shard-key': '7'};
	await until(async () => (await site.statusOf('/clock/', key)) === 200);
	await site.addServer('k-2', 'keyed', (req, res, body) => {
		runs.push('k-2');
		sendAnswer(req, res, body);
	});
	site.store.markDraining('k-1');
	site.store.markDraining('i-1');
	await until(async () => {
		runs.length = 0;
		await site.statusOf('/clock/', key);
		return runs.includes('k-2');
	});
	await site.restart();
	runs.length = 0;
	await until(async () => (await site.statusOf('/clock/', key)) === 200);
	for (let count = 0; count < 10; count++) {
		t.is(await site.statusOf('/read/x'), 200);
		t.is(await site.statusOf('/clock/', key), 200);
	}

	t.deepEqual([...new Set(runs)].sort(), ['i-2', 'k-2']);
});
