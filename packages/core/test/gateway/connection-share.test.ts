import test from 'ava';
import fc from 'fast-check';
import {connectionShare} from '../../src/index.js';

test('the connections of all daemons, one for health checks each included, stay within what a server accepts', (t) => {
	t.is(connectionShare(130, 11), 10);
	t.is(connectionShare(1200, 195), 5);
	fc.assert(
		fc.property(
			fc.integer({min: 1, max: 5000}),
			fc.integer({min: 1, max: 5000}),
			(connections, daemons) => {
				const share = connectionShare(connections, daemons);
				t.true(share >= 1);
				if (connections >= 2 * daemons) {
					t.true((share + 1) * daemons <= connections);
				}
			},
		),
	);
});
