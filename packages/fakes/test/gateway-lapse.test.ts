import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {
	createSite,
	plainConfig,
	sendAnswer,
	type Site,
} from './gateway-site.js';

/** The bounds of the fixture's settings. */
const drainMs = 2000;
const reportMs = 870;
/** How long servers stay in service after the store's return, by the platform's rules. */
const keptMs = 2000;
const names = Array.from({length: 10}, (_, index) => `i-${index}`);
const leaving = names.slice(0, 4);
/** A daemon that lost the store calls it again at least this often. */
const retryMs = 2500;

async function startSite(t: ExecutionContext): Promise<Site> {
	const site = createSite(t);
	for (const name of names) {
		await site.addServer(name, 'plain', (req, res, body) => {
			// Slow enough that requests sent together use every server.
			setTimeout(() => {
				sendAnswer(req, res, body, {'x-served-by': name});
			}, 100);
		});
	}

	site.config = plainConfig;
	await site.start();
	await sleep(1000);
	return site;
}

/** Sends requests together; resolves with the names of the servers that answered. */
async function serversUsed(site: Site): Promise<ReadonlySet<unknown>> {
	const answers = await Promise.all(
		names.map(async () => site.send('/book/1', {}, 'b')),
	);
	return new Set(answers.map(({headers}) => headers['x-served-by']));
}

// Any third of all entries used to count as lapsed, and the servers got requests for 2 s more.
test('servers that leave together without a report get no requests late', async (t) => {
	const site = await startSite(t);
	// The removal is read with the changes that follow this one, 0.3 x drainMs later.
	site.registerServer('i-9', 'plain', site.servedPort(), 4);
	await sleep(100);
	for (const name of leaving) {
		site.store.remove('servers', name);
	}

	await sleep(drainMs);
	const used = await serversUsed(site);
	t.deepEqual(
		leaving.filter((name) => used.has(name)),
		[],
	);
});

test('servers whose entries lapsed while the store was away are used when it returns, until they had time to register again', async (t) => {
	const site = await startSite(t);
	site.storeLink.setFaults({silentTo: true, silentFrom: true});
	await sleep(3 * reportMs);
	for (const name of names) {
		site.store.remove('servers', name);
	}

	await sleep(2000);
	site.storeLink.setFaults();
	site.storeLink.cut();
	await site.line('event=lapsed-servers-kept');
	const used = await serversUsed(site);
	t.true(used.size > 1 && !used.has(undefined), [...used].join(' '));
	await sleep(retryMs + keptMs);
	t.is(await site.statusOf('/book/1', {}, 'b'), 503);
});

/** A site with one server whose entry is lost in a restore of the store. */
async function startRestoredSite(t: ExecutionContext): Promise<Site> {
	const site = createSite(t);
	const {store} = site;
	store.era = 1;
	site.config = plainConfig;
	const copy = store.copy();
	await site.addServer('i-0', 'plain', (req, res, body) => {
		sendAnswer(req, res, body);
	});
	await site.start();
	t.is(await site.statusOf('/book/1', {}, 'b'), 200);
	// The daemon hears from the store until it goes away, and so finds that it was away only for a moment.
	for (let count = 0; count < 30; count++) {
		store.put('evacuations', 'z', {count});
		await sleep(50);
	}

	store.forget('servers', 'i-0');
	store.goAway();
	await sleep(reportMs / 2);
	store.restore(copy);
	t.is(store.specOf('servers', 'i-0'), undefined);
	return site;
}

// A server whose entry the copy lacked was out of service until it had registered again.
test('a server whose entry is lost when the store is restored from a copy is used until it had time to register again', async (t) => {
	const site = await startRestoredSite(t);
	for (let count = 0; count < 10; count++) {
		t.is(await site.statusOf('/book/1', {}, 'b'), 200);
		await sleep(100);
	}

	site.registerServer('i-0', 'plain', site.servedPort());
	await sleep(keptMs + 500);
	t.is(await site.statusOf('/book/1', {}, 'b'), 200);
});

test('a server that does not register again after a restore of the store gets no requests late', async (t) => {
	const site = await startRestoredSite(t);
	await sleep(retryMs + keptMs);
	t.is(await site.statusOf('/book/1', {}, 'b'), 503);
});
