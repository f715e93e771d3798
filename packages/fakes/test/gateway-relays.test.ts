import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createFleet, type Fleet, type FleetDaemon} from './gateway-fleet.js';
import {siteConfig} from './gateway-site.js';
import {until} from './requests-fixture.js';

// The daemons are busy while they start; one fleet at a time shows delays of their own.
/** Within which a new configuration is in force. */
const configMs = 2000;
/** Calls at the full price; one that may be answered from old data costs a tenth. */
const calls =
	/^kingcuproute_gateway_store_calls_total.*call="(list|watch|write|remove)"/;
const peerReads = /^kingcuproute_gateway_reads_total.*peer/;

/** A fleet whose first daemon is the watcher, and all others read from it. */
async function startFleet(
	t: ExecutionContext,
	domains: readonly string[] = ['a', 'a', 'a', 'a'],
): Promise<readonly [Fleet, FleetDaemon, readonly FleetDaemon[]]> {
	const fleet = createFleet(t);
	await fleet.start(domains);
	const [watcher, ...others] = fleet.daemons;
	await watcher.line('event=watcher-changed');
	await Promise.all(
		others.map(async (daemon) => daemon.line('event=reads-from-peer')),
	);
	return [fleet, watcher, others];
}

/** Waits until a new route is served by the daemons; resolves with the time that it took. */
async function untilServed(
	fleet: Fleet,
	daemons: readonly FleetDaemon[],
): Promise<number> {
	const target = fleet.addRoute();
	const startedAt = performance.now();
	for (const daemon of daemons) {
		await until(async () => (await daemon.statusOf(target)) === 200);
	}

	return performance.now() - startedAt;
}

async function isServedWithin(
	t: ExecutionContext,
	ms: number,
	...args: Parameters<typeof untilServed>
): Promise<void> {
	const tookMs = await untilServed(...args);
	t.true(tookMs < ms, `${tookMs}`);
}

async function total(
	daemons: readonly FleetDaemon[],
	pattern: RegExp,
): Promise<number> {
	let sum = 0;
	for (const daemon of daemons) {
		sum += await daemon.metric(pattern);
	}

	return sum;
}

// Each daemon used to call the store for every change.
test.serial(
	'daemons that read from a watcher learn of changes and make few calls',
	async (t) => {
		const [fleet, , others] = await startFleet(t);
		const before = await total(others, calls);
		const readBefore = await total(others, peerReads);
		for (let round = 0; round < 5; round++) {
			await isServedWithin(t, configMs, fleet, others);
			await sleep(1000);
		}

		const perDaemonAndSecond = ((await total(others, calls)) - before) / 3 / 5;
		t.true(perDaemonAndSecond < 0.5, `${perDaemonAndSecond}`);
		t.true((await total(others, peerReads)) > readBefore);
	},
);

test.serial(
	'a watcher that stands still delays no configuration, and is used again when it goes on',
	async (t) => {
		const [fleet, watcher, others] = await startFleet(t);
		watcher.signal('SIGSTOP');
		await isServedWithin(t, configMs, fleet, others);
		await others[0].line('event=reads-from-store');
		watcher.signal('SIGCONT');
		const before = await total(others, peerReads);
		await until(async () => (await total(others, peerReads)) > before);
		await isServedWithin(t, configMs, fleet, fleet.daemons);
	},
);

test.serial('a watcher that ends delays no configuration', async (t) => {
	const [fleet, watcher, others] = await startFleet(t);
	await watcher.kill();
	await isServedWithin(t, configMs, fleet, others);
});

test.serial(
	'a watcher that loses the store delays no configuration',
	async (t) => {
		const [fleet, watcher, others] = await startFleet(t);
		watcher.storeLink.silence();
		watcher.storeLink.setFaults({silentTo: true, silentFrom: true});
		await isServedWithin(t, configMs, fleet, others);
	},
);

test.serial(
	'daemons whose own domain lost its watcher read from that of another domain',
	async (t) => {
		const fleet = createFleet(t);
		await fleet.start(['a', 'a', 'a', 'a', 'b', 'b', 'b', 'b']);
		const inDomain = (domain: string) =>
			fleet.daemons.filter(({failureDomain}) => failureDomain === domain);
		const [watcher, ...others] = inDomain('a');
		await Promise.all(
			others.map(async (daemon) => daemon.line('event=reads-from-peer')),
		);
		await watcher.kill();
		await Promise.all(
			others.map(async (daemon) =>
				daemon.line(`peer=${inDomain('b')[0].vm} failureDomain=b`),
			),
		);
		await isServedWithin(t, configMs, fleet, others);
	},
);

test.serial(
	'a daemon that is cut off from the store alone still learns of changes',
	async (t) => {
		const [fleet, , others] = await startFleet(t);
		others[0].storeLink.setFaults({silentTo: true, silentFrom: true});
		await isServedWithin(t, configMs, fleet, others);
	},
);

test.serial(
	'daemons of a domain with three daemons follow the store by themselves',
	async (t) => {
		const fleet = createFleet(t);
		await fleet.start(['a', 'a', 'a', 'b']);
		await isServedWithin(t, configMs, fleet, fleet.daemons);
		t.is(await total(fleet.daemons, peerReads), 0);
	},
);

// Each report of key traffic used to be a priced write.
test.serial(
	'key traffic is reported through the watcher, and through the store once that has ended',
	async (t) => {
		const fleet = createFleet(t);
		fleet.config = siteConfig;
		fleet.service = 'keyed';
		await fleet.start(['a', 'a', 'a', 'a']);
		const [watcher, ...others] = fleet.daemons;
		await watcher.line('event=watcher-changed');
		const over = new AbortController();
		t.teardown(() => {
			over.abort();
		});
		const send = async (daemon: FleetDaemon) => {
			while (!over.signal.aborted) {
				await daemon.statusOf('/hold/', {'x-kingcuproute-shard-key': '7'});
				await sleep(50);
			}
		};

		const sending = Promise.all(others.map(async (daemon) => send(daemon)));
		const writes =
			/^kingcuproute_gateway_store_calls_total.*key-traffic.*write/;
		// Steady traffic is written every 4 s.
		const quietMs = 6000;
		await until(async () => {
			const before = await total(others, writes);
			await sleep(quietMs);
			return (await total(others, writes)) === before;
		});
		const before = await total(others, writes);
		await watcher.kill();
		await until(async () => (await total(others, writes)) > before);
		over.abort();
		await sending;
		t.pass();
	},
);
