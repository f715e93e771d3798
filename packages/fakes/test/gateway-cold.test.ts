import test from 'ava';
import {createSite, sendAnswer, sendHealth, type Site} from './gateway-site.js';
import {until} from './requests-fixture.js';

/** Requests that a cold server may get in one second: 1.5 times `coldPerS` of the site's configuration, and 5. */
const maxColdRequests = 1.5 * 2.8 + 5;
const key = {'x-kingcuproute-shard-key': '7'};

/** A server whose answers to health checks say whether it is cold; its entry says that it is warm. */
type WarmingServer = {
	isCold: boolean;
	answersChecks: boolean;
	/** When it got each request, in ms. */
	requests: number[];
	checks: number;
};

async function addWarmingServer(
	site: Site,
	name: string,
	service: string,
): Promise<WarmingServer> {
	const server: WarmingServer = {
		isCold: false,
		answersChecks: true,
		requests: [],
		checks: 0,
	};
	await site.addServer(
		name,
		service,
		(req, res, body) => {
			server.requests.push(performance.now());
			sendAnswer(req, res, body);
		},
		(res) => {
			server.checks++;
			if (server.answersChecks) {
				sendHealth(res, name, server.isCold ? 3000 : 0);
			}
		},
	);
	return server;
}

/** The most requests that the server got within one second. */
function mostInOneSecond({requests}: WarmingServer): number {
	const counts = requests.map(
		(start) =>
			requests.filter((time) => time >= start && time < start + 1000).length,
	);
	return Math.max(0, ...counts);
}

/** Sends `count` requests in quick succession; resolves with the number answered with 200. */
async function sendMany(
	count: number,
	send: () => Promise<number>,
): Promise<number> {
	const statuses: number[] = [];
	while (statuses.length < count) {
		statuses.push(...(await Promise.all([send(), send(), send()])));
	}

	return statuses.filter((status) => status === 200).length;
}

test('a daemon cut off from the store sends no flood to a server that has become cold meanwhile', async (t) => {
	const site = createSite(t);
	const cold = await addWarmingServer(site, 'i-1', 'plain');
	const warm = await addWarmingServer(site, 'i-2', 'plain');
	await site.start();
	t.is(await site.statusOf('/read/x'), 200);
	site.store.failing = 503;
	await site.line('event=store-lost');
	cold.isCold = true;
	cold.requests = [];
	const served = await sendMany(60, async () => site.statusOf('/read/x'));
	t.is(served, 60);
	const most = mostInOneSecond(cold);
	t.true(most <= maxColdRequests, `${most} requests`);
	t.true(
		cold.requests.length <= maxColdRequests,
		'the warm one gets the others',
	);
	t.true(warm.requests.length >= 60 - maxColdRequests);
});

test('a daemon cut off from the store sends the cold holder of a key no more than it can take', async (t) => {
	const site = createSite(t);
	const holder = await addWarmingServer(site, 'k-1', 'keyed');
	await site.start();
	await until(async () => (await site.statusOf('/clock/', key)) === 200);
	site.store.failing = 503;
	await site.line('event=store-lost');
	holder.isCold = true;
	holder.requests = [];
	await sendMany(60, async () => site.statusOf('/clock/', key));
	const most = mostInOneSecond(holder);
	t.true(most <= maxColdRequests, `${most} requests`);
});

test('servers of a failure domain that is back in service get no flood though their entries do not say yet that they are cold', async (t) => {
	const site = createSite(t);
	const cold = await addWarmingServer(site, 'i-1', 'plain');
	await site.start();
	t.is(await site.statusOf('/read/x'), 200);
	site.store.put('evacuations', 'a', {});
	await until(async () => (await site.statusOf('/read/x')) === 503);
	cold.isCold = true;
	cold.requests = [];
	site.store.remove('evacuations', 'a');
	await until(async () => {
		const lines = site.log().filter((line) => line.includes('=domains-out'));
		return lines.at(-1)!.endsWith('failureDomains=""');
	});
	await sendMany(60, async () => site.statusOf('/read/x'));
	const most = mostInOneSecond(cold);
	t.true(most <= maxColdRequests, `${most} requests`);
});

test('a daemon that starts sends nothing to a failure domain before it knows whether that is in service', async (t) => {
	const site = createSite(t);
	const server = await addWarmingServer(site, 'i-1', 'plain');
	site.store.put('evacuations', 'a', {});
	// The daemon asks again after each failure, long after it has read the other kinds.
	site.store.failures.set('evacuations', 4);
	await site.start();
	t.is(await site.statusOf('/read/x'), 503);
	t.is(server.requests.length, 0);
});

test('a daemon cut off from the store serves every request at warm servers, with a check for each request at the most, and ten a second for each server', async (t) => {
	const site = createSite(t);
	const servers = [
		await addWarmingServer(site, 'i-1', 'plain'),
		await addWarmingServer(site, 'i-2', 'plain'),
	];
	await site.start();
	t.is(await site.statusOf('/read/x'), 200);
	t.is(servers[0].checks + servers[1].checks, 0, 'no checks while in touch');
	site.store.failing = 503;
	await site.line('event=store-lost');
	const startedAt = performance.now();
	const served = await sendMany(90, async () => site.statusOf('/read/x'));
	t.is(served, 90);
	const checks = servers[0].checks + servers[1].checks;
	const turns = 1 + (performance.now() - startedAt) / 100;
	t.true(checks <= Math.min(90, servers.length * turns), `${checks} checks`);
});

test('a server that answers no checks gets what a cold server can take while the store is away, and all once it is back', async (t) => {
	const site = createSite(t);
	const server = await addWarmingServer(site, 'i-1', 'plain');
	server.answersChecks = false;
	await site.start();
	site.store.failing = 503;
	await site.line('event=store-lost');
	server.requests = [];
	await until(async () => (await site.statusOf('/read/x')) === 200);
	t.true(server.requests.length > 0);
	site.store.failing = undefined;
	await until(async () => {
		const sent = 10;
		const served = await sendMany(sent, async () => site.statusOf('/read/x'));
		return served >= sent;
	});
	t.pass();
});
