import test from 'ava';
import fc from 'fast-check';
import {
	diffTables,
	sliceTableSchema,
	tableChangeSchema,
	applyTableChange,
	type SliceTable,
} from '../../src/index.js';

const server = fc.constantFrom('s-1', 's-2', 's-3');
const row = fc.record(
	{owner: server, epoch: fc.nat(3), standby: server, to: server},
	{requiredKeys: ['owner', 'epoch', 'standby']},
);
const guard = fc.record(
	{
		term: fc.integer({min: 1, max: 3}),
		incarnation: fc.constantFrom('', 'a'),
		guardian: server,
		successor: server,
		lost: fc.boolean(),
		former: fc.array(server, {maxLength: 2}),
	},
	{requiredKeys: ['term', 'incarnation', 'guardian', 'successor']},
);
const table = fc.record(
	{
		service: fc.constant('ticket-desk'),
		rows: fc.array(row, {maxLength: 6}),
		hot: fc.array(fc.record({key: fc.constantFrom('', 'k')}), {maxLength: 2}),
		guards: fc.dictionary(server, guard),
		writer: fc.constantFrom('vm-1.a', 'vm-2.b'),
	},
	{requiredKeys: ['service', 'rows', 'guards', 'writer']},
);

/** The table as another daemon reads it from JSON. */
function parseTable(value: unknown): SliceTable {
	const json = JSON.stringify(value);
	return sliceTableSchema.parse(JSON.parse(json));
}

test('a change, sent as JSON, turns any table into any other', (t) => {
	fc.assert(
		fc.property(table, table, (first, second) => {
			const [from, to] = [parseTable(first), parseTable(second)];
			const sent = JSON.stringify(diffTables(from, to));
			const change = tableChangeSchema.parse(JSON.parse(sent));
			t.deepEqual(applyTableChange(from, change), to);
		}),
	);
});

test('a change of one row contains only that row', (t) => {
	const from = parseTable({
		service: 'ticket-desk',
		rows: ['s-1', 's-2', 's-3'].map((owner) => ({
			owner,
			epoch: 1,
			standby: 's-1',
		})),
		guards: {},
		writer: 'vm-1.a',
	});
	const moved = {owner: 's-1', epoch: 2, standby: 's-3'};
	const to = {...from, rows: from.rows.with(1, moved)};
	const {rows, guards, hot} = diffTables(from, to);
	t.deepEqual(rows, [{slice: 1, row: moved}]);
	t.deepEqual(guards, []);
	t.is(hot, undefined);
});
