import test from 'ava';
import fc from 'fast-check';
import {
	choosePeers,
	chooseWatchers,
	KindHistory,
	PeerStanding,
	SeededRandom,
	type PeerEntry,
	type Watcher,
} from '../../src/index.js';

function entriesOf(failureDomain: string, count: number): PeerEntry[] {
	return Array.from({length: count}, (_, index) => ({
		vm: `${failureDomain}-${index}`,
		failureDomain,
		address: `10.0.0.${index}:7620`,
		capacity: index,
	}));
}

const vmsOf = (watchers: readonly Watcher[]) => watchers.map(({vm}) => vm);

test('the watchers of a domain are one in 16, those of highest capacity, whatever the order of the entries', (t) => {
	const entries = entriesOf('a', 33);
	const expected = ['a-32', 'a-31', 'a-30'];
	t.deepEqual(vmsOf(chooseWatchers('a', entries)), expected);
	t.deepEqual(vmsOf(chooseWatchers('a', entries.toReversed())), expected);
});

test('a small domain, and entries without an address, have no watchers', (t) => {
	t.deepEqual(chooseWatchers('a', entriesOf('a', 3)), []);
	const withoutAddress = entriesOf('a', 20).map(({vm, failureDomain}) => ({
		vm,
		failureDomain,
	}));
	t.deepEqual(chooseWatchers('a', withoutAddress), []);
});

test('a watcher reads from nobody, others from their own domain first, spread over its watchers', (t) => {
	const entries = [...entriesOf('a', 64), ...entriesOf('b', 20)];
	t.deepEqual(choosePeers({vm: 'a-63', failureDomain: 'a'}, entries), []);
	const firsts = new Set<string>();
	for (const {vm} of entriesOf('a', 60)) {
		const peers = choosePeers({vm, failureDomain: 'a'}, entries);
		t.deepEqual(
			peers.map(({failureDomain}) => failureDomain),
			['a', 'a', 'a', 'a', 'b', 'b'],
		);
		firsts.add(peers[0].vm);
	}

	t.is(firsts.size, 4);
});

test('the changes since any known revision lead from the objects then to those now', (t) => {
	const write = fc.record({
		name: fc.constantFrom('a', 'b', 'c'),
		removed: fc.boolean(),
		isRead: fc.boolean(),
	});
	fc.assert(
		fc.property(fc.array(write, {maxLength: 30}), (writes) => {
			const history = new KindHistory<{name: string; revision: number}>();
			const copies: Array<
				ReadonlyMap<string, {name: string; revision: number}>
			> = [];
			let current = new Map<string, {name: string; revision: number}>();
			for (const [index, {name, removed, isRead}] of writes.entries()) {
				current = new Map(current);
				const revision = index + 1;
				if (removed) {
					current.delete(name);
				} else {
					current.set(name, {name, revision});
				}

				if (isRead) {
					history.update(current, revision, 0);
					copies[revision] = current;
				}
			}

			const last = copies.at(-1) ?? new Map();
			for (const [since, copy] of copies.entries()) {
				const changes = copy && history.changesAfter(since);
				if (changes) {
					const updated = new Map(copy);
					for (const {name} of changes.removed) {
						updated.delete(name);
					}

					for (const object of changes.objects) {
						updated.set(object.name, object);
					}

					t.deepEqual(Object.fromEntries(updated), Object.fromEntries(last));
				}
			}
		}),
	);
});

test('a history that began after a removal does not claim to know it', (t) => {
	const history = new KindHistory<{name: string; revision: number}>();
	history.update(new Map([['a', {name: 'a', revision: 3}]]), 10, 0);
	t.is(history.changesAfter(3), undefined);
	t.deepEqual(history.changesAfter(10), {
		objects: [],
		removed: [],
		changedSince: Infinity,
	});
});

// An object that came and went between two copies used to stay with a daemon that had read it from the store.
test('a history does not claim to know the changes since a revision of which it had no copy', (t) => {
	const history = new KindHistory<{name: string; revision: number}>();
	const kept = [['a', {name: 'a', revision: 3}]] as const;
	history.update(new Map(kept), 3, 0);
	history.update(new Map([...kept, ['b', {name: 'b', revision: 6}]]), 6, 0);
	t.is(history.changesAfter(4), undefined);
	t.is(history.changesAfter(3)?.objects.length, 1);
});

test('a peer is used once proven, left at a fault, and probed more and more rarely while silent', (t) => {
	const [first, second] = entriesOf('a', 2) as Watcher[];
	const standing = new PeerStanding([first, second], new SeededRandom(1));
	t.is(standing.best, undefined);
	t.deepEqual(standing.dueProbes(0), [first, second]);
	standing.answered(second.vm, 0);
	t.is(standing.best, second);
	standing.answered(first.vm, 0);
	t.is(standing.best, first);
	standing.failed(first.vm, 'silent', 100);
	t.is(standing.best, second);
	t.deepEqual(standing.dueProbes(101), []);
	t.deepEqual(standing.dueProbes(1000), [first]);
	for (let strike = 0; strike < 10; strike++) {
		standing.failed(first.vm, 'silent', 1000);
	}

	t.deepEqual(standing.dueProbes(4000), []);
});

test('the store is away only by the word of two domains, and not for long', (t) => {
	const [one, two] = entriesOf('a', 2) as Watcher[];
	const [other] = entriesOf('b', 1) as Watcher[];
	const standing = new PeerStanding([one, two, other], new SeededRandom(1));
	standing.failed(one.vm, 'store-fails', 0);
	standing.failed(two.vm, 'store-fails', 0);
	t.false(standing.isStoreAway(0));
	standing.failed(other.vm, 'store-fails', 0);
	t.true(standing.isStoreAway(0));
	t.false(standing.isStoreAway(10_000));
	standing.answered(one.vm, 0);
	t.false(standing.isStoreAway(0));
});
