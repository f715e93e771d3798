import test from 'ava';
import fc from 'fast-check';
import {FleetSize} from '../../src/index.js';

test('daemons that restart one after another keep their shares, and a smaller fleet is believed after half a minute', (t) => {
	const size = new FleetSize();
	t.is(size.update(0, 0), 1);
	t.is(size.update(11, 1000), 11);
	t.is(size.update(4, 6000), 11);
	t.is(size.update(9, 20_000), 11);
	t.is(size.update(4, 30_999), 11);
	t.is(size.update(4, 31_000), 9);
	t.is(size.update(4, 50_000), 4);
	t.is(size.update(12, 50_001), 12);
});

test('the size is never below what was listed in the last half minute', (t) => {
	const list = fc.record({
		count: fc.integer({min: 0, max: 200}),
		afterMs: fc.integer({min: 1, max: 20_000}),
	});
	fc.assert(
		fc.property(fc.array(list), (lists) => {
			const size = new FleetSize();
			const times = lists.map((_, index) =>
				lists.slice(0, index + 1).reduce((sum, {afterMs}) => sum + afterMs, 0),
			);
			for (const [index, now] of times.entries()) {
				const recent = lists
					.slice(0, index + 1)
					.filter((_, earlier) => now - times[earlier] < 30_000);
				const highest = Math.max(1, ...recent.map(({count}) => count));
				t.is(size.update(lists[index].count, now), highest);
			}
		}),
	);
	t.pass();
});
