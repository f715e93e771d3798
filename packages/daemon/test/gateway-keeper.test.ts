import test from 'ava';
import {startFleet, sampleKeys} from './gateway-keepers.js';

test('one daemon becomes keeper, and every key gets exactly one holder', async (t) => {
	const {orders, daemons, pass} = startFleet(['x', 'y', 'z'], ['a', 'b']);
	await pass(1500, () => {
		t.true(daemons.filter(({lease}) => lease.isHeld).length <= 1);
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.is(daemons.filter(({lease}) => lease.isHeld).length, 1);
	t.true(sampleKeys.every((key) => orders.holdersOf(key).length === 1));
});

test('another daemon takes over from a keeper that loses the store, and no key is without a holder meanwhile', async (t) => {
	const {orders, daemons, pass, cut} = startFleet(['x', 'y', 'z'], ['a', 'b']);
	await pass(1500, () => undefined);
	const first = daemons.find(({lease}) => lease.isHeld)!;
	cut.add(first.vm);
	await pass(8000, () => {
		t.true(daemons.filter(({lease}) => lease.isHeld).length <= 1);
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length === 1));
	});
	t.false(first.lease.isHeld);
	t.is(daemons.filter(({lease}) => lease.isHeld).length, 1);
});

test('keys of a server that is silent and no longer listed move only after its lease has expired', async (t) => {
	const {orders, pass, list} = startFleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.silent.add('a');
	list(['b']);
	await pass(9000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.true(sampleKeys.every((key) => orders.holdersOf(key)[0] === 'b'));
});

test('keys of a server that refuses connections move once its last lease has expired, however long it stays listed', async (t) => {
	const {orders, pass, list} = startFleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.refusing.add('a');
	await pass(3000, () => undefined);
	list(['b']);
	// A lease of 5.5 s by the slowest clock, the time for its grant, and the move.
	await pass(4500, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.true(sampleKeys.every((key) => orders.holdersOf(key)[0] === 'b'));
});

test('keys of a server that is no longer listed but still answers move as soon as it has released them', async (t) => {
	const {orders, pass, list} = startFleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	list(['b']);
	await pass(1000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.true(sampleKeys.every((key) => orders.holdersOf(key)[0] === 'b'));
	t.is(orders.fenceViolations.length, 0);
});

test('keys of a server that announces in its answers that it is leaving move at the next renewal', async (t) => {
	const {orders, pass} = startFleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.leaving.add('a');
	await pass(2000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.true(sampleKeys.every((key) => orders.holdersOf(key)[0] === 'b'));
});

test('keys that move to a new server never have two holders', async (t) => {
	const {orders, pass, list} = startFleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	list(['a', 'b', 'c']);
	await pass(2000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	const served = new Set(sampleKeys.flatMap((key) => orders.holdersOf(key)));
	t.deepEqual([...served].sort(), ['a', 'b', 'c']);
});

test('no key has two holders when the keeper changes while a server is lost', async (t) => {
	const {orders, daemons, pass, cut, list} = startFleet(
		['x', 'y'],
		['a', 'b', 'c'],
	);
	await pass(1500, () => undefined);
	const first = daemons.find(({lease}) => lease.isHeld)!;
	orders.silent.add('a');
	cut.add(first.vm);
	list(['b', 'c']);
	await pass(16_000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.true(
		sampleKeys.every((key) => ['b', 'c'].includes(orders.holdersOf(key)[0])),
	);
});

test('a pending move is dropped when the keeper loses its lease and takes it again', async (t) => {
	const {orders, daemons, pass, list, put} = startFleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.silent.add('a');
	list(['b', 'c'], ['a']);
	await pass(200, () => undefined);
	// As if another daemon had held the lease in between.
	put('kingcuproute-keepers/s', {vm: '', beat: 1});
	list(['b', 'c', 'd'], ['a']);
	await pass(1500, () => undefined);
	t.true(daemons[0].lease.isHeld);
	await pass(12_000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.true(sampleKeys.every((key) => orders.holdersOf(key).length === 1));
});

test('beats whose answers are lost keep the lease', async (t) => {
	const {daemons, pass, unanswered} = startFleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	const first = daemons.find(({lease}) => lease.isHeld)!;
	unanswered.add(first.vm);
	await pass(6000, () => {
		t.true(first.lease.isHeld);
	});
});

test('keys of a server whose address now belongs to another server move at once', async (t) => {
	const {orders, pass, list} = startFleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.leases.set('a', []);
	orders.replacedBy.set('a', 'd');
	await pass(1500, () => {
		t.deepEqual(orders.leases.get('a'), []);
	});
	list(['b']);
	await pass(500, () => undefined);
	t.true(sampleKeys.every((key) => orders.holdersOf(key)[0] === 'b'));
});

test('keys freed during a write of the table are granted with the next write', async (t) => {
	const {orders, pass, list, shared} = startFleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	shared.answerMs = 300;
	orders.releaseDelayMs.set('b', 200);
	list(['a', 'b', 'c']);
	await pass(5000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.true(sampleKeys.every((key) => orders.holdersOf(key).length === 1));
});

test('busy keys move to a less busy server and never have two holders', async (t) => {
	const {orders, pass, setTraffic} = startFleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	t.deepEqual(orders.holdersOf(0), orders.holdersOf(20_000));
	const runMs = new Map([
		['a', 200],
		['b', 200],
	]);
	const rates = new Map([
		[0, 6],
		[20_000, 6],
	]);
	setTraffic({rates, runMs});
	await pass(2000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.notDeepEqual(orders.holdersOf(0), orders.holdersOf(20_000));
});

test('busy keys move while the keys of a lost server wait for its lease to expire', async (t) => {
	const {orders, pass, setTraffic, list} = startFleet(['x'], ['a', 'b', 'c']);
	await pass(1500, () => undefined);
	orders.silent.add('c');
	list(['a', 'b']);
	const names = ['a', 'b'];
	setTraffic({
		rates: new Map([
			[0, 6],
			[20_000, 6],
		]),
		runMs: new Map(names.map((name) => [name, 200])),
	});
	t.deepEqual(orders.holdersOf(0), orders.holdersOf(20_000));
	await pass(2500, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.notDeepEqual(orders.holdersOf(0), orders.holdersOf(20_000));
	t.deepEqual(orders.holdersOf(65_535), ['c']);
	await pass(8000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.true(sampleKeys.every((key) => names.includes(orders.holdersOf(key)[0])));
});

test('a daemon that reads leases slowly takes one only when no beat can still be unread', async (t) => {
	const {daemons, pass, cut} = startFleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	const first = daemons.find(({lease}) => lease.isHeld)!;
	const second = daemons.find(({lease}) => !lease.isHeld)!;
	second.lease.isUpdatedSlowly = true;
	cut.add(first.vm);
	await pass(8000, () => {
		t.false(second.lease.isHeld);
	});
	await pass(6000, () => undefined);
	t.true(second.lease.isHeld);
});

test('keys of a server that left a grant unanswered get a holder again, whatever else it holds', async (t) => {
	const {orders, pass, setTraffic, list} = startFleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.unanswered.add('a');
	await pass(2000, () => undefined);
	orders.unanswered.delete('a');
	list(['a', 'b', 'c']);
	setTraffic({
		rates: new Map([
			[0, 6],
			[20_000, 6],
			[60_000, 6],
		]),
		runMs: new Map(['a', 'b', 'c'].map((name) => [name, 200])),
	});
	await pass(9000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	await pass(9000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length === 1));
	});
});

test('a restarted daemon takes the lease of its former run at once', async (t) => {
	const {pass, put, daemons, orders} = startFleet(['x'], ['a', 'b']);
	put('kingcuproute-keepers/s', {vm: 'x', beat: 1});
	await pass(2500, () => undefined);
	t.true(daemons[0].lease.isHeld);
	t.true(sampleKeys.every((key) => orders.holdersOf(key).length === 1));
});

test('a grant carried out after a change of keeper creates no second holder', async (t) => {
	const {orders, daemons, pass, list} = startFleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	const first = daemons.find(({lease}) => lease.isHeld)!;
	orders.late.set('a', 3000);
	await pass(1400, () => undefined);
	orders.late.clear();
	void first.keeper.stop();
	list(['b'], ['a']);
	await pass(9000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.true(sampleKeys.every((key) => orders.holdersOf(key)[0] === 'b'));
});

test('keys of a server whose run has ended move although it is still listed', async (t) => {
	const {orders, pass} = startFleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.leases.set('a', []);
	orders.replacedBy.set('a', 'd');
	await pass(3000, () => {
		t.deepEqual(orders.leases.get('a'), []);
	});
	t.true(sampleKeys.every((key) => orders.holdersOf(key)[0] === 'b'));
});

test('busy keys that move are without a holder for at most a second, even after unanswered grants', async (t) => {
	const {orders, pass, setTraffic, manualClock} = startFleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	const names = ['a', 'b'];
	orders.late.set('a', 3000);
	orders.late.set('b', 3000);
	await pass(1400, () => undefined);
	orders.late.clear();
	setTraffic({
		rates: new Map(sampleKeys.map((key) => [key, 2])),
		runMs: new Map(names.map((name) => [name, name === 'a' ? 600 : 100])),
	});
	const before = sampleKeys.map((key) => orders.holdersOf(key)[0]);
	const heldAt = new Map<number, number>();
	await pass(9000, () => {
		const now = manualClock.now();
		for (const key of sampleKeys) {
			const holders = orders.holdersOf(key);
			t.true(holders.length <= 1);
			t.true(now - (heldAt.get(key) ?? now) <= 1000);
			heldAt.set(key, holders.length === 1 ? now : (heldAt.get(key) ?? now));
		}
	});
	t.notDeepEqual(
		sampleKeys.map((key) => orders.holdersOf(key)[0]),
		before,
	);
});

test('keys freed for a server that has restarted meanwhile go to its new run at once', async (t) => {
	const {orders, pass, list} = startFleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.silent.add('a');
	list(['b'], ['a']);
	await pass(1000, () => undefined);
	orders.crash('b');
	orders.refusing.add('b');
	list(['b'], ['a'], new Map([['b', {startedAt: 2, address: 'b2'}]]));
	await pass(9000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
	t.true(sampleKeys.every((key) => orders.holdersOf(key)[0] === 'b2'));
});

test('a keeper that sees its lease in the store before its beat is answered drops the state of its former tenure', async (t) => {
	const {orders, daemons, pass, list, cut, unanswered} = startFleet(
		['x', 'y'],
		['a', 'b'],
	);
	await pass(1500, () => undefined);
	const first = daemons.find(({lease}) => lease.isHeld)!;
	const second = daemons.find(({lease}) => !lease.isHeld)!;
	cut.add(first.vm);
	await pass(6000, () => undefined);
	t.true(second.lease.isHeld);
	cut.delete(first.vm);
	orders.late.set('a', 3000);
	await pass(1400, () => undefined);
	orders.late.clear();
	unanswered.add(first.vm);
	void second.keeper.stop();
	await pass(200, () => undefined);
	unanswered.delete(first.vm);
	list(['b'], ['a']);
	await pass(12_000, () => {
		t.true(sampleKeys.every((key) => orders.holdersOf(key).length <= 1));
	});
});

test('a release that waited for a grant to be answered is not sent once the lease is lost', async (t) => {
	for (let afterMs = 0; afterMs < 1400; afterMs += 100) {
		const {orders, pass, list, put} = startFleet(['x'], ['a', 'b']);
		await pass(1500, () => undefined);
		orders.orderDelayMs.set('a', 750);
		await pass(1300 + afterMs, () => undefined);
		list(['b'], ['a']);
		await pass(100, () => undefined);
		put('kingcuproute-keepers/s', {vm: 'y', beat: 1});
		await pass(50, () => undefined);
		const sent = orders.releases;
		await pass(1500, () => undefined);
		t.is(orders.releases, sent, `${afterMs} ms`);
	}
});

test('an older range table restored by another writer creates no second holder', async (t) => {
	const {orders, pass, setTraffic, shared, put} = startFleet(
		['x', 'y'],
		['a', 'b'],
	);
	const path = 'kingcuproute-range-tables/s';
	await pass(1500, () => undefined);
	const {spec} = shared.objects.get(path)!;
	const rates = new Map([
		[0, 6],
		[20_000, 6],
	]);
	setTraffic({rates, runMs: new Map(['a', 'b'].map((name) => [name, 200]))});
	await pass(2000, () => undefined);
	setTraffic({rates: new Map(), runMs: new Map()});
	t.notDeepEqual(orders.holdersOf(0), orders.holdersOf(20_000));
	const holders = sampleKeys.map((key) => orders.holdersOf(key)[0]);
	put(path, spec);
	await pass(8000, () => {
		t.is(orders.doublyHeldKeys(), undefined);
	});
	t.deepEqual(orders.fenceViolations, []);
	t.deepEqual(
		sampleKeys.map((key) => orders.holdersOf(key)[0]),
		holders,
	);
});
