import test from 'ava';
import fc from 'fast-check';
import {
	initialPlannerState,
	plan,
	sliceWeights,
	type Situation,
	type SliceTable,
} from '../../src/index.js';
import {
	afterDisruption,
	isFit,
	loadOf,
	runs,
	server,
	settle,
	situation,
	situations,
	overDomains,
	disruptions,
} from './fixture.js';

/** By how much the most loaded server exceeds the load that the policy allows, including the weight of idle slices. */
function excess(now: Situation, table: SliceTable): number {
	const {policy, service} = now;
	const weights = sliceWeights(service.slices, now);
	const fit = now.servers
		.map(({backendServer}) => backendServer)
		.filter((name) => isFit(now, name));
	const sums = loadOf(table, new Map(weights.entries()));
	const heaviest = Math.max(...weights);
	const most = Math.max(...fit.map((name) => sums.get(name) ?? 0));
	const mostTarget = policy.maxDomainSkew / fit.length;
	return most - mostTarget * (1 + policy.startShare) - heaviest;
}

test('after any disruption the planner converges, with loads within the bound', (t) => {
	t.notThrows(() => {
		fc.assert(
			fc.property(situations, disruptions, (start, disruption) => {
				const now = {
					...afterDisruption(start, disruption),
					table: settle(start).table,
				};
				const {table} = settle(now);
				const blocked = table.rows.some(({owner}) => now.down.has(owner));
				const noneFit = !now.servers.some(({backendServer}) =>
					isFit(now, backendServer),
				);
				return blocked || noneFit || excess(now, table) <= 1e-9;
			}),
			runs,
		);
	});
});

test('moves for balance stay within the churn budget, and moves of a drain do not wait for it', (t) => {
	const first = settle(situation({servers: overDomains(4, 4, server, 'desk')}));
	const guards = overDomains(8, 4, server, 'desk').map(({backendServer}) => {
		const guard =
			first.table.guards[backendServer] ?? first.table.guards['desk-0'];
		return [backendServer, guard] as const;
	});
	const table = {...first.table, guards: Object.fromEntries(guards)};
	const grown = situation({table, now: 1000});
	const state = initialPlannerState(0);
	const moves = plan(grown, state).changes.filter(({kind}) => kind === 'move');
	t.is(moves.length, grown.policy.movesPerSecond);
	const nothing = plan({...grown, now: 0}, state);
	t.false(nothing.changes.some(({kind}) => kind === 'move'));
});

test('load that fluctuates within the bound moves nothing', (t) => {
	t.notThrows(() => {
		fc.assert(
			fc.property(
				fc.array(fc.double({min: 900, max: 1100, noNaN: true}), {
					minLength: 64,
					maxLength: 64,
				}),
				(loads) => {
					const {table} = settle(situation());
					const next = settle(
						situation({table, loads: new Map(loads.entries())}),
					);
					return next.changes.length === 0;
				},
			),
			runs,
		);
	});
});

test('slices are balanced by load rather than by number', (t) => {
	const {table} = settle(situation());
	const {owner} = table.rows[0];
	const loads = new Map(
		table.rows.map((_, slice) => [slice, slice === 0 ? 1000 : 100]),
	);
	const next = settle(situation({table, loads}));
	const kept = next.table.rows.filter((row) => row.owner === owner).length;
	t.is(next.table.rows[0].owner, owner);
	t.true(kept < 4, `${kept} slices on the owner of the hot one`);
});

test('coarse slices whose counts fluctuate are not moved back and forth', (t) => {
	t.notThrows(() => {
		fc.assert(
			fc.property(
				fc.array(fc.double({min: 900, max: 1100, noNaN: true}), {
					minLength: 32,
					maxLength: 32,
				}),
				fc.array(fc.double({min: 900, max: 1100, noNaN: true}), {
					minLength: 32,
					maxLength: 32,
				}),
				(first, second) => {
					const start = situation();
					const service = {...start.service, slices: 32};
					const servers = overDomains(7, 4, server, 'desk');
					const base = {...start, service, servers};
					const one = settle({...base, loads: new Map(first.entries())});
					const loads = new Map(second.entries());
					const state = {...initialPlannerState(0), balancing: true};
					const now = {...base, table: one.table, loads, now: 60_000};
					const moves = plan(now, state).changes.filter(
						({kind}) => kind === 'move',
					);
					return moves.length <= 2;
				},
			),
			runs,
		);
	});
});
