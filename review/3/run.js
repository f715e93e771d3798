/**
 * The open connections to the store go silent while new ones work. Once the daemons count
 * as in touch again, a backend server reports that it is leaving. Counts the requests that
 * reach it later than the platform allows.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Backend} from '../stand-ins/backend.js';
import {Case} from '../stand-ins/case.js';
import {bounds, desiredState} from '../stand-ins/fleet.js';
import {Link} from '../stand-ins/link.js';

const daemonCount = 11;
/** Each round has a server that leaves. */
const rounds = 3;
const backendCount = 5;
const workMs = 100;
const allowedMs = 1500;
const sendEveryMs = 8;
/** Before the clients begin. */
const settleMs = 2000;
/** From the silence to the report: longer than `contactMs`, so that all daemons are in touch. */
const drainAfterMs = bounds.contactMs + 200;
/** Before each round. */
const betweenMs = 2000;
/** How long the leaving server goes on serving after its report. */
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
			warmupS: 3,
		},
	],
);

const test = new Case(import.meta.url);
const {record, store, fleet, backends} = test;
const link = new Link();
/** When each server that leaves reported it, by index. */
const drainedAt = new Map();
let lateCount = 0;
let lastMs = 0;

function createBackend(index) {
	return new Backend(
		{
			name: `i-${index}`,
			service: 'bookings',
			zone: 'abc'[index % 3],
			workMs: () => workMs,
		},
		store,
		{
			seen(event, fields) {
				record.add(event, fields);
				const sinceMs = Math.round(
					record.now() - (drainedAt.get(index) ?? Infinity),
				);
				if (event === 'arrived' && sinceMs > bounds.drainMs) {
					lateCount++;
					lastMs = Math.max(lastMs, sinceMs);
					record.add('late', {id: fields.id, sinceMs});
				}
			},
		},
	);
}

async function sendAll() {
	const sent = [];
	for (let count = 0; !test.isOver; count++) {
		const request = test.send(fleet.daemons[count % daemonCount], {
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
	for (let index = 0; index < backendCount; index++) {
		const backend = createBackend(index);
		backends.add(backend);
		await backend.start();
	}

	await fleet.start(daemonCount, await link.start(await store.start()));
	await sleep(settleMs);
	const sending = sendAll();
	await sleep(betweenMs);
	const servers = [...backends];
	for (let round = 0; round < rounds; round++) {
		const leaving = servers[round];
		if (test.hasTrouble) {
			record.add('silenced', {connections: link.silence()});
		}

		await sleep(drainAfterMs);
		leaving.drain();
		drainedAt.set(round, record.now());
		record.add('draining', {server: leaving.name});
		await sleep(leaveMs);
		backends.delete(leaving);
		leaving.stop();
		await sleep(betweenMs);
	}

	test.isOver = true;
	await sending;
	link.stop();
	record.add('judged', {late: lateCount, lastMs, allowedMs: bounds.drainMs});
	return lateCount === 0;
});
