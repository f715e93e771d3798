import test from 'ava';
import {initialPlannerState, plan} from '../../src/index.js';
import {
	carryOut,
	daemon,
	server,
	settle,
	situation,
	overDomains,
} from './fixture.js';

test('guards that are uneven after a domain goes out are spread in one plan', (t) => {
	const start = situation({
		servers: overDomains(12, 3, server, 'desk'),
		daemons: overDomains(5, 3, daemon, 'vm'),
	});
	const failureDomains = [{failureDomain: 'fd-1', region: 'main', out: true}];
	const now = {...start, failureDomains, table: settle(start).table};
	const one = plan(now, initialPlannerState(0));
	const two = plan({...now, table: one.table}, initialPlannerState(0));
	t.deepEqual(two.changes, []);
});

test('a VM that is out hands over all its guards, and a new daemon gets its share', (t) => {
	const {table} = settle(situation());
	const out = settle(situation({table, vms: [{vm: 'vm-1', out: true}]}));
	const pairs = Object.values(out.table.guards);
	t.false(pairs.some(({guardian}) => guardian === 'vm-1.1'));
	t.false(pairs.some(({successor}) => successor === 'vm-1.1'));
	const daemons = [...overDomains(6, 4, daemon, 'vm'), daemon('vm-6', 'fd-2')];
	const grown = settle(situation({table: out.table, daemons}));
	const counts = daemons.map(
		({id}) =>
			Object.values(grown.table.guards).filter(({guardian}) => guardian === id)
				.length,
	);
	t.true(
		Math.max(...counts) - Math.min(...counts) <= 1,
		`guards: ${counts.join(' ')}`,
	);
});

test('a guard is replaced by the planner only when both its daemons are proved gone', (t) => {
	const {table} = settle(situation());
	const {guardian, successor} = table.guards['desk-0'];
	const daemons = situation().daemons.filter(
		({id}) => id !== guardian && id !== successor,
	);
	const lost =
		plan(situation({table, daemons}), initialPlannerState(0)).table ?? table;
	t.deepEqual(lost.guards['desk-0'], table.guards['desk-0']);
	const gone = new Set([guardian, successor]);
	const proved = plan(
		situation({table, daemons, gone}),
		initialPlannerState(0),
	).table!;
	t.is(proved.guards['desk-0'].term, 2);
	t.not(proved.guards['desk-0'].guardian, guardian);
	t.is(carryOut(proved).guards['desk-0'].term, 2);
});

test('a server that checks no fencing token keeps its guardian while that daemon responds, even if its VM is out', (t) => {
	const start = situation();
	const service = {...start.service, checksFence: false};
	const {table} = settle({...start, service});
	const next = settle({
		...start,
		service,
		table,
		vms: [{vm: 'vm-1', out: true}],
		daemons: [...start.daemons, daemon('vm-6', 'fd-2')],
	});
	for (const [name, {guardian}] of Object.entries(table.guards)) {
		t.is(next.table.guards[name].guardian, guardian);
	}

	t.false(
		Object.values(next.table.guards).some(
			({successor}) => successor === 'vm-1.1',
		),
	);
});
