/**
 * A daemon gets SIGTERM while a backend server that owns keys leaves, too, both as planned.
 * Counts the requests that the daemon has read whole and never answers.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Backend} from '../stand-ins/backend.js';
import {Case} from '../stand-ins/case.js';
import {bounds, desiredState} from '../stand-ins/fleet.js';

const daemonCount = 3;
const backendCount = 3;
/** The work and the time limit of `stock-report` on the site `ctrn-gw-grown`. */
const workMs = 1400;
const longWorkMs = 8000;
const allowedMs = 15_000;
const longPath = '/report/year';
const path = '/report/night';
/** By then each backend server holds its keys. */
const settleMs = 9000;
const sendEveryMs = 50;
/** From the beginning of the long work to the SIGTERM. */
const longBeforeMs = 500;
/** From the SIGTERM to the server's report that it is leaving. */
const drainAfterMs = 1000;
/** New connections come to a stopping daemon until the load balancer has asked twice. */
const noticedAfterMs = 2000;
const playMs = 12_000;
const secondMs = 1000;

const config = desiredState(
	1,
	[
		{
			name: 'report',
			host: 'shop.example',
			pathPrefix: '/report/',
			routeKind: 'safe',
			timeoutMs: allowedMs,
			targetLatencyMs: 4000,
			priority: 2,
			maxAttempts: 2,
			service: 'reports',
		},
	],
	[
		{
			name: 'reports',
			healthPath: '/health',
			maxConns: 130,
			coldPerS: 13,
			warmupS: 3,
			sharded: true,
		},
	],
);

const test = new Case(import.meta.url);
const {record, store, fleet, backends} = test;
/** Ids of the requests that reached a backend server. */
const passedOn = new Set();

function createBackend(index) {
	return new Backend(
		{
			name: `i-${index}`,
			service: 'reports',
			zone: 'abc'[index],
			keyed: true,
			workMs: (req) => (req.url === longPath ? longWorkMs : workMs),
		},
		store,
		{
			seen(event, fields) {
				record.add(event, fields);
				if (event === 'arrived') {
					passedOn.add(fields.id);
				}
			},
		},
	);
}

async function report(daemon, key, target = path) {
	const sentAt = record.now();
	const answer = await test.send(daemon, {
		path: target,
		allowedMs,
		headers: {'x-kingcuproute-shard-key': String(key)},
	});
	return {...answer, sentAt, endedAt: record.now()};
}

test.run(async () => {
	store.put('config', 'main', config);
	for (let index = 0; index < backendCount; index++) {
		const backend = createBackend(index);
		backends.add(backend);
		await backend.start();
	}

	await fleet.start(daemonCount, await store.start());
	await sleep(settleMs);
	const [leaving] = backends;
	const [stopping, staying] = fleet.daemons;
	const key = leaving.heldKey();
	record.add('settled', {server: leaving.name, key});
	const long = report(staying, key, longPath);
	await sleep(longBeforeMs);
	const stoppedAt = record.now();
	if (test.hasTrouble) {
		record.add('sigterm', {daemon: stopping.name});
		stopping.child.kill('SIGTERM');
	}

	const sent = [];
	let isDraining = false;
	while (record.now() - stoppedAt < noticedAfterMs) {
		if (!isDraining && record.now() - stoppedAt >= drainAfterMs) {
			isDraining = true;
			leaving.drain();
			record.add('draining', {server: leaving.name});
		}

		sent.push(report(stopping, key));
		await sleep(sendEveryMs);
	}

	await sleep(playMs - noticedAfterMs);
	const answers = await Promise.all(sent);
	await long;
	const graceEndsAt = stoppedAt + bounds.graceS * secondMs + secondMs;
	// A request that was passed on counts only if its backend server had long to finish it.
	const lost = answers.filter(
		({id, status, endedAt}) =>
			status === 0 && endedAt < graceEndsAt && !passedOn.has(id),
	);
	record.add('judged', {
		lost: lost.length,
		ofThose: lost.map(({tookMs}) => Math.round(tookMs)).join(','),
	});
	return lost.length === 0;
});
