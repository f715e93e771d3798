import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {
	rowIndexOf,
	tableInForce,
	View,
	type SliceTable,
} from '../../src/index.js';
import {keys} from './key-owners.js';
import {anyConditions} from './model-faults.js';
import {type Conditions, type Fault} from './model-conditions.js';
import {ModelWorld} from './model-world.js';

const runs = Number(process.env.RUNS ?? 100);
const settleMs = 6000;

const key = fc.constantFrom(...keys.slice(0, 3));
const server = fc.nat(2);
const daemon = fc.nat(3);
const ms = fc.integer({min: 50, max: 2000});
const keyChange: fc.Arbitrary<Fault> = fc.oneof(
	fc.record({kind: fc.constant('heat' as const), key}),
	fc.record({kind: fc.constant('cool' as const), key}),
	fc.record({kind: fc.constant('drop' as const), key}),
	fc.record({kind: fc.constant('move' as const), slice: fc.nat(6), to: server}),
	fc.record({kind: fc.constant('wait' as const), ms}),
);
const anyFault: fc.Arbitrary<Fault> = fc.oneof(
	{weight: 4, arbitrary: keyChange},
	fc.record({kind: fc.constant('pause' as const), daemon, ms}),
	fc.record({kind: fc.constant('kill' as const), daemon}),
	fc.record({kind: fc.constant('kill-server' as const), server}),
	fc.record({kind: fc.constant('restart-server' as const), server}),
	fc.record({kind: fc.constant('outage' as const), ms}),
	fc.record({kind: fc.constant('lose-answers' as const), ms}),
);
test('a key that becomes hot, moves and cools never has two owners, however old a daemon’s table', (t) => {
	const property = fc.property(
		anyConditions,
		fc.array(anyFault, {maxLength: 30}),
		(conditions, faults) => {
			const world = runWorld(conditions, faults);
			return world.violations.length === 0 && world.unowned().length === 0;
		},
	);
	fc.assert(property, {numRuns: runs});
	t.pass();
});

test('a key gets a row of its own, which moves alone, and goes back to its slice', (t) => {
	const world = runWorld({...calmConditions}, [
		{kind: 'heat', key: 'a'},
		{kind: 'wait', ms: 1000},
		{kind: 'move', slice: 4, to: 2},
		{kind: 'wait', ms: 1000},
	]);
	t.deepEqual(world.violations, []);
	const {rows} = world.table;
	t.is(rows[4].owner, 'c');
	world.apply({kind: 'cool', key: 'a'});
	world.run(2000);
	t.is(world.table.rows[4].owner, '');
	t.deepEqual(world.table.hot, [{key: ''}]);
	t.deepEqual(world.violations, []);
});

test('a succession of a slice without its hot key does not apply to a table from before the key became hot', (t) => {
	const rows = [{owner: 'a', epoch: 3, standby: 'b'}];
	const guard = {term: 1, incarnation: 'a.1', guardian: 'd0', successor: 'd1'};
	const table: SliceTable = {
		service: 'ticket-desk',
		rows,
		guards: {a: guard},
		writer: '',
	};
	// Decided after the slice's epoch rose from 3 to 4 for the hot key.
	const succession = {
		service: 'ticket-desk',
		server: 'a',
		term: 1,
		rows: [{slice: 0, owner: 'b', epoch: 5}],
	};
	const view = View.empty.with([
		{kind: 'table', name: 'ticket-desk', version: 1, value: table},
		{kind: 'succession', name: 'a', version: 1, value: succession},
	]);
	const tableInUse = tableInForce(view, 'ticket-desk')!;
	t.deepEqual(tableInUse.rows[rowIndexOf(tableInUse, 'a')], rows[0]);
});

const calmConditions: Conditions = {
	seed: 1,
	checksFence: true,
	delayMs: 5,
	lost: 0,
	doubled: 0,
};

function runWorld(
	conditions: Conditions,
	faults: readonly Fault[],
): ModelWorld {
	const world = new ModelWorld(conditions);
	world.run(1000);
	for (const each of faults) {
		world.apply(each);
		world.run(100);
	}

	world.heal();
	world.run(settleMs);
	return world;
}
