import test from 'ava';
import fc from 'fast-check';
import {
	hotRows,
	maxHotRows,
	initialPlannerState,
	plan,
	rowWeights,
	sliceOf,
	type Change,
	type Situation,
	type SliceTable,
} from '../../src/index.js';
import {
	afterDisruption,
	carryOut,
	isFit,
	loadOf,
	runs,
	settle,
	server,
	situation,
	overDomains,
	disruptions,
} from './fixture.js';

const base = 100;
const slices = 64;

/** A situation where every slice has the same base load, plus the loads of its keys. */
function situationWithKeys(
	keys: ReadonlyMap<string, number>,
	more: Partial<Situation> = {},
): Situation {
	const loads = new Map(
		Array.from({length: slices}, (_, slice) => [slice, base]),
	);
	for (const [key, load] of keys) {
		const slice = sliceOf(key, slices);
		loads.set(slice, loads.get(slice)! + load);
	}

	return situation({keys, loads, ...more});
}

const hotSets: fc.Arbitrary<ReadonlyMap<string, number>> = fc
	.uniqueArray(fc.integer({min: 0, max: 400}), {maxLength: 150})
	.chain((ids) =>
		fc
			.array(fc.integer({min: 1, max: 6000}), {
				minLength: ids.length,
				maxLength: ids.length,
			})
			.map((loads) => new Map(ids.map((id, at) => [`key-${id}`, loads[at]]))),
	);

const hotKinds = new Set(['heat', 'cool', 'drop']);

function kinds(changes: readonly Change[]): readonly string[] {
	return changes.map(({kind}) => kind).filter((kind) => hotKinds.has(kind));
}

test('after any change of the hot keys the planner converges, with no more rows than allowed and no key with little load', (t) => {
	const property = fc.property(hotSets, hotSets, (first, second) => {
		const start = settle(situationWithKeys(first));
		const now = situationWithKeys(second, {table: start.table, now: 1_000_000});
		const {table} = settle(now);
		const mean = 1 / now.servers.length;
		const {keys} = rowWeights({...now, table});
		const named = (table.hot ?? []).filter(({key}) => key !== '');
		return (
			named.length === hotRows(table).size &&
			named.length <= maxHotRows &&
			(table.hot ?? []).length <= maxHotRows &&
			named.every(
				({key, cools}) =>
					!cools && (keys.get(key) ?? 0) >= now.policy.coolShare * mean,
			)
		);
	});
	fc.assert(property, runs);
	t.pass();
});

test('after any disruption and change of the hot keys, no row stays on a server that is out, and no key stays marked to return', (t) => {
	const property = fc.property(
		hotSets,
		hotSets,
		disruptions,
		(first, second, disruption) => {
			const start = settle(situationWithKeys(first));
			const later = situationWithKeys(second, {
				table: start.table,
				now: 1_000_000,
			});
			const now = afterDisruption(later, disruption);
			const {table} = settle(now);
			const isHeard = (name: string) => !now.down.has(name);
			const fits = now.servers.some(({backendServer}) =>
				isFit(now, backendServer),
			);
			const isBlocked = table.rows.some(({owner}) => !isHeard(owner));
			return (
				!fits ||
				isBlocked ||
				(table.rows.every(({owner}) => owner === '' || isFit(now, owner)) &&
					(table.hot ?? []).every(({cools}) => !cools))
			);
		},
	);
	fc.assert(property, runs);
	t.pass();
});

test('weights sum to 1, and a hot key’s row has the weight that is subtracted from its slice', (t) => {
	const property = fc.property(hotSets, (keys) => {
		const now = situationWithKeys(keys);
		const {table} = settle(now);
		const {rows} = rowWeights({...now, table});
		const plain = rowWeights({...now, table: undefined}).rows;
		const back = rows.slice(0, slices);
		for (const [key, row] of hotRows(table)) {
			back[sliceOf(key, slices)] += rows[row];
		}

		return (
			rows.length === table.rows.length &&
			Math.abs(rows.reduce((sum, weight) => sum + weight, 0) - 1) < 1e-9 &&
			back.every((weight, slice) => Math.abs(weight - plain[slice]) < 1e-9)
		);
	});
	fc.assert(property, runs);
	t.pass();
});

test('fluctuating load gives each key a row at most once and takes none back', (t) => {
	const factorLists = fc.array(fc.double({min: 0.85, max: 1.15, noNaN: true}), {
		minLength: 30,
		maxLength: 30,
	});
	const property = fc.property(hotSets, factorLists, (keys, factors) => {
		let {table} = settle(situation());
		let state = initialPlannerState(0);
		const seen: Change[] = [];
		for (const [turn, factor] of factors.entries()) {
			const fluctuating = [...keys].map(
				([key, load], at) =>
					[key, load * (at % 2 === 0 ? factor : 2 - factor)] as const,
			);
			const now = situationWithKeys(new Map(fluctuating), {
				table,
				now: turn * 2000,
			});
			const next = plan(now, state);
			state = next.state;
			seen.push(...next.changes);
			table = next.table ? carryOut(next.table) : table;
		}

		const named = seen.flatMap((change) =>
			change.kind === 'heat' ? [change.key] : [],
		);
		return (
			kinds(seen).every((kind) => kind === 'heat') &&
			new Set(named).size === named.length
		);
	});
	fc.assert(property, runs);
	t.pass();
});

test('changes of hot keys and moves stay within the churn budget, and no owner or epoch is written', (t) => {
	const property = fc.property(
		hotSets,
		hotSets,
		fc.integer({min: 0, max: 3000}),
		(first, second, ms) => {
			const {table} = settle(situationWithKeys(first));
			const now = situationWithKeys(second, {table, now: ms});
			const next = plan(now, initialPlannerState(0));
			const made = next.changes.filter(
				({kind}) => kind === 'move' || kind === 'heat',
			);
			const budget = Math.min(
				now.policy.moveBurst,
				Math.floor((ms * now.policy.movesPerSecond) / 1000),
			);
			return (
				made.length <= budget &&
				next.state.budget.tokens >= 0 &&
				(next.table ?? table).rows.every(({owner, epoch}, row) => {
					const known = table.rows[row] ?? {owner: '', epoch: 0};
					return owner === known.owner && epoch === known.epoch;
				})
			);
		},
	);
	fc.assert(property, runs);
	t.pass();
});

test('hot keys of one slice get different owners, and one that loses its load returns to its slice', (t) => {
	const [one, two] = twoKeysOfOneSlice();
	const calm = settle(situation());
	const both = new Map([
		[one, 2000],
		[two, 2000],
	]);
	const now = situationWithKeys(both, {table: calm.table});
	const separated = settle(now);
	const rows = hotRows(separated.table);
	t.true(rows.has(one) || rows.has(two));
	t.not(ownerOf(separated.table, one), ownerOf(separated.table, two));
	const later = settle(
		situationWithKeys(new Map([[one, 2000]]), {
			table: separated.table,
			now: 1_000_000,
		}),
	);
	t.false(hotRows(later.table).has(two));
	const {rows: weights} = rowWeights({...now, table: separated.table});
	const loads = loadOf(separated.table, new Map(weights.entries()));
	t.true(Math.max(...loads.values()) * now.servers.length < 1.5);
});

test('when the hot keys change, fewer slices move with rows for hot keys than without', (t) => {
	const hot = (slices: readonly number[], name: string) =>
		new Map(slices.map((slice) => [keyIn(slice, name), 3000]));
	const moved = (allowed: number) => {
		const policy = {...situation().policy, hotRows: allowed};
		const first = settle(
			situationWithKeys(hot([0, 1, 2, 3], 'first'), {policy}),
		);
		const shifted = situationWithKeys(hot([4, 5, 6, 7], 'second'), {
			policy,
			table: first.table,
			now: 1_000_000,
		});
		return settle(shifted).changes.filter(
			(change) => change.kind === 'move' && change.slice < slices,
		).length;
	};

	const [without, withRows] = [moved(0), moved(maxHotRows)];
	t.true(
		withRows < without / 2,
		`${withRows} slices moved, ${without} without rows`,
	);
});

test('no key gets a row if there is only one server, or if no server is overloaded', (t) => {
	const keys = new Map([['a', 100_000]]);
	const alone = settle(
		situationWithKeys(keys, {servers: overDomains(1, 1, server, 'desk')}),
	);
	t.is(alone.table.hot, undefined);
	const even = new Map(
		Array.from({length: slices}, (_, slice) => [keyIn(slice), base]),
	);
	t.is(settle(situationWithKeys(even)).table.hot, undefined);
});

test('when all rows are taken, a key with twice the load of the lightest key replaces it', (t) => {
	const policy = {...situation().policy, hotRows: 1};
	const first = settle(situationWithKeys(new Map([['a', 2000]]), {policy}));
	t.deepEqual([...hotRows(first.table).keys()], ['a']);
	const keys = new Map([
		['a', 2000],
		['b', 9000],
	]);
	const now = {policy, table: first.table, now: 1_000_000};
	t.deepEqual(
		[...hotRows(settle(situationWithKeys(keys, now)).table).keys()],
		['b'],
	);
});

test('the row of a key that returns to its slice follows the slice’s planned move', (t) => {
	const keys = new Map([['a', 2000]]);
	const {table} = settle(situationWithKeys(keys));
	const slice = sliceOf('a', slices);
	const {owner} = table.rows[slices];
	const others = [...new Set(table.rows.map((row) => row.owner))].filter(
		(name) => name !== owner,
	);
	const target = others[2];
	const marked = {...table, hot: [{key: 'a', cools: true}]};
	const rows = marked.rows.map((row, at) => {
		const {to, ...rest} = row;
		return at === slice ? {...rest, owner: others[0], to: target} : rest;
	});
	const now = situationWithKeys(keys, {
		table: {...marked, rows},
		now: 1_000_000,
	});
	const state = {...initialPlannerState(0), budget: {tokens: 4, at: 1_000_000}};
	const next = plan(now, state);
	t.is(next.table!.rows[slices].to, target);
});

test('with no rows allowed, keys that have one return to their slices', (t) => {
	const keys = new Map([['a', 5000]]);
	const first = settle(situationWithKeys(keys));
	t.is(hotRows(first.table).size, 1);
	const policy = {...situation().policy, hotRows: 0};
	const now = situationWithKeys(keys, {
		policy,
		table: first.table,
		now: 1_000_000,
	});
	t.is(hotRows(settle(now).table).size, 0);
});

/** Two keys of one slice. */
function twoKeysOfOneSlice(): readonly [string, string] {
	return [keyIn(0), keyIn(0, 'other')];
}

function keyIn(slice: number, name = 'key'): string {
	for (let index = 0; ; index++) {
		if (sliceOf(`${name}-${index}`, slices) === slice) {
			return `${name}-${index}`;
		}
	}
}

function ownerOf(table: SliceTable, key: string): string {
	const row = hotRows(table).get(key) ?? sliceOf(key, slices);
	return table.rows[row].owner;
}
