import test from 'ava';
import {
	type KeyRange,
	type KeyTraffic,
	type ListedServer,
	type Millis,
} from '@kingcuproute/core';
import {
	KeyOrders,
	ObjectStore,
	type Addressee,
	type ObjectError,
	type ObjectWrite,
	type OrderEnd,
	type StoredObject,
} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {KeeperLease} from '../src/gateway/keeper-lease.js';
import {KeyKeeper} from '../src/gateway/key-keeper.js';
import {Log} from '../src/log/log.js';
import {Timers} from './timers.js';

type Rev = {readonly revision: number; readonly spec: unknown};

/** Objects in memory, with conditional writes; a watch is replaced by calls of `heard`. */
class MemoryStore extends ObjectStore {
	readonly objects = new Map<string, Rev>();
	/** Daemons that do not reach the store. */
	readonly cut = new Set<string>();
	/** Daemons whose writes are done and get no answer. */
	readonly unanswered = new Set<string>();
	/** How long a write that is done waits for its answer. */
	answerMs: Millis = 0;
	#revision = 1;

	constructor(
		private readonly vm: string,
		private readonly timers: Timers,
		private readonly shared?: MemoryStore,
	) {
		super();
	}

	override async list(kind: string) {
		const objects = [...this.#all()]
			.filter(([path]) => path.startsWith(`${kind}/`))
			.map(([path, held]) => stored(path, held));
		return Right({revision: 0, objects});
	}

	override async watch(): Promise<Either<ObjectError, never>> {
		return Left({kind: 'expired'});
	}

	override async write({kind, name, revision, spec}: ObjectWrite) {
		const owner = this.shared ?? this;
		if (owner.cut.has(this.vm)) {
			return Left<ObjectError>({kind: 'unknown', message: 'cut off'});
		}

		const path = `${kind}/${name}`;
		const held = owner.objects.get(path);
		if (held?.revision !== revision) {
			return Left<ObjectError>({
				kind: 'conflict',
				held: held && stored(path, held),
			});
		}

		const next = owner.put(path, spec);
		await this.timers.sleep(owner.answerMs);
		return owner.unanswered.has(this.vm)
			? Left<ObjectError>({kind: 'unknown', message: 'no answer'})
			: Right(stored(path, next));
	}

	put(path: string, spec: unknown): Rev {
		this.#revision++;
		const next = {revision: this.#revision, spec};
		this.objects.set(path, next);
		return next;
	}

	override async remove() {
		return Right(undefined);
	}

	#all() {
		return (this.shared ?? this).objects;
	}
}

function stored(path: string, {revision, spec}: Rev): StoredObject {
	const name = path.slice(path.indexOf('/') + 1);
	return {name, revision, spec, status: undefined, rest: {}};
}

type Hold = Pick<KeyRange, 'from' | 'to' | 'fence'> & {readonly until: Millis};

/** Backend servers that keep what they are granted; a silent one answers nothing and keeps its leases. */
class HoldingServers extends KeyOrders {
	readonly holds = new Map<string, Hold[]>();
	readonly silent = new Set<string>();
	/** Servers that take grants and do not answer them. */
	readonly unanswered = new Set<string>();
	/** How long a server takes to answer a release. */
	readonly releaseMs = new Map<string, Millis>();
	/** What runs at an address in place of the server of that name. */
	readonly replaced = new Map<string, string>();

	constructor(private readonly timers: Timers) {
		super();
	}

	override async grant(
		{address, backendServer}: Addressee,
		{from, to, fence, leaseMs}: Parameters<KeyOrders['grant']>[1],
		timeoutMs: Millis,
	): Promise<OrderEnd> {
		if (this.silent.has(address)) {
			await this.timers.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

		if (this.#isAnother(address, backendServer)) {
			return {kind: 'ended'};
		}

		const rest = this.#rest(address, from, to);
		const until = this.timers.now() + leaseMs;
		this.holds.set(address, [...rest, {from, to, fence, until}]);
		if (this.unanswered.has(address)) {
			await this.timers.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

		return {kind: 'taken', handover: undefined};
	}

	override async release(
		{address, backendServer}: Addressee,
		{from, to}: Parameters<KeyOrders['release']>[1],
		timeoutMs: Millis,
	): Promise<OrderEnd> {
		if (this.silent.has(address)) {
			await this.timers.sleep(timeoutMs);
			return {kind: 'unknown', message: 'no answer'};
		}

		if (this.#isAnother(address, backendServer)) {
			return {kind: 'ended'};
		}

		await this.timers.sleep(this.releaseMs.get(address) ?? 0);
		this.holds.set(address, this.#rest(address, from, to));
		return {kind: 'taken', handover: `from ${address}`};
	}

	/** Servers that hold `key` now. */
	holding(key: number): readonly string[] {
		const now = this.timers.now();
		return [...this.holds]
			.filter(([, holds]) =>
				holds.some(
					({from, to, until}) => from <= key && key <= to && now < until,
				),
			)
			.map(([address]) => address);
	}

	#isAnother(address: string, backendServer: string): boolean {
		return (this.replaced.get(address) ?? backendServer) !== backendServer;
	}

	#rest(address: string, from: number, to: number): Hold[] {
		return (this.holds.get(address) ?? []).flatMap((hold) =>
			to < hold.from || from > hold.to
				? [hold]
				: [
						{...hold, to: from - 1},
						{...hold, from: to + 1},
					].filter((part) => part.from <= part.to),
		);
	}
}

function server(backendServer: string): ListedServer {
	return {
		backendServer,
		startedAt: 1,
		service: 's',
		address: backendServer,
		failureDomain: 'a',
		slots: 3,
		draining: false,
		coldMs: 0,
	};
}

/** Daemons that keep the keys of one service of `servers`, each told what the store holds. */
function fleet(vms: readonly string[], names: readonly string[]) {
	const timers = new Timers();
	const shared = new MemoryStore('', timers);
	const orders = new HoldingServers(timers);
	let servers = names.map((name) => server(name));
	let listed = servers;
	let traffic: KeyTraffic = {rates: new Map(), runMs: new Map()};
	const log = Log.to({level: 'silent', routingSample: 1}, {});
	const daemons = vms.map((vm) => {
		const store = new MemoryStore(vm, timers, shared);
		const lease = new KeeperLease('s', vm, {store, clock: timers, log});
		const keeper = new KeyKeeper({
			service: 's',
			lease,
			store,
			orders,
			clock: timers,
			log,
			servers: () => servers,
			listed: () => listed,
			traffic: () => traffic,
		});
		keeper.start();
		return {vm, lease, keeper};
	});
	const tell = () => {
		for (const {vm, lease, keeper} of daemons) {
			if (!shared.cut.has(vm)) {
				lease.heard(held('kingcuproute-keepers/s'));
				keeper.heard(held('kingcuproute-range-tables/s'));
			}
		}
	};

	const held = (path: string) => {
		const found = shared.objects.get(path);
		return found && stored(path, found);
	};

	return {
		timers,
		orders,
		daemons,
		cut: shared.cut,
		unanswered: shared.unanswered,
		shared,
		put: (path: string, spec: unknown) => shared.put(path, spec),
		list(next: readonly string[], leaving: readonly string[] = []) {
			servers = next.map((name) => server(name));
			listed = [...servers, ...leaving.map((name) => server(name))];
		},
		see(next: KeyTraffic) {
			traffic = next;
		},
		/** Lets time pass and checks at each step what must always hold. */
		async pass(ms: Millis, check: () => void) {
			for (let passed = 0; passed < ms; passed += 50) {
				await timers.pass(50);
				tell();
				check();
			}
		},
	};
}

const someKeys = [0, 1, 20_000, 30_000, 33_000, 50_000, 60_000, 65_535];

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
	second.lease.patient = true;
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
