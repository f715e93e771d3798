import test, {type ExecutionContext} from 'ava';
import {type Millis} from '@kingcuproute/core';
import {startFleet, sampleKeys} from './gateway-keepers.js';

type KeeperFleet = ReturnType<typeof startFleet>;

/** Within which every key has a holder again after the store is back. */
const recoverMs: Millis = 15_000;
const awayMs: Millis = 1000;

/** What must hold at any moment, whatever the store has lost. */
function checkHolders(t: ExecutionContext, {orders, daemons}: KeeperFleet) {
	t.is(orders.doublyHeldKeys(), undefined);
	t.deepEqual(orders.fenceViolations, []);
	const keepers = daemons.filter(
		({clock, lease}) => clock.isRunning && lease.isHeld,
	);
	t.true(keepers.length <= 1, keepers.map(({vm}) => vm).join(', '));
}

function isAllHeld({orders}: KeeperFleet): boolean {
	return sampleKeys.every((key) => orders.holdersOf(key).length === 1);
}

function cutAll({cut, daemons}: KeeperFleet): void {
	for (const {vm} of daemons) {
		cut.add(vm);
	}
}

function keeperIndex({daemons}: KeeperFleet): number {
	return daemons.findIndex(({lease}) => lease.isHeld);
}

/** Lets server c join after a copy of the store; the copy is returned. */
async function joinAfterCopy(fleet: KeeperFleet) {
	const {shared, list, pass} = fleet;
	await pass(1500, () => undefined);
	const copy = shared.copy();
	list(['a', 'b', 'c']);
	await pass(2500, () => undefined);
	return copy;
}

// The keeper took the copy for outdated, and its lease ran out.
test('a keeper that knows its table goes on without a break when the store is restored from a copy', async (t) => {
	const fleet = startFleet(['x', 'y', 'z'], ['a', 'b'], 1);
	const {shared, cut, pass, orders} = fleet;
	const copy = await joinAfterCopy(fleet);
	const keeper = keeperIndex(fleet);
	const held = sampleKeys.map((key) => orders.holdersOf(key));
	cutAll(fleet);
	await pass(awayMs, () => undefined);
	shared.restore(copy);
	cut.clear();
	await pass(recoverMs, () => {
		checkHolders(t, fleet);
		t.is(keeperIndex(fleet), keeper);
		t.true(isAllHeld(fleet));
	});
	t.deepEqual(
		sampleKeys.map((key) => orders.holdersOf(key)),
		held,
	);
});

// The new keeper granted by the copy what server c held by a grant that the copy lacks.
test('a keeper that may not know all grants waits until they have expired, and uses no fence again', async (t) => {
	for (const [areAllLost, phaseMs] of [false, true].flatMap((lost) =>
		[0, 400, 800, 1200].map((ms) => [lost, ms] as const),
	)) {
		const fleet = startFleet(['x', 'y'], ['a', 'b'], 1);
		const {shared, cut, pass, daemons, lagging} = fleet;
		await pass(1500, () => undefined);
		const keeper = daemons[keeperIndex(fleet)];
		for (const {vm} of daemons) {
			lagging.add(vm);
		}

		const copy = await joinAfterCopy(fleet);
		// Renewals come each 1,300 ms.
		await pass(phaseMs, () => undefined);
		cutAll(fleet);
		for (const daemon of areAllLost ? daemons : [keeper]) {
			daemon.clock.end();
		}

		await pass(awayMs, () => {
			checkHolders(t, fleet);
		});
		shared.restore(copy);
		cut.clear();
		fleet.add('w');
		await pass(recoverMs, () => {
			checkHolders(t, fleet);
		});
		t.true(isAllHeld(fleet));
	}
});

