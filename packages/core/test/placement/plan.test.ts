import test from 'ava';
import fc from 'fast-check';
import {newPlanner, plan, planInParts} from '../../src/index.js';
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
	const {table} = plan(now, newPlanner(0));
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

test('a large table is planned in many parts, with the same outcome', (t) => {
	const start = situation({
		servers: overDomains(100, 4, server, 'desk'),
		daemons: overDomains(200, 4, daemon, 'vm'),
	});
	const now = {...start, service: {...start.service, slices: 4096}};
	const steps = planInParts(now, newPlanner(0));
	let parts = 1;
	let step = steps.next();
	while (!step.done) {
		parts++;
		step = steps.next();
	}

	t.true(parts > 60, `${parts} parts`);
	t.deepEqual(step.value, plan(now, newPlanner(0)));
	t.is(new Set(step.value.table!.rows.map(({owner}) => owner)).size, 100);
});

test('the owner and epoch of an owned row never change by planning', (t) => {
	t.notThrows(() => {
		fc.assert(
			fc.property(situations, disruptions, (start, upheaval) => {
				const {table} = settle(start);
				const next = plan(
					{...afterDisruption(start, upheaval), table},
					newPlanner(0),
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

test('two planners that work from the same table leave one valid plan', (t) => {
	t.notThrows(() => {
		fc.assert(
			fc.property(situations, disruptions, (start, upheaval) => {
				const {table} = settle(start);
				const now = {...afterDisruption(start, upheaval), table};
				const one = plan({...now, writer: 'vm-0.1'}, newPlanner(0));
				const first = one.table ?? table;
				// The second one's update conflicts; it reads the first one's table and plans again.
				const two = plan(
					{...now, writer: 'vm-1.1', table: first},
					newPlanner(0),
				);
				return two.table === undefined;
			}),
			runs,
		);
	});
});
