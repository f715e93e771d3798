import test from 'ava';
import {Ranking} from '../../src/placement/ranking.js';

const names = Array.from({length: 40}, (_, index) => `desk-${index}`);
const keys = Array.from({length: 8000}, (_, index) => `ticket-desk/${index}`);

function firsts(excluded: ReadonlySet<string>): readonly string[] {
	const ranking = Ranking.of(names);
	return keys.map((key) => ranking.first(key, (name) => !excluded.has(name))!);
}

test('rendezvous hashing spreads keys evenly, and also the keys of a name that is lost', (t) => {
	const before = firsts(new Set());
	const after = firsts(new Set(['desk-3']));
	const counts = names.map(
		(name) => before.filter((first) => first === name).length,
	);
	t.true(Math.max(...counts) < 280, `keys by server: ${counts.join(' ')}`);
	t.true(Math.min(...counts) > 130, `keys by server: ${counts.join(' ')}`);
	const moved = [...after.keys()].filter((at) => after[at] !== before[at]);
	t.true(moved.every((at) => before[at] === 'desk-3'));
	t.true(new Set(moved.map((at) => after[at])).size > 30);
});
