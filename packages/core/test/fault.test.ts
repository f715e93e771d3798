import test from 'ava';
import fc from 'fast-check';
import {z} from 'zod';
import {validate} from '../src/index.js';

/** Bounded, because fault messages become part of log lines. */
const maxMessageLen = 400;

const document = z.strictObject({
	name: z.string(),
	rows: z.array(z.number()),
});

function nested(depth: number): unknown {
	return JSON.parse(`${'['.repeat(depth)}${']'.repeat(depth)}`);
}

test('messages are bounded for values of any depth, length or number of faults', (t) => {
	const value = fc.oneof(
		fc.nat(200_000).map((depth) => nested(depth)),
		fc.nat(300_000).map((len) => 'x'.repeat(len)),
		fc.nat(200_000).map((len) => Array.from({length: len}, () => 'x')),
		fc.jsonValue(),
	);
	fc.assert(
		fc.property(value, value, value, (name, rows, novelty) => {
			const invalid = {name, rows, novelty};
			validate(document, invalid).ifLeft((faults) => {
				t.true(faults.length > 0 && faults.length <= 100);
				t.true(faults.every(({message}) => message.length <= maxMessageLen));
			});
			t.true(validate(document, invalid).isLeft());
		}),
		{numRuns: 10},
	);
});

test('a short invalid value is shown in full', (t) => {
	const invalid = {name: {a: [1, null]}, rows: [], novelty: 'x'};
	t.deepEqual(validate(document, invalid).extract(), [
		{
			path: 'name',
			message:
				'Invalid input: expected string, received object, found {"a":[1,null]}',
		},
		{path: 'novelty', message: 'unknown key, allowed: name, rows, found "x"'},
	]);
});
