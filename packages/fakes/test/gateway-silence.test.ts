import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {SeededRandom} from '@kingcuproute/core';
import {
	createSite,
	plainConfig,
	sendAnswer,
	siteConfig,
	type RequestHandler,
	type Site,
} from './gateway-site.js';

/** The bounds of the fixture's settings. */
const outdatedMs = 3000;
const drainMs = 2000;
const configMs = 2000;
const rounds = 5;
const random = new SeededRandom(Number(process.env.SEED));

const answer: RequestHandler = (req, res, body) => {
	sendAnswer(req, res, body);
};

/** Sends a request to each target every 50 ms for `forMs`; resolves with the statuses. */
async function statusesFor(
	site: Site,
	target: string,
	forMs: number,
): Promise<number[]> {
	const statuses: number[] = [];
	for (const until = performance.now() + forMs; performance.now() < until;) {
		statuses.push(await site.statusOf(target, {}, 'b'));
		await sleep(50);
	}

	return statuses;
}

/** Some time in which connections to the store stay open and polls end and begin. */
async function keepPolling(): Promise<void> {
	await sleep(1000 + random.fraction() * 2000);
}

// Dead long polls used to keep a leaving server in use for up to 4 s, twice as long as allowed.
test('a server that leaves while connections to the store have gone silent gets no requests late', async (t) => {
	const site = createSite(t);
	for (let round = 0; round <= rounds; round++) {
		await site.addServer(`i-${round}`, 'plain', (req, res, body) => {
			// Slow enough that requests sent together use every server.
			setTimeout(() => {
				sendAnswer(req, res, body, {'x-served-by': `i-${round}`});
			}, 100);
		});
	}

	site.config = plainConfig;
	await site.start();
	for (let round = 0; round < rounds; round++) {
		await keepPolling();
		site.storeLink.silence();
		// A change within a second after the silence is due once the disturbance is over.
		const changesAfterMs = random.fraction() * (outdatedMs - drainMs);
		await sleep(changesAfterMs);
		site.store.markDraining(`i-${round}`);
		await sleep(outdatedMs - changesAfterMs);
		const answers = await Promise.all(
			Array.from({length: 2 * (rounds - round)}, async () =>
				site.send('/book/1', {}, 'b'),
			),
		);
		const servedBy = answers.map(({headers}) => headers['x-served-by']);
		t.false(servedBy.includes(`i-${round}`), `served by ${servedBy.join(' ')}`);
		t.deepEqual([...new Set(answers.map(({status}) => status))], [200]);
	}
});

// By the same cause, callers of a new route got 404 for as long.
test('a route that is added while connections to the store have gone silent is served in time', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', answer);
	await site.start();
	const {routes} = siteConfig;
	for (let round = 0; round < rounds; round++) {
		await keepPolling();
		site.storeLink.silence();
		await sleep(outdatedMs + 200);
		const path = `/new-${round}/`;
		const row = [
			'n',
			'shop.example',
			path,
			'unsafe',
			30_000,
			600,
			1,
			2,
			'plain',
		];
		site.store.put('config', 'main', {
			...siteConfig,
			version: `r${round + 2}`,
			routes: {...routes, rows: [...routes.rows, row]},
		});
		await sleep(configMs);
		const statuses = await statusesFor(site, `${path}1`, 500);
		t.deepEqual([...new Set(statuses)], [200]);
	}
});
