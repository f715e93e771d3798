import test from 'ava';
import fc from 'fast-check';
import {initialPlannerState, plan, type Situation} from '../../src/index.js';
import {
	afterDisruption,
	isFit,
	runs,
	server,
	settle,
	situation,
	situations,
	overDomains,
	disruptions,
} from './fixture.js';

test('a drain plans all moves off servers that are out at once, and moves nothing else', (t) => {
	t.notThrows(() => {
		fc.assert(
			fc.property(situations, disruptions, (start, disruption) => {
				const {table} = settle(start);
				const now = {...afterDisruption(start, disruption), table};
				const next = plan(now, initialPlannerState(0)).table ?? table;
				const anyFit = now.servers.some(({backendServer}) =>
					isFit(now, backendServer),
				);
				return next.rows.every(({owner, to}) => {
					const drains = anyFit && !isFit(now, owner) && !now.down.has(owner);
					return drains ? isFit(now, to ?? '') : to === undefined;
				});
			}),
			runs,
		);
	});
});

test('a server that leaves and returns causes moves of its own slices only', (t) => {
	const start = situation();
	const first = settle(start);
	const owned = first.table.rows.filter(({owner}) => owner === 'desk-3').length;
	const servers = start.servers.map((other) => ({
		...other,
		out: other.backendServer === 'desk-3',
	}));
	const afterLeaving = settle({...start, servers, table: first.table});
	const movedOut = afterLeaving.changes.filter(
		({kind}) => kind === 'move',
	).length;
	const afterReturn = settle({...start, table: afterLeaving.table});
	const movedBack = afterReturn.changes.filter(
		({kind}) => kind === 'move',
	).length;
	t.is(movedOut, owned);
	t.true(movedBack <= owned, `${movedBack} moved back of ${owned}`);
	t.true(movedBack > 0);
});

test('a move is cancelled if its target goes down or out before it is carried out', (t) => {
	const {table} = settle(situation());
	const rows = table.rows.map((row, slice) =>
		slice === 0 ? {...row, to: 'desk-7'} : row,
	);
	const down = row0(
		situation({table: {...table, rows}, down: new Set(['desk-7'])}),
	);
	const out = row0(
		situation({
			table: {...table, rows},
			servers: overDomains(8, 4, server, 'desk').map((other) => ({
				...other,
				out: other.backendServer === 'desk-7',
			})),
		}),
	);
	t.deepEqual([down.to, out.to], [undefined, undefined]);
});

function row0(now: Situation) {
	return plan(now, initialPlannerState(0)).table!.rows[0];
}

test('the planner leaves the slices of a server that is down to its guardian', (t) => {
	const {table} = settle(situation());
	const now = situation({table, down: new Set(['desk-2'])});
	const next = plan(now, initialPlannerState(0));
	t.false(next.changes.some(({kind}) => kind === 'move'));
	t.false(next.table!.rows.some(({standby}) => standby === 'desk-2'));
});

test('nothing is moved to a server that no guardian has heard from yet', (t) => {
	const {table} = settle(
		situation({servers: overDomains(4, 4, server, 'desk')}),
	);
	const next = plan(situation({table, now: 5000}), initialPlannerState(0));
	const targets = next.changes.flatMap((change) =>
		change.kind === 'move' || change.kind === 'standby' ? [change.to] : [],
	);
	t.deepEqual(targets, []);
	t.truthy(next.table!.guards['desk-7']);
});

test('the loss of a server moves no slices of other servers', (t) => {
	const start = situation({now: 60_000});
	const first = settle(start).table;
	const rows = first.rows.map((row) =>
		row.owner === 'desk-0'
			? {owner: row.standby, epoch: row.epoch + 1, standby: ''}
			: row,
	);
	const down = new Set(['desk-0']);
	const {changes} = settle({...start, table: {...first, rows}, down});
	t.deepEqual(
		changes.filter(({kind}) => kind === 'move'),
		[],
	);
});
