import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import {SeededRandom, type Millis} from '@kingcuproute/core';
import {startFleet, sampleKeys} from './gateway-keepers.js';

type KeeperFleet = ReturnType<typeof startFleet>;

/** Within which every key has a holder again after the store is back. */
const recoverMs: Millis = 15_000;
const awayMs: Millis = 1000;
const leasePath = 'kingcuproute-keepers/s';
const tablePath = 'kingcuproute-range-tables/s';

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

// Daemons that are not standbys wait longer before they take a lease.
test('keys have holders again in time after the keeper and all standbys are lost with a restore', async (t) => {
	const fleet = startFleet(['x', 'y'], ['a', 'b'], 1);
	const {shared, cut, pass, daemons} = fleet;
	const copy = await joinAfterCopy(fleet);
	cutAll(fleet);
	daemons[keeperIndex(fleet)].clock.end();
	for (const {lease} of daemons) {
		lease.isUpdatedSlowly = true;
	}

	shared.restore(copy);
	cut.clear();
	await pass(recoverMs, () => {
		checkHolders(t, fleet);
	});
	t.true(isAllHeld(fleet));
});

// The copy names the keeper before the last one, which took the lease for its own.
test('a lease in the copy does not make its former holder the keeper', async (t) => {
	for (const restarts of [false, true]) {
		const fleet = startFleet(['x', 'y'], ['a', 'b'], 1);
		const {shared, cut, pass, list, daemons} = fleet;
		await pass(1500, () => undefined);
		const copy = shared.copy();
		const former = keeperIndex(fleet);
		cut.add(daemons[former].vm);
		await pass(5000, () => undefined);
		t.is(keeperIndex(fleet), 1 - former);
		list(['a', 'b', 'c']);
		await pass(2000, () => undefined);
		if (restarts) {
			fleet.restart(former);
		}

		shared.restore(copy);
		// The keeper can't reach the store, and goes on until its lease has ended.
		cut.clear();
		cut.add(daemons[1 - former].vm);
		await pass(recoverMs, () => {
			checkHolders(t, fleet);
		});
		t.true(isAllHeld(fleet));
	}
});

// What the copy lacks was taken for what had never been.
test('a lease and a table that the copy lacks are not taken for the first ones', async (t) => {
	for (const isKeeperCut of [false, true]) {
		const fleet = startFleet(['x'], ['a', 'b'], 1);
		const {shared, cut, pass} = fleet;
		const copy = shared.copy();
		await pass(3000, () => undefined);
		t.true(isAllHeld(fleet));
		shared.restore(copy);
		t.is(shared.objects.get(leasePath), undefined);
		t.is(shared.objects.get(tablePath), undefined);
		if (isKeeperCut) {
			cut.add('x');
		}

		fleet.add('y');
		await pass(recoverMs, () => {
			checkHolders(t, fleet);
		});
		t.true(isAllHeld(fleet));
	}
});

// Nothing of a former era can still hold keys of it.
test('a service that is new to a store restored long before gets its keys held at once', async (t) => {
	const fleet = startFleet([], ['a', 'b'], 3);
	await fleet.addLater('x', 12_000);
	await fleet.pass(1000, () => {
		checkHolders(t, fleet);
	});
	t.true(isAllHeld(fleet));
});

// A beat that the restored store takes by the number of its revision says nothing of the present era.
test('a beat that was sent before the restore and lands after it gives no lease', async (t) => {
	const fleet = startFleet(['x', 'y'], ['a', 'b'], 1);
	const {shared, cut, pass, daemons, list} = fleet;
	await pass(1500, () => undefined);
	const index = keeperIndex(fleet);
	const keeper = daemons[index];
	const copy = shared.copy();
	shared.late.set(keeper.vm, 2500);
	list(['a', 'b', 'c']);
	await pass(1000, () => undefined);
	shared.restore(copy);
	cut.add(keeper.vm);
	await pass(recoverMs, () => {
		checkHolders(t, fleet);
	});
	t.true(isAllHeld(fleet));
	t.is(keeperIndex(fleet), 1 - index);
});

// A store may name no era before its first restore.
test('no fence is used again, and no key has two holders, after the first era that a store names', async (t) => {
	const fleet = startFleet(['x', 'y'], ['a', 'b']);
	const {shared, cut, pass, daemons} = fleet;
	const copy = await joinAfterCopy(fleet);
	cutAll(fleet);
	for (const {clock} of daemons) {
		clock.end();
	}

	shared.restore(copy);
	cut.clear();
	fleet.add('w');
	await pass(recoverMs, () => {
		checkHolders(t, fleet);
	});
	t.true(isAllHeld(fleet));
});

type Chance = SeededRandom;

/** One to three drills beside other troubles, all by chance. */
async function playDrills(t: ExecutionContext, random: Chance) {
	const fleet = startFleet(['x', 'y', 'z'], ['a', 'b', 'c'], 1);
	const {shared, cut, lagging, pass, daemons, orders, list} = fleet;
	const happens = (share: number) => random.fraction() < share;
	const pick = <T>(items: readonly T[]) =>
		items[Math.floor(random.fraction() * items.length)];
	const check = () => {
		checkHolders(t, fleet);
	};

	let names = ['a', 'b', 'c'];
	const change = () => {
		const name = pick(['a', 'b', 'c', 'd', 'e']);
		const others = names.filter((other) => other !== name);
		names = others.length === names.length ? [...names, name] : others;
		names = names.length === 0 ? ['a'] : names;
		list(names);
	};

	const disturb = () => {
		const daemon = pick(daemons);
		const troubles = [
			change,
			change,
			() => lagging.add(daemon.vm),
			() => cut.add(daemon.vm),
			() => shared.late.set(daemon.vm, 3000 * random.fraction()),
			() => orders.late.set(pick(names), 2000 * random.fraction()),
			() => {
				fleet.restart(daemons.indexOf(daemon));
			},
			() => {
				daemon.clock.freeze();
			},
		];
		pick(troubles)();
	};

	const heal = () => {
		cut.clear();
		lagging.clear();
		shared.late.clear();
		orders.late.clear();
		for (const {clock} of daemons) {
			clock.thaw(happens(0.5));
		}
	};

	let copy = shared.copy();
	await pass(6000 * random.fraction(), check);
	const drills = 1 + Math.floor(3 * random.fraction());
	for (let drill = 0; drill < drills; drill++) {
		copy = happens(0.2) ? copy : shared.copy();
		for (let step = 0; step < 3; step++) {
			disturb();
			await pass(2000 * random.fraction(), check);
		}

		cutAll(fleet);
		await pass(3000 * random.fraction(), check);
		shared.restore(copy);
		heal();
		if (happens(0.3)) {
			fleet.add(`w${drill}`);
		}

		for (let step = 0; step < 2; step++) {
			if (happens(0.5)) {
				disturb();
			}

			await pass(3000 * random.fraction(), check);
		}
	}

	heal();
	await pass(recoverMs, check);
	t.true(isAllHeld(fleet), 'not all keys are held');
}

const runs = Number(process.env.RUNS ?? 30);
for (let run = 0; run < runs; run++) {
	const seed = Number(process.env.SEED) + run;
	test(`every key has one holder at a time through restores of the store and other troubles, seed ${run} after SEED`, async (t) => {
		await playDrills(t, new SeededRandom(seed));
	});
}
