import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type Kind, type KindValue, type SliceTable} from '@kingcuproute/core';
import {request} from 'undici';
import {Deployment, type Run, type RunningServer} from '../src/index.js';

const service = 'ticket-desk';
const domains = ['fd-a', 'fd-b', 'fd-c', 'fd-d'];
const startTimeoutMs = 40_000;
const drainTimeoutMs = 10_000;
const bookingIntervalMs = 40;
const burst = 2;
const movesPerSecond = 1;

type Fleet = {
	readonly deployment: Deployment;
	readonly servers: readonly RunningServer[];
	readonly entries: readonly string[];
};

async function start(t: ExecutionContext): Promise<Fleet> {
	const deployment = await Deployment.start();
	t.teardown(async () => deployment.stop());
	await deployment.createObject('service', service, {
		service,
		slices: 16,
		slots: 3,
		connections: 130,
		checksFence: true,
		deadlineMs: 5000,
		slowStartMs: 0,
	});
	await deployment.createObject('contract', 'tiktak-haus', {
		customer: 'tiktak-haus',
		services: [service],
		ratePerSecond: 1000,
		burst: 1000,
		concurrency: 100,
		weight: 1,
	});
	const servers: RunningServer[] = [];
	for (const failureDomain of domains) {
		const value = {failureDomain, region: 'main', out: false};
		await deployment.createObject('failure-domain', failureDomain, value);
		const name = `desk-${failureDomain}`;
		const plan = {name, service, failureDomain, keyed: true};
		servers.push(await deployment.server(plan));
	}

	const placement = {moveBurst: burst, movesPerSecond};
	const daemons = await Promise.all(
		domains.map(async (domain, index) =>
			deployment.daemon(`vm-${index}`, domain, {placement}),
		),
	);
	const fleet = {deployment, servers, entries: daemons.map(({entry}) => entry)};
	await until(t, startTimeoutMs, async () => {
		const {rows, guards} = await tableOf(fleet);
		return (
			rows.length > 0 &&
			Object.values(guards).every(({incarnation}) => incarnation !== '')
		);
	});
	return fleet;
}

async function tableOf({deployment}: Fleet): Promise<SliceTable> {
	const stored = await deployment.objects.get('table', service);
	return stored
		.map(({value}) => value as SliceTable)
		.orDefault({service, rows: [], guards: {}, writer: ''});
}

/** The number of slices that a server owns according to the table. */
async function ownedCount(fleet: Fleet, server: string): Promise<number> {
	const {rows} = await tableOf(fleet);
	return rows.filter(({owner}) => owner === server).length;
}

/** Changes an object as an operator does: on condition that it still has the version just read. */
async function change<K extends Kind>(
	{deployment}: Fleet,
	kind: K,
	name: string,
	part: Partial<KindValue<K>>,
) {
	const read = await deployment.objects.get(kind, name);
	const {version, value} = read.unsafeCoerce();
	return deployment.objects.update(kind, name, version, {
		...value!,
		...part,
	});
}

/** Waits until the condition holds and returns the time taken in ms; fails the test after `ms`. */
async function until(
	t: ExecutionContext,
	limitMs: number,
	condition: () => Promise<boolean>,
): Promise<number> {
	const startedAt = performance.now();
	while (!(await condition())) {
		if (performance.now() - startedAt > limitMs) {
			t.fail(`condition not met within ${limitMs} ms`);
			return Infinity;
		}

		await sleep(50);
	}

	return performance.now() - startedAt;
}

/**
 * Sends bookings by key until the returned function is called, which returns how many
 * were answered with 200, how many ran more than once, and how many were answered but
 * never ran.
 */
function startBookings({entries, servers}: Fleet) {
	const stopping = new AbortController();
	const answered: string[] = [];
	const work = entries.map(async (entry, index) => {
		for (let count = 0; !stopping.signal.aborted; count++) {
			const path = `/${service}/deposit/${index}-${count}`;
			const res = await request(`http://${entry}${path}`, {
				method: 'POST',
				headers: {'x-customer': 'tiktak-haus', 'x-key': `key-${count % 40}`},
				body: 'ten',
			});
			await res.body.dump();
			if (res.statusCode === 200) {
				answered.push(path);
			}

			await sleep(bookingIntervalMs);
		}
	});
	return async () => {
		stopping.abort();
		await Promise.all(work);
		const runs = new Map<string, number>();
		for (const {address} of servers) {
			const res = await request(`http://${address}/journal`);
			for (const {path} of (await res.body.json()) as readonly Run[]) {
				runs.set(path, (runs.get(path) ?? 0) + 1);
			}
		}

		return {
			answered: answered.length,
			doubled: [...runs.values()].filter((times) => times > 1).length,
			missing: answered.filter((path) => !runs.has(path)).length,
		};
	};
}

test('a server taken out by two operators at once loses its slices under traffic, and gets slices back at a bounded rate', async (t) => {
	const fleet = await start(t);
	const stop = startBookings(fleet);
	const server = 'desk-fd-a';
	const owned = await ownedCount(fleet, server);
	// Both operators have read the server before either writes.
	const {objects} = fleet.deployment;
	const read = await objects.get('backend-server', server);
	const {version, value} = read.unsafeCoerce();
	const takeOut = async () =>
		objects.update('backend-server', server, version, {...value!, out: true});
	const outcomes = await Promise.all([takeOut(), takeOut()]);
	t.is(outcomes.filter((outcome) => outcome.isRight()).length, 1);
	const drainedMs = await until(
		t,
		drainTimeoutMs,
		async () => (await ownedCount(fleet, server)) === 0,
	);
	t.log(`${owned} slices gone after ${Math.round(drainedMs)} ms`);
	await change(fleet, 'backend-server', server, {out: false});
	const returnedAt = performance.now();
	await until(t, 30_000, async () => {
		const count = await ownedCount(fleet, server);
		const elapsed = (performance.now() - returnedAt) / 1000;
		t.true(count <= burst + movesPerSecond * (elapsed + 1));
		return count >= 2;
	});
	const {answered, doubled, missing} = await stop();
	t.log(`${answered} bookings answered`);
	t.true(answered > 0);
	t.deepEqual([doubled, missing], [0, 0]);
});

test('a failure domain taken out loses its slices and duties under traffic', async (t) => {
	const fleet = await start(t);
	const stop = startBookings(fleet);
	await change(fleet, 'failure-domain', 'fd-b', {out: true});
	const drainedMs = await until(
		t,
		drainTimeoutMs,
		async () => (await ownedCount(fleet, 'desk-fd-b')) === 0,
	);
	t.log(`empty after ${Math.round(drainedMs)} ms`);
	await until(t, drainTimeoutMs, async () => {
		const {guards} = await tableOf(fleet);
		return Object.values(guards).every(
			({guardian, successor}) =>
				!guardian.startsWith('vm-1.') && !successor.startsWith('vm-1.'),
		);
	});
	const {answered, doubled, missing} = await stop();
	t.log(`${answered} bookings answered`);
	t.true(answered > 0);
	t.deepEqual([doubled, missing], [0, 0]);
});
