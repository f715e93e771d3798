import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {crashReportsKind} from '@kingcuproute/platform';
import {
	createSite,
	sendAnswer,
	type RequestHandler,
	type Site,
} from './gateway-site.js';
import {until as untilMet} from './requests-fixture.js';

/** By the rules, how many retries may reach servers once the third crash has been known for a while. */
const allowedRetries = 3;
const crashesUntilKnown = 3;
/** How long daemons have to learn of a change. */
const knownMs = 3000;
/** A crashed server's entry lapses after this. */
const lapseMs = 2600;
const poison = '/read/poison';

/** Adds servers that crash when they begin to run the poison request, and answer all others. */
async function addServers(site: Site, count: number) {
	const crashes: number[] = [];
	const arrivals: number[] = [];
	for (let index = 0; index < count; index++) {
		const name = `i-${index}`;
		await site.addServer(name, 'plain', (req, res, body) => {
			if (req.url !== poison) {
				setTimeout(() => {
					sendAnswer(req, res, body);
				}, 20);
				return;
			}

			arrivals.push(performance.now());
			crashes.push(performance.now());
			site.crashServer(name);
			setTimeout(() => {
				site.store.remove('servers', name);
			}, lapseMs);
		});
	}

	return {crashes, arrivals};
}

// Nothing kept such a request from any number of servers.
test('a request that crashes servers reaches few of them, others are served, and a daemon that starts anew knows it', async (t) => {
	const site = createSite(t);
	const {crashes, arrivals} = await addServers(site, 14);
	await site.start();
	const others: number[] = [];
	const until = new AbortController();
	const sendOthers = async () => {
		while (!until.signal.aborted) {
			others.push(await site.statusOf('/read/other'));
		}
	};

	const sending = [sendOthers(), sendOthers(), sendOthers()];
	const statuses: number[] = [];
	for (let count = 0; count < 10; count++) {
		statuses.push(await site.statusOf(poison));
		await sleep(1000);
	}

	until.abort();
	await Promise.all(sending);
	t.true(crashes.length >= crashesUntilKnown);
	const knownAt = crashes[crashesUntilKnown - 1] + knownMs;
	t.true(arrivals.filter((at) => at > knownAt).length <= allowedRetries);
	t.is(statuses.at(-1), 503);
	t.false(others.includes(503), 'an innocent request was refused');
	await site.line('event=request-quarantined');
	const before = arrivals.length;
	await site.restart();
	const refusal = await site.send(poison);
	t.is(refusal.status, 503);
	t.true(Number(refusal.headers['retry-after']) > 0);
	t.regex(refusal.text, /"reason":"quarantined","notRun":true/);
	t.is(arrivals.length, before);
	t.is(await site.statusOf('/read/other'), 200);
});

test('a request whose connections broke at servers that go on is served again and again', async (t) => {
	const site = createSite(t);
	let isBroken = true;
	const handle: RequestHandler = (req, res, body) => {
		if (isBroken) {
			req.socket.destroy();
		} else {
			sendAnswer(req, res, body);
		}
	};

	for (const name of ['i-1', 'i-2', 'i-3', 'i-4']) {
		await site.addServer(name, 'plain', handle);
	}

	await site.start();
	for (let count = 0; count < 5; count++) {
		t.is(await site.statusOf('/read/1'), 502);
	}

	isBroken = false;
	t.is(await site.statusOf('/read/1'), 200);
});

// A daemon that started after the restore sent the request to further servers.
test('what crashes have shown is written again if a copy from which the store is restored lacks it', async (t) => {
	const site = createSite(t);
	const {store} = site;
	store.era = 1;
	await addServers(site, 6);
	await site.start();
	const copy = store.copy();
	const report = () => store.specOf(crashReportsKind, 'front-a-1');
	await site.statusOf(poison);
	await untilMet(async () => report() !== undefined);
	await sleep(1000);
	const known = report();
	store.goAway();
	await sleep(1000);
	store.restore(copy);
	t.is(report(), undefined);
	await untilMet(async () => report() !== undefined);
	t.deepEqual(report(), known);
});
