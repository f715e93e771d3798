import test from 'ava';
import fc from 'fast-check';
import {initialPlannerState, plan, planInParts} from '../../src/index.js';
import {
	afterDisruption,
	daemon,
	domainOf,
	loadOf,
	runs,
	server,
	settle,
	situation,
	situations,
	overDomains,
	disruptions,
} from './fixture.js';

test('a first table owns every slice, evenly, with standbys and guards in other domains', (t) => {
	const now = situation();
	const {table} = plan(now, initialPlannerState(0));
	const counts = loadOf(
		table!,
		new Map(table!.rows.map((_, slice) => [slice, 1])),
	);
	t.deepEqual(
		[...counts.values()],
		Array.from({length: 8}, () => 8),
	);
	for (const {owner, standby, epoch} of table!.rows) {
		t.not(domainOf(now, owner), domainOf(now, standby));
		t.is(epoch, 1);
	}

	const domainOfDaemon = new Map(
		now.daemons.map(({id, failureDomain}) => [id, failureDomain]),
	);
	for (const [name, {guardian, successor}] of Object.entries(table!.guards)) {
		const domains = [
			domainOf(now, name),
			domainOfDaemon.get(guardian),
			domainOfDaemon.get(successor),
		];
		t.is(new Set(domains).size, 3);
	}
});

test('planning a large table in many parts gives the same result', (t) => {
	const start = situation({
		servers: overDomains(100, 4, server, 'desk'),
		daemons: overDomains(200, 4, daemon, 'vm'),
	});
	const now = {...start, service: {...start.service, slices: 4096}};
	const steps = planInParts(now, initialPlannerState(0));
	let parts = 1;
	let step = steps.next();
	while (!step.done) {
		parts++;
		step = steps.next();
	}

	t.true(parts > 60, `${parts} parts`);
	t.deepEqual(step.value, plan(now, initialPlannerState(0)));
	t.is(new Set(step.value.table!.rows.map(({owner}) => owner)).size, 100);
});

test('the planner never changes the owner or epoch of an owned row', (t) => {
	t.notThrows(() => {
		fc.assert(
			fc.property(situations, disruptions, (start, disruption) => {
				const {table} = settle(start);
				const next = plan(
					{...afterDisruption(start, disruption), table},
					initialPlannerState(0),
				);
				return (next.table ?? table).rows.every(
					({owner, epoch}, slice) =>
						owner === table.rows[slice].owner &&
						epoch === table.rows[slice].epoch,
				);
			}),
			runs,
		);
	});
});

test('of two planners that start from the same table, the second has nothing to change after the first', (t) => {
	t.notThrows(() => {
		fc.assert(
			fc.property(situations, disruptions, (start, disruption) => {
				const {table} = settle(start);
				const now = {...afterDisruption(start, disruption), table};
				const one = plan({...now, writer: 'vm-0.1'}, initialPlannerState(0));
				const first = one.table ?? table;
				// The second planner's write conflicts, so it reads the first one's table and plans again.
				const two = plan(
					{...now, writer: 'vm-1.1', table: first},
					initialPlannerState(0),
				);
				return two.table === undefined;
			}),
			runs,
		);
	});
});
