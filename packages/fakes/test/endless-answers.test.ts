import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {
	bodies,
	bodiless,
	endlessServers,
	extras,
	refusals,
	type EndlessServer,
	type Pace,
} from './endless-servers.js';
import {createSite, type Site} from './gateway-site.js';
import {until} from './requests-fixture.js';

/** The VM's memory, as the site's settings have it. */
const memory = 350_000_000;
/** What a loaded machine may add to a request's time. */
const slackMs = 3000;
const patienceMs = 15_000;

type RequestEnd = {
	readonly path: string;
	readonly status: number | undefined;
	/** Whether the answer looked complete to its caller. */
	readonly whole: boolean;
	readonly tookMs: number;
};

/** A site whose servers answer without end. */
async function endlessSite(t: ExecutionContext, count = 1) {
	const site = createSite(t);
	const servers = await endlessServers(t, count);
	for (const [index, {port}] of servers.entries()) {
		site.registerServer(`i-${index}`, 'plain', port, 100);
	}

	await site.start();
	return {site, servers};
}

/** Paths of requests that may not be repeated. */
function paths(
	kinds: Readonly<Record<string, unknown>>,
	pace: Pace,
): readonly string[] {
	return Object.keys(kinds).map((kind) => `/book/${kind}-${pace}`);
}

/** How a request to `path` ends for a caller that tells of `allowedMs` and leaves at the signal. */
async function sendRequest(
	{entry}: Site,
	path: string,
	allowedMs: number,
	signal = AbortSignal.timeout(patienceMs),
): Promise<RequestEnd> {
	const askedAt = performance.now();
	let status: number | undefined;
	let whole = false;
	try {
		const res = await request(`http://${entry}${path}`, {
			method: 'POST',
			body: 'b',
			signal,
			headers: {
				host: 'shop.example',
				'x-kingcuproute-request-id': `q${path}`,
				'x-kingcuproute-deadline-ms': String(allowedMs),
			},
		});
		status = res.statusCode;
		for await (const _part of res.body) {
			// What counts is how it ends.
		}

		whole = true;
	} catch {
		// Cut, or given up: `whole` says so.
	}

	return {path, status, whole, tookMs: performance.now() - askedAt};
}

/** Whether no server has a connection left on which something endless was begun. */
function allClosed(servers: readonly EndlessServer[]): boolean {
	return servers.every(({endless}) => endless.size === 0);
}

test.serial(
	'an answer that never ends is over when the request has to be',
	async (t) => {
		const {site, servers} = await endlessSite(t);
		const allowedMs = 1500;
		const asked = [
			...paths({...bodiless, ...bodies, ...refusals}, 'trickle'),
			...paths({longLength: true}, 'flood'),
		];
		const ends = await Promise.all(
			asked.map(async (path) => sendRequest(site, path, allowedMs)),
		);
		for (const {path, status, whole, tookMs} of ends) {
			t.true(tookMs < allowedMs + slackMs, `${path}: ${tookMs} ms`);
			t.false(whole && status === 200, `${path}: looks complete`);
			t.true(status !== 503 || path.includes('refusal'), `${path}: ${status}`);
		}

		await until(async () => allClosed(servers));
		t.deepEqual([...servers[0].requestedPaths].sort(), [...asked].sort());
		const {status} = await sendRequest(site, '/book/sound', allowedMs);
		t.is(status, 200);
	},
);

test.serial(
	'a refusal with a body that never ends leaves its connection',
	async (t) => {
		const {site, servers} = await endlessSite(t);
		const allowedMs = 1500;
		const begunAt = performance.now();
		for (const path of [
			...paths(refusals, 'flood'),
			...paths(refusals, 'trickle'),
		]) {
			const {status} = await sendRequest(site, path, allowedMs);
			t.is(status, 503);
		}

		await until(async () => allClosed(servers));
		t.true(performance.now() - begunAt < allowedMs + slackMs);
	},
);

test.serial(
	'bytes without end beside a body are not read for as long as the request may take',
	async (t) => {
		const {site, servers} = await endlessSite(t);
		const allowedMs = 12_000;
		for (const path of paths(bodiless, 'flood')) {
			const {status, whole, tookMs} = await sendRequest(site, path, allowedMs);
			t.deepEqual({status, whole}, {status: 502, whole: true}, path);
			t.true(tookMs < slackMs, `${path}: ${tookMs} ms`);
		}

		t.deepEqual(servers[0].requestedPaths, paths(bodiless, 'flood'));
		await until(async () => allClosed(servers));
	},
);

test.serial(
	'bytes without end after an answer cost its connection and no other request',
	async (t) => {
		const {site, servers} = await endlessSite(t);
		for (const path of [
			...paths(extras, 'flood'),
			...paths(extras, 'trickle'),
		]) {
			const {status, whole} = await sendRequest(site, path, 5000);
			t.deepEqual({status, whole}, {status: 200, whole: true}, path);
			const begunAt = performance.now();
			await until(async () => allClosed(servers));
			t.true(performance.now() - begunAt < 5000, path);
		}

		const {status} = await sendRequest(site, '/book/sound', 5000);
		t.is(status, 200);
	},
);

test.serial(
	'a caller that leaves takes the answer that never ends with it',
	async (t) => {
		const {site, servers} = await endlessSite(t);
		const asked = paths({...bodiless, ...bodies}, 'trickle');
		const leave = new AbortController();
		const ends = Promise.all(
			asked.map(async (path) => sendRequest(site, path, 20_000, leave.signal)),
		);
		await until(async () => servers[0].requestedPaths.length === asked.length);
		leave.abort();
		await ends;
		const leftAt = performance.now();
		await until(async () => allClosed(servers));
		t.true(performance.now() - leftAt < 1000);
		t.is(servers[0].requestedPaths.length, asked.length);
	},
);

test.serial(
	'a hundred answers in the smallest parts, all without end, fit the memory of the VM',
	async (t) => {
		const {site, servers} = await endlessSite(t, 4);
		const asked = Array.from({length: 100}, (_, index) =>
			index % 10 === 0
				? `/book/${index}/processing-flood`
				: `/book/${index}/tinyChunks-flood`,
		);
		const ends = await Promise.all(
			asked.map(async (path) => sendRequest(site, path, 2000)),
		);
		t.true(ends.every(({status, whole}) => status !== 200 || !whole));
		t.true(site.peakMemory() < memory, `${site.peakMemory()} bytes`);
		await until(async () => allClosed(servers));
		const statuses = await Promise.all(
			servers.map(async () => site.statusOf('/book/sound', {}, 'b')),
		);
		t.deepEqual(new Set(statuses), new Set([200]));
	},
);
