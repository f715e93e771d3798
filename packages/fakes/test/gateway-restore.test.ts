import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {daemonsKind, keepersKind} from '@kingcuproute/platform';
import {createFleet, type Fleet, type FleetDaemon} from './gateway-fleet.js';
import {siteConfig} from './gateway-site.js';
import {KeyServers, sampleKeys} from './key-servers.js';
import {until} from './requests-fixture.js';

const service = 'keyed';
/** Within which keys are served again after the store is back. */
const recoverMs = 15_000;
/** Within which a configuration is in force. */
const configMs = 2000;
const awayMs = 1000;
/** From the copy to what is lost with it. */
const copyAgeMs = 1000;
/** After which renewals of all keys have been sent again, and leases by any other keeper have ended. */
const settledMs = 8000;

type Drill = {
	readonly fleet: Fleet;
	readonly servers: KeyServers;
};

async function startDrill(
	t: ExecutionContext,
	domains: readonly string[] = ['a', 'b', 'c'],
): Promise<Drill> {
	const fleet = createFleet(t);
	fleet.config = siteConfig;
	fleet.store.era = 1;
	fleet.store.pageLen = 500;
	const servers = new KeyServers(service, fleet.store);
	t.teardown(() => {
		servers.stop();
	});
	await Promise.all(
		['k-1', 'k-2', 'k-3'].map(async (name) => servers.add(name)),
	);
	await fleet.start(domains);
	await until(async () => servers.isAllHeld());
	return {fleet, servers};
}

/** Lets a server join after a copy of the store, and then the store go away; the copy is returned. */
async function joinAfterCopy({fleet, servers}: Drill, name: string) {
	const copy = fleet.store.copy();
	await sleep(copyAgeMs);
	await servers.add(name);
	await until(async () => servers.isAllHeld(name));
	await sleep(copyAgeMs);
	fleet.store.goAway();
	await sleep(awayMs);
	return copy;
}

function keeperOf({fleet}: Drill): FleetDaemon {
	const {vm} = fleet.store.specOf(keepersKind, service) as {vm: string};
	return fleet.daemons.find((daemon) => daemon.vm === vm)!;
}

async function isServed(daemon: FleetDaemon, key: number): Promise<boolean> {
	const status = await daemon.statusOf('/clock/', {
		'x-kingcuproute-shard-key': String(key),
		'x-kingcuproute-deadline-ms': '1000',
	});
	return status === 200;
}

/** Checks that all keys are served at each of the daemons within `recoverMs` of `from`, and then stay served, by one server each. */
async function checkRecovery(
	t: ExecutionContext,
	{servers}: Drill,
	daemons: readonly FleetDaemon[],
	from: number,
): Promise<void> {
	await Promise.all(
		daemons.map(async (daemon) => {
			for (const key of sampleKeys) {
				while (
					!(await isServed(daemon, key)) &&
					performance.now() - from < recoverMs
				) {
					await sleep(50);
				}
			}
		}),
	);
	const tookMs = Math.round(performance.now() - from);
	t.true(tookMs < recoverMs, `keys are unserved after ${tookMs} ms`);
	t.log(`served again after ${tookMs} ms`);
	await sleep(settledMs);
	t.true(servers.isAllHeld());
	t.deepEqual(servers.violations, []);
}

// No daemon could write to the restored store, and all keys stayed unserved for good.
test('keys are served again after the store is restored from a copy', async (t) => {
	const drill = await startDrill(t);
	const copy = await joinAfterCopy(drill, 'k-4');
	drill.fleet.store.restore(copy);
	await checkRecovery(t, drill, drill.fleet.daemons, performance.now());
});

// A daemon that knew only the copy granted keys by fences that other servers had had.
test('a daemon that starts on a restored store uses no fence again', async (t) => {
	const drill = await startDrill(t);
	const copy = await joinAfterCopy(drill, 'k-4');
	drill.fleet.store.restore(copy);
	const restoredAt = performance.now();
	await drill.fleet.addDaemon('d');
	await checkRecovery(t, drill, drill.fleet.daemons, restoredAt);
});

// Nobody alive knew of the grants that the copy lacks.
test('keys get one holder each after the store is restored and the keeper is lost with it', async (t) => {
	const drill = await startDrill(t);
	const copy = await joinAfterCopy(drill, 'k-4');
	const keeper = keeperOf(drill);
	await keeper.kill();
	drill.fleet.store.restore(copy);
	const restoredAt = performance.now();
	await drill.fleet.addDaemon('d');
	const others = drill.fleet.daemons.filter((daemon) => daemon !== keeper);
	await checkRecovery(t, drill, others, restoredAt);
});

// As above, without any daemon that knows more than the copy.
test('keys get one holder each after the store is restored and all daemons are lost with it', async (t) => {
	const drill = await startDrill(t);
	const copy = await joinAfterCopy(drill, 'k-4');
	const former = [...drill.fleet.daemons];
	await Promise.all(former.map(async (daemon) => daemon.kill()));
	drill.fleet.store.restore(copy);
	const restoredAt = performance.now();
	const added = await drill.fleet.addDaemon('d');
	await checkRecovery(t, drill, [added], restoredAt);
});

// The second copy is older than what the daemons wrote after the first.
test('keys are served again after the store is restored twice', async (t) => {
	const drill = await startDrill(t);
	const copy = await joinAfterCopy(drill, 'k-4');
	drill.fleet.store.restore(copy);
	await sleep(2000);
	const second = await joinAfterCopy(drill, 'k-5');
	drill.fleet.store.restore(second);
	const restoredAt = performance.now();
	await drill.fleet.addDaemon('d');
	await checkRecovery(t, drill, drill.fleet.daemons, restoredAt);
});

// The watcher hears of the restore seconds after the daemons that read from it.
test('keys are served again after a restore that a watcher has slept through', async (t) => {
	const drill = await startDrill(t, ['a', 'a', 'a', 'a']);
	const [watcher] = drill.fleet.daemons;
	const copy = await joinAfterCopy(drill, 'k-4');
	watcher.signal('SIGSTOP');
	drill.fleet.store.restore(copy);
	const restoredAt = performance.now();
	await sleep(4000);
	watcher.signal('SIGCONT');
	await checkRecovery(t, drill, drill.fleet.daemons, restoredAt);
});

// The keeper changes with each daemon that stops.
test('keys are served again after a restore during a rolling restart', async (t) => {
	const drill = await startDrill(t);
	const {fleet} = drill;
	const former = [...fleet.daemons];
	const restart = async (daemon: FleetDaemon) => {
		await daemon.terminate();
		await fleet.addDaemon(daemon.failureDomain);
	};

	const copy = fleet.store.copy();
	await drill.servers.add('k-4');
	await until(async () => drill.servers.isAllHeld('k-4'));
	const restarting = restart(former[0]);
	await sleep(copyAgeMs);
	fleet.store.goAway();
	await sleep(awayMs);
	fleet.store.restore(copy);
	await restarting;
	await restart(former[1]);
	await restart(former[2]);
	const restartedAt = performance.now();
	const daemons = fleet.daemons.filter((daemon) => !former.includes(daemon));
	await checkRecovery(t, drill, daemons, restartedAt);
});

// Daemons went on from a revision that the restored store gave out again, and heard of no change before it.
test('a configuration that is written to a restored store is in force in time, also through a watcher', async (t) => {
	const {fleet} = await startDrill(t, ['a', 'a', 'a', 'a']);
	const {store, daemons} = fleet;
	const untilServed = async (target: string) => {
		for (const daemon of daemons) {
			await until(async () => (await daemon.statusOf(target)) === 200);
		}
	};

	const copy = store.copy();
	for (let count = 0; count < 20; count++) {
		store.put('evacuations', 'z', {count});
	}

	await untilServed(fleet.addRoute());
	store.goAway();
	await sleep(awayMs);
	store.restore(copy);
	const target = fleet.addRoute();
	for (let count = 0; count < 40; count++) {
		store.put('evacuations', 'z', {count});
	}

	const writtenAt = performance.now();
	await untilServed(target);
	const tookMs = Math.round(performance.now() - writtenAt);
	t.true(tookMs < configMs, `${tookMs}`);
});

// Each daemon registered once; the others did not count it any more, nor choose it as standby or watcher.
test('a daemon whose entry the copy lacks registers again', async (t) => {
	const {fleet} = await startDrill(t);
	const {store} = fleet;
	const copy = store.copy();
	const added = await fleet.addDaemon('d');
	const isListed = ({vm}: FleetDaemon) =>
		store.specOf(daemonsKind, vm) !== undefined;
	await until(async () => isListed(added));
	store.goAway();
	await sleep(awayMs);
	store.restore(copy);
	t.false(isListed(added));
	await until(async () => isListed(added));
	t.true(fleet.daemons.every((daemon) => isListed(daemon)));
});
