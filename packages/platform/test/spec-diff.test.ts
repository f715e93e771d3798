import test from 'ava';
import fc from 'fast-check';
import {
	applyMoves,
	joinRanges,
	maxKey,
	type KeyMove,
	type ListedServer,
	type RangeTable,
} from '@kingcuproute/core';
import {patchedSpec, rangeTableSpec, specDiff, withEra} from '../src/index.js';

function serverOf(index: number): ListedServer {
	return {
		backendServer: `i-${index}`,
		startedAt: index,
		service: 's',
		address: `i-${index}:80`,
		failureDomain: 'a',
		slots: 3,
		draining: false,
		coldMs: 0,
	};
}

/** A move of the keys around `key` to the server of this number. */
function moveOf(key: number, len: number, server: number): KeyMove {
	const to = Math.min(maxKey, key + len);
	return {from: key, to, holder: undefined, target: serverOf(server)};
}

function tableAfter(moves: ReadonlyArray<readonly [number, number, number]>) {
	const all = moveOf(0, maxKey, 0);
	let table: RangeTable = {service: 's', nextFence: 1, ranges: []};
	table = applyMoves(table, [all]);
	for (const move of moves) {
		table = applyMoves(table, [moveOf(...move)]);
	}

	return table;
}

const moves = fc.array(fc.tuple(fc.nat(maxKey), fc.nat(3000), fc.nat(5)), {
	maxLength: 40,
});

test('a table is the same after its diff to any other one as before', (t) => {
	fc.assert(
		fc.property(moves, moves, (first, more) => {
			const base = rangeTableSpec(tableAfter(first));
			const table = joinRanges(tableAfter([...first, ...more]), [], 64);
			const spec = withEra(rangeTableSpec(table), 3);
			const diff = specDiff(base, spec);
			if (diff !== undefined) {
				t.deepEqual(patchedSpec(base, structuredClone(diff)), spec);
			}
		}),
	);
});

test('a few moves in a large table have a small diff', (t) => {
	const many = Array.from(
		{length: 1000},
		(_, index) => [index * 60, 20, index % 200] as const,
	);
	const base = rangeTableSpec(tableAfter(many));
	const spec = rangeTableSpec(tableAfter([...many, [31_000, 30, 7]]));
	const diff = specDiff(base, spec);
	t.true(JSON.stringify(spec).length > 30_000);
	t.true(JSON.stringify(diff).length < 500);
	t.deepEqual(patchedSpec(base, diff), spec);
});

test('what is no range table has no diff', (t) => {
	const base = rangeTableSpec(tableAfter([]));
	for (const other of [undefined, 7, {}, {ranges: [['a', 'b']]}, {ranges: 1}]) {
		t.is(specDiff(base, other), undefined);
		t.is(specDiff(other, base), undefined);
		t.is(patchedSpec(other, base), undefined);
		t.is(patchedSpec(base, other), undefined);
	}
});
