import test from 'ava';
import fc from 'fast-check';
import {chooseStandbys, type RegisteredDaemon} from '../../src/index.js';

function fleet(counts: readonly number[]): readonly RegisteredDaemon[] {
	return counts.flatMap((count, domain) =>
		Array.from({length: count}, (_, index) => ({
			vm: `front-${domain}-${index}`,
			failureDomain: `z-${domain}`,
		})),
	);
}

test('whichever failure domain is lost, two of the standbys are left, if they can be', (t) => {
	for (const counts of [
		[3, 3, 3],
		[1, 40, 2],
		[33, 33, 33, 32, 32, 32],
	]) {
		const daemons = fleet(counts);
		const standbys = chooseStandbys(daemons);
		t.is(standbys.size, 3);
		for (const lost of counts.keys()) {
			const left = daemons.filter(
				({vm, failureDomain}) =>
					failureDomain !== `z-${lost}` && standbys.has(vm),
			);
			t.true(left.length >= 2, `${counts.join(',')}: ${lost}`);
		}
	}
});

test('two domains share the standbys, one has them all, and fewer daemons are all standbys', (t) => {
	t.deepEqual([...chooseStandbys(fleet([3, 3]))].sort(), [
		'front-0-0',
		'front-0-1',
		'front-1-0',
	]);
	t.is(chooseStandbys(fleet([5])).size, 3);
	t.deepEqual([...chooseStandbys(fleet([1, 1]))], ['front-0-0', 'front-1-0']);
	t.is(chooseStandbys([]).size, 0);
});

test('all daemons choose alike, in whatever order they read the others', (t) => {
	const daemons = fleet([4, 2, 7, 1]);
	const expected = [...chooseStandbys(daemons)];
	fc.assert(
		fc.property(
			fc.shuffledSubarray([...daemons], {minLength: daemons.length}),
			(shuffled) => {
				t.deepEqual([...chooseStandbys(shuffled)], expected);
			},
		),
	);
});
