/**
 * The backend servers of one failure domain are replaced. New servers start elsewhere, and
 * then the entries of the old ones are removed from the store at once, without a report
 * before; the old servers serve on for a while. Counts the requests that reach them later
 * than the platform allows.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Backend} from '../stand-ins/backend.js';
import {Case} from '../stand-ins/case.js';
import {bounds, desiredState} from '../stand-ins/fleet.js';

const daemonCount = 4;
/** Backend servers by failure domain; those of the first leave. */
const domains = {a: 4, b: 3, c: 3};
const leavingDomain = 'a';
const newDomains = ['b', 'c'];
const workMs = 100;
const warmupMs = 3000;
const allowedMs = 1500;
const sendEveryMs = 8;
/** From the start of the first new server to that of the second, and on to the removal, which comes up to `jitterMs` later. */
const newEveryMs = 1000;
const jitterMs = 870;
/** Before the clients begin. */
const settleMs = 2000;
/** How long the leaving servers go on serving. */
const leaveMs = 4000;

const config = desiredState(
	1,
	[
		{
			name: 'booking',
			host: 'shop.example',
			pathPrefix: '/book/',
			routeKind: 'unsafe',
			timeoutMs: 4000,
			targetLatencyMs: 400,
			priority: 1,
			maxAttempts: 2,
			service: 'bookings',
		},
	],
	[
		{
			name: 'bookings',
			healthPath: '/health',
			maxConns: 130,
			coldPerS: 13,
			warmupS: warmupMs / 1000,
		},
	],
);

const test = new Case(import.meta.url);
const {record, store, fleet, backends} = test;
let removedAt = Infinity;
let lateCount = 0;
let lastMs = 0;
let count = 0;

async function addBackend(zone, coldMs = 0) {
	count++;
	const backend = new Backend(
		{
			name: `i-${count}`,
			service: 'bookings',
			zone,
			coldMs,
			workMs: () => workMs,
		},
		store,
		{
			seen(event, fields) {
				record.add(event, fields);
				const sinceMs = Math.round(record.now() - removedAt);
				if (
					event === 'arrived' &&
					zone === leavingDomain &&
					sinceMs > bounds.drainMs
				) {
					lateCount++;
					lastMs = sinceMs;
					record.add('late', {...fields, sinceMs});
				}
			},
		},
	);
	backends.add(backend);
	await backend.start();
}

async function sendAll() {
	const sent = [];
	for (let number = 0; !test.isOver; number++) {
		const request = test.send(fleet.daemons[number % daemonCount], {
			path: '/book/heater',
			method: 'POST',
			body: 'two heaters',
			allowedMs,
		});
		sent.push(request);
		await sleep(sendEveryMs);
	}

	await Promise.all(sent);
}

test.run(async () => {
	store.put('config', 'main', config);
	for (const [zone, servers] of Object.entries(domains)) {
		for (let number = 0; number < servers; number++) {
			await addBackend(zone);
		}
	}

	await fleet.start(daemonCount, await store.start());
	await sleep(settleMs);
	const sending = sendAll();
	await sleep(settleMs);
	for (const zone of newDomains) {
		await addBackend(zone, warmupMs);
		await sleep(newEveryMs);
	}

	await sleep(Math.random() * jitterMs);
	if (test.hasTrouble) {
		const leaving = [...backends].filter(
			({options}) => options.zone === leavingDomain,
		);
		removedAt = record.now();
		for (const backend of leaving) {
			backend.leaveUnannounced();
			record.add('removed', {server: backend.name});
		}
	}

	await sleep(leaveMs);
	test.isOver = true;
	await sending;
	record.add('judged', {late: lateCount, lastMs, allowedMs: bounds.drainMs});
	return lateCount === 0;
});
