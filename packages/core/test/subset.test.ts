import test from 'ava';
import fc from 'fast-check';
import {callersOf, subsetOf} from '../src/index.js';

test('every server gets the same number of daemons, give or take one, and subsets change little when a daemon goes', (t) => {
	const sizes = fc.record({
		daemons: fc.integer({min: 2, max: 400}),
		servers: fc.integer({min: 2, max: 120}),
		connections: fc.integer({min: 3, max: 200}),
		gone: fc.nat(),
	});
	fc.assert(
		fc.property(sizes, ({connections, gone, ...counts}) => {
			const daemons = numberedNames('vm', counts.daemons);
			const servers = numberedNames('s', counts.servers);
			const options = {daemons, servers, connections};
			const before = subsetsByDaemon(options);
			const perServer = servers.map((s) => callersOf(s, options).length);
			t.true(Math.max(...perServer) - Math.min(...perServer) <= 1);
			for (const [index, server] of servers.entries()) {
				const containing = [...before.values()].filter(({servers: subset}) =>
					subset.includes(server),
				);
				t.is(containing.length, perServer[index]);
			}

			const rest = daemons.toSpliced(gone % daemons.length, 1);
			const after = subsetsByDaemon({...options, daemons: rest});
			const bound = Math.ceil(servers.length / rest.length) + 1;
			for (const daemon of rest) {
				const previous = before.get(daemon)!.servers;
				const current = after.get(daemon)!.servers;
				const added = current.filter(
					(server) => !previous.includes(server),
				).length;
				t.true(added <= bound + Math.max(0, current.length - previous.length));
			}
		}),
		{numRuns: 40},
	);
});

function numberedNames(prefix: string, count: number): readonly string[] {
	return Array.from(
		{length: count},
		(_, index) => `${prefix}-${String(index).padStart(4, '0')}`,
	);
}

function subsetsByDaemon(options: Parameters<typeof callersOf>[1]) {
	return new Map(
		options.daemons.map((daemon) => [daemon, subsetOf({...options, daemon})]),
	);
}
