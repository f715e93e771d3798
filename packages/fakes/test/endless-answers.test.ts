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

/** Memory of the VM in bytes, as in the settings of the site. */
const memoryLen = 350_000_000;
/** Time that a loaded machine may add to a request. */
const slackMs = 3000;
const giveUpMs = 15_000;

type RequestEnd = {
	readonly path: string;
	readonly status: number | undefined;
	/** Whether the answer looked complete to its caller. */
	readonly whole: boolean;
	readonly tookMs: number;
};

/** A site with endless servers behind it. */
async function endlessSite(t: ExecutionContext, count = 1) {
	const site = createSite(t);
	const servers = await endlessServers(t, count);
	for (const [index, {port}] of servers.entries()) {
		site.registerServer(`i-${index}`, 'plain', port, 100);
	}

	await site.start();
	return {site, servers};
}

/** Paths of unsafe requests, one for each kind of answer. */
function paths(
	kinds: Readonly<Record<string, unknown>>,
	pace: Pace,
): readonly string[] {
	return Object.keys(kinds).map((kind) => `/book/${kind}-${pace}`);
}

/** Sends a request with a deadline of `deadlineMs`, which the signal aborts; resolves with how it ends. */
async function sendRequest(
	{entry}: Site,
	path: string,
	deadlineMs: number,
	signal = AbortSignal.timeout(giveUpMs),
): Promise<RequestEnd> {
	const sentAt = performance.now();
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
				'x-kingcuproute-deadline-ms': String(deadlineMs),
			},
		});
		status = res.statusCode;
		for await (const _chunk of res.body) {
			// Only how the body ends matters.
		}

		whole = true;
	} catch {
		// Cut off or aborted: `whole` stays false.
	}

	return {path, status, whole, tookMs: performance.now() - sentAt};
}

/** Whether all connections with endless answers are closed. */
function allClosed(servers: readonly EndlessServer[]): boolean {
	return servers.every(({endless}) => endless.size === 0);
}

test.serial(
	'an endless answer is cut off at the deadline of its request',
	async (t) => {
		const {site, servers} = await endlessSite(t);
		const deadlineMs = 1500;
		const requestPaths = [
			...paths({...bodiless, ...bodies, ...refusals}, 'trickle'),
			...paths({longLength: true}, 'flood'),
		];
		const ends = await Promise.all(
			requestPaths.map(async (path) => sendRequest(site, path, deadlineMs)),
		);
		for (const {path, status, whole, tookMs} of ends) {
			t.true(tookMs < deadlineMs + slackMs, `${path}: ${tookMs} ms`);
			t.false(whole && status === 200, `${path}: looks complete`);
			t.true(status !== 503 || path.includes('refusal'), `${path}: ${status}`);
		}

		await until(async () => allClosed(servers));
		t.deepEqual(
			[...servers[0].requestedPaths].sort(),
			[...requestPaths].sort(),
		);
		const {status} = await sendRequest(site, '/book/sound', deadlineMs);
		t.is(status, 200);
	},
);

test.serial(
	'the connection of a refusal with an endless body is closed',
	async (t) => {
		const {site, servers} = await endlessSite(t);
		const deadlineMs = 1500;
		const startedAt = performance.now();
		for (const path of [
			...paths(refusals, 'flood'),
			...paths(refusals, 'trickle'),
		]) {
			const {status} = await sendRequest(site, path, deadlineMs);
			t.is(status, 503);
		}

		await until(async () => allClosed(servers));
		t.true(performance.now() - startedAt < deadlineMs + slackMs);
	},
);

test.serial(
	'endless bytes outside a body are given up long before the deadline of the request',
	async (t) => {
		const {site, servers} = await endlessSite(t);
		const deadlineMs = 12_000;
		for (const path of paths(bodiless, 'flood')) {
			const {status, whole, tookMs} = await sendRequest(site, path, deadlineMs);
			t.deepEqual({status, whole}, {status: 502, whole: true}, path);
			t.true(tookMs < slackMs, `${path}: ${tookMs} ms`);
		}

		t.deepEqual(servers[0].requestedPaths, paths(bodiless, 'flood'));
		await until(async () => allClosed(servers));
	},
);

test.serial(
	'endless bytes after an answer close its connection and affect no other request',
	async (t) => {
		const {site, servers} = await endlessSite(t);
		for (const path of [
			...paths(extras, 'flood'),
			...paths(extras, 'trickle'),
		]) {
			const {status, whole} = await sendRequest(site, path, 5000);
			t.deepEqual({status, whole}, {status: 200, whole: true}, path);
			const startedAt = performance.now();
			await until(async () => allClosed(servers));
			t.true(performance.now() - startedAt < 5000, path);
		}

		const {status} = await sendRequest(site, '/book/sound', 5000);
		t.is(status, 200);
	},
);

test.serial(
	'an endless answer is dropped when its caller disconnects',
	async (t) => {
		const {site, servers} = await endlessSite(t);
		const requestPaths = paths({...bodiless, ...bodies}, 'trickle');
		const disconnect = new AbortController();
		const ends = Promise.all(
			requestPaths.map(async (path) =>
				sendRequest(site, path, 20_000, disconnect.signal),
			),
		);
		await until(
			async () => servers[0].requestedPaths.length === requestPaths.length,
		);
		disconnect.abort();
		await ends;
		const leftAt = performance.now();
		await until(async () => allClosed(servers));
		t.true(performance.now() - leftAt < 1000);
		t.is(servers[0].requestedPaths.length, requestPaths.length);
	},
);

test.serial(
	'a hundred endless answers in the smallest chunks fit into the memory of the VM',
	async (t) => {
		const {site, servers} = await endlessSite(t, 4);
		const requestPaths = Array.from({length: 100}, (_, index) =>
			index % 10 === 0
				? `/book/${index}/processing-flood`
				: `/book/${index}/tinyChunks-flood`,
		);
		const ends = await Promise.all(
			requestPaths.map(async (path) => sendRequest(site, path, 2000)),
		);
		t.true(ends.every(({status, whole}) => status !== 200 || !whole));
		t.true(site.peakMemory() < memoryLen, `${site.peakMemory()} bytes`);
		await until(async () => allClosed(servers));
		const statuses = await Promise.all(
			servers.map(async () => site.statusOf('/book/sound', {}, 'b')),
		);
		t.deepEqual(new Set(statuses), new Set([200]));
	},
);
