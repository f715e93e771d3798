/**
 * A request that crashes each backend server that begins to run it comes again and again,
 * while other callers use the same service. Counts how many of its retries reach backend
 * servers once the daemons have had time to learn of it.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Backend} from '../stand-ins/backend.js';
import {Case} from '../stand-ins/case.js';
import {bounds, desiredState} from '../stand-ins/fleet.js';

const poisonPath = '/look/item-41';
const retryEveryMs = 1500;
const retries = 14;
const daemonCount = 4;
const backendCount = 8;
const zones = 'abcd';
const downMs = 2500;
const warmupMs = 3000;
const allowedMs = 1200;
const othersEveryMs = 20;
/** The rule counts from the crash with this number, and breaks beyond this many retries. */
const countedFrom = 3;
const allowedRetries = 3;

const config = desiredState(
	1,
	[
		{
			name: 'lookup',
			host: 'shop.example',
			pathPrefix: '/look/',
			routeKind: 'safe',
			timeoutMs: 4000,
			targetLatencyMs: 600,
			priority: 2,
			maxAttempts: 2,
			service: 'catalogue',
		},
		{
			name: 'order',
			host: 'shop.example',
			pathPrefix: '/order/',
			routeKind: 'unsafe',
			timeoutMs: 4000,
			targetLatencyMs: 600,
			priority: 1,
			maxAttempts: 2,
			service: 'catalogue',
		},
	],
	[
		{
			name: 'catalogue',
			healthPath: '/health',
			maxConns: 130,
			coldPerS: 13,
			warmupS: warmupMs / 1000,
		},
	],
);

const test = new Case(import.meta.url);
const {record, store, fleet, backends} = test;
/** When each crash was, by the record's clock. */
const crashes = [];
/** Ids of the requests that reached a backend server. */
const reached = new Set();
let lives = 0;

async function addBackend(zone) {
	lives++;
	const isRestart = lives > backendCount;
	const backend = new Backend(
		{
			name: `i-${lives}`,
			service: 'catalogue',
			zone,
			workMs: () => 60,
			coldMs: isRestart ? warmupMs : 0,
		},
		store,
		{
			seen(event, fields) {
				record.add(event, fields);
				if (fields.path !== poisonPath) {
					return;
				}

				if (event === 'arrived') {
					reached.add(fields.id);
				} else if (event === 'ran' && test.hasTrouble) {
					crash(backend, zone);
				}
			},
		},
	);
	backends.add(backend);
	await backend.start();
}

/** Ends the backend server and starts it again, in a new lifetime, after some seconds. */
async function crash(backend, zone) {
	crashes.push(record.now());
	record.add('crashed', {server: backend.name, crash: crashes.length});
	backends.delete(backend);
	backend.crash();
	await sleep(downMs);
	backend.forget();
	if (!test.isOver) {
		await addBackend(zone);
	}
}

/** Other callers of the service: lookups and orders by turns. */
async function sendOthers() {
	const sent = [];
	for (let count = 0; !test.isOver; count++) {
		const daemon = fleet.daemons[count % daemonCount];
		const isOrder = count % 3 === 0;
		const request = test.send(daemon, {
			path: isOrder ? '/order/other' : '/look/other',
			method: isOrder ? 'POST' : 'GET',
			body: isOrder ? 'order' : undefined,
			allowedMs,
		});
		sent.push(request);
		await sleep(othersEveryMs);
	}

	await Promise.all(sent);
}

test.run(async () => {
	store.put('config', 'main', config);
	for (let index = 0; index < backendCount; index++) {
		await addBackend(zones[index % zones.length]);
	}

	await fleet.start(daemonCount, await store.start());
	await sleep(2000);
	const others = sendOthers();
	const sent = [];
	for (let retry = 0; retry < retries; retry++) {
		const at = record.now();
		const daemon = fleet.daemons[retry % daemonCount];
		const {id} = await test.send(daemon, {path: poisonPath, allowedMs});
		sent.push({id, at});
		await sleep(retryEveryMs);
	}

	test.isOver = true;
	await others;
	const countedAt = crashes[countedFrom - 1] + bounds.contactMs;
	const late = sent.filter(({id, at}) => at > countedAt && reached.has(id));
	record.add('judged', {
		crashes: crashes.length,
		lateRetriesThatReachedServers: late.length,
		allowed: allowedRetries,
	});
	return late.length <= allowedRetries;
});
