import test from 'ava';
import {fleet, someKeys} from './gateway-keepers.js';

test('one daemon keeps the keys, and each key gets one holder', async (t) => {
	const {orders, daemons, pass} = fleet(['x', 'y', 'z'], ['a', 'b']);
	await pass(1500, () => {
		t.true(daemons.filter(({lease}) => lease.isHeld).length <= 1);
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	t.is(daemons.filter(({lease}) => lease.isHeld).length, 1);
	t.true(someKeys.every((key) => orders.holding(key).length === 1));
});

test('a keeper that loses the store is followed by another, and no key goes unheld', async (t) => {
	const {orders, daemons, pass, cut} = fleet(['x', 'y', 'z'], ['a', 'b']);
	await pass(1500, () => undefined);
	const first = daemons.find(({lease}) => lease.isHeld)!;
	cut.add(first.vm);
	await pass(8000, () => {
		t.true(daemons.filter(({lease}) => lease.isHeld).length <= 1);
		t.true(someKeys.every((key) => orders.holding(key).length === 1));
	});
	t.false(first.lease.isHeld);
	t.is(daemons.filter(({lease}) => lease.isHeld).length, 1);
});

test('keys of a server that is silent and off the list wait until its lease is over', async (t) => {
	const {orders, pass, list} = fleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.silent.add('a');
	list(['b']);
	await pass(9000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	t.true(someKeys.every((key) => orders.holding(key)[0] === 'b'));
});

test('keys that go to a new server are never at two holders', async (t) => {
	const {orders, pass, list} = fleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	list(['a', 'b', 'c']);
	await pass(2000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	const served = new Set(someKeys.flatMap((key) => orders.holding(key)));
	t.deepEqual([...served].sort(), ['a', 'b', 'c']);
});

test('a change of keeper while a server is lost leaves no key with two holders', async (t) => {
	const {orders, daemons, pass, cut, list} = fleet(['x', 'y'], ['a', 'b', 'c']);
	await pass(1500, () => undefined);
	const first = daemons.find(({lease}) => lease.isHeld)!;
	orders.silent.add('a');
	cut.add(first.vm);
	list(['b', 'c']);
	await pass(16_000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	t.true(someKeys.every((key) => ['b', 'c'].includes(orders.holding(key)[0])));
});

test('a move that waited while the lease was lost and taken again is dropped', async (t) => {
	const {orders, daemons, pass, list, put} = fleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.silent.add('a');
	list(['b', 'c'], ['a']);
	await pass(200, () => undefined);
	// Another daemon had the lease in between.
	put('kingcuproute-keepers/s', {vm: '', beat: 1});
	list(['b', 'c', 'd'], ['a']);
	await pass(1500, () => undefined);
	t.true(daemons[0].lease.isHeld);
	await pass(12_000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	t.true(someKeys.every((key) => orders.holding(key).length === 1));
});

test('beats whose answers are lost keep the lease', async (t) => {
	const {daemons, pass, unanswered} = fleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	const first = daemons.find(({lease}) => lease.isHeld)!;
	unanswered.add(first.vm);
	await pass(6000, () => {
		t.true(first.lease.isHeld);
	});
});

test("keys of a server whose address is another one's go on at once", async (t) => {
	const {orders, pass, list} = fleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.holds.set('a', []);
	orders.replaced.set('a', 'd');
	await pass(1500, () => {
		t.deepEqual(orders.holds.get('a'), []);
	});
	list(['b']);
	await pass(500, () => undefined);
	t.true(someKeys.every((key) => orders.holding(key)[0] === 'b'));
});

test('keys that come free while the table is being written are given with the next writing', async (t) => {
	const {orders, pass, list, shared} = fleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	shared.answerMs = 300;
	orders.releaseMs.set('b', 200);
	list(['a', 'b', 'c']);
	await pass(5000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	t.true(someKeys.every((key) => orders.holding(key).length === 1));
});

test('busy keys move to a server that is less so, and are at one holder all the while', async (t) => {
	const {orders, pass, see} = fleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	t.deepEqual(orders.holding(0), orders.holding(20_000));
	const runMs = new Map([
		['a', 200],
		['b', 200],
	]);
	const rates = new Map([
		[0, 6],
		[20_000, 6],
	]);
	see({rates, runMs});
	await pass(2000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	t.notDeepEqual(orders.holding(0), orders.holding(20_000));
});

test('busy keys move while those of a lost server still wait for its lease', async (t) => {
	const {orders, pass, see, list} = fleet(['x'], ['a', 'b', 'c']);
	await pass(1500, () => undefined);
	orders.silent.add('c');
	list(['a', 'b']);
	const names = ['a', 'b'];
	see({
		rates: new Map([
			[0, 6],
			[20_000, 6],
		]),
		runMs: new Map(names.map((name) => [name, 200])),
	});
	t.deepEqual(orders.holding(0), orders.holding(20_000));
	await pass(2500, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	t.notDeepEqual(orders.holding(0), orders.holding(20_000));
	t.deepEqual(orders.holding(65_535), ['c']);
	await pass(8000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	t.true(someKeys.every((key) => names.includes(orders.holding(key)[0])));
});

test('a daemon that hears of beats late takes the lease only once none can be on its way', async (t) => {
	const {daemons, pass, cut} = fleet(['x', 'y'], ['a', 'b']);
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

test('keys of a server that left a grant unanswered are served again, whatever else it holds', async (t) => {
	const {orders, pass, see, list} = fleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.unanswered.add('a');
	await pass(2000, () => undefined);
	orders.unanswered.delete('a');
	list(['a', 'b', 'c']);
	see({
		rates: new Map([
			[0, 6],
			[20_000, 6],
			[60_000, 6],
		]),
		runMs: new Map(['a', 'b', 'c'].map((name) => [name, 200])),
	});
	await pass(9000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	await pass(9000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length === 1));
	});
});

test('a daemon that starts again takes the lease of its former run at once', async (t) => {
	const {pass, put, daemons, orders} = fleet(['x'], ['a', 'b']);
	put('kingcuproute-keepers/s', {vm: 'x', beat: 1});
	await pass(2500, () => undefined);
	t.true(daemons[0].lease.isHeld);
	t.true(someKeys.every((key) => orders.holding(key).length === 1));
});

test('a grant that its server carries out after its keeper was followed makes no second holder', async (t) => {
	const {orders, daemons, pass, list} = fleet(['x', 'y'], ['a', 'b']);
	await pass(1500, () => undefined);
	const first = daemons.find(({lease}) => lease.isHeld)!;
	orders.late.set('a', 3000);
	await pass(1400, () => undefined);
	orders.late.clear();
	void first.keeper.stop();
	list(['b'], ['a']);
	await pass(9000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	t.true(someKeys.every((key) => orders.holding(key)[0] === 'b'));
});

test('keys of a server that has ended go on while its entry still stands', async (t) => {
	const {orders, pass} = fleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.holds.set('a', []);
	orders.replaced.set('a', 'd');
	await pass(3000, () => {
		t.deepEqual(orders.holds.get('a'), []);
	});
	t.true(someKeys.every((key) => orders.holding(key)[0] === 'b'));
});

test('busy keys go on within a second though their holder may still carry a grant out', async (t) => {
	const {orders, pass, see, timers} = fleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	const names = ['a', 'b'];
	orders.late.set('a', 3000);
	orders.late.set('b', 3000);
	await pass(1400, () => undefined);
	orders.late.clear();
	see({
		rates: new Map(someKeys.map((key) => [key, 2])),
		runMs: new Map(names.map((name) => [name, name === 'a' ? 600 : 100])),
	});
	const before = someKeys.map((key) => orders.holding(key)[0]);
	const heldAt = new Map<number, number>();
	await pass(9000, () => {
		const now = timers.now();
		for (const key of someKeys) {
			const holders = orders.holding(key);
			t.true(holders.length <= 1);
			t.true(now - (heldAt.get(key) ?? now) <= 1000);
			heldAt.set(key, holders.length === 1 ? now : (heldAt.get(key) ?? now));
		}
	});
	t.notDeepEqual(
		someKeys.map((key) => orders.holding(key)[0]),
		before,
	);
});

test('keys that come free for a server that has started again meanwhile go to its new run at once', async (t) => {
	const {orders, pass, list} = fleet(['x'], ['a', 'b']);
	await pass(1500, () => undefined);
	orders.silent.add('a');
	list(['b'], ['a']);
	await pass(1000, () => undefined);
	orders.crash('b');
	orders.refusing.add('b');
	list(['b'], ['a'], new Map([['b', {startedAt: 2, address: 'b2'}]]));
	await pass(9000, () => {
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
	t.true(someKeys.every((key) => orders.holding(key)[0] === 'b2'));
});

test('a keeper that hears of its lease before the answer to its beat trusts nothing of its former tenure', async (t) => {
	const {orders, daemons, pass, list, cut, unanswered} = fleet(
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
		t.true(someKeys.every((key) => orders.holding(key).length <= 1));
	});
});

test('a release that waited for a grant to end is not sent once the lease is lost', async (t) => {
	for (let afterMs = 0; afterMs < 1400; afterMs += 100) {
		const {orders, pass, list, put} = fleet(['x'], ['a', 'b']);
		await pass(1500, () => undefined);
		orders.wayMs.set('a', 750);
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

test('an older key table that another writer puts back makes no second holder', async (t) => {
	const {orders, pass, see, shared, put} = fleet(['x', 'y'], ['a', 'b']);
	const path = 'kingcuproute-range-tables/s';
	await pass(1500, () => undefined);
	const {spec} = shared.objects.get(path)!;
	const rates = new Map([
		[0, 6],
		[20_000, 6],
	]);
	see({rates, runMs: new Map(['a', 'b'].map((name) => [name, 200]))});
	await pass(2000, () => undefined);
	see({rates: new Map(), runMs: new Map()});
	t.notDeepEqual(orders.holding(0), orders.holding(20_000));
	const holders = someKeys.map((key) => orders.holding(key)[0]);
	put(path, spec);
	await pass(8000, () => {
		t.is(orders.doubled(), undefined);
	});
	t.deepEqual(orders.lowFences, []);
	t.deepEqual(
		someKeys.map((key) => orders.holding(key)[0]),
		holders,
	);
});
