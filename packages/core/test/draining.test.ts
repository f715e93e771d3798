import test from 'ava';
import fc from 'fast-check';
import {
	balancePolicy,
	Gauges,
	Pool,
	SeededRandom,
	TwoChoices,
	type BackendServer,
	type Service,
} from '../src/index.js';

const service: Service = {
	service: 'kaha',
	slices: 0,
	slots: 3,
	connections: 130,
	checksFence: true,
	deadlineMs: 5000,
	slowStartMs: 1000,
};

const servers = Array.from({length: 4}, (_, index): BackendServer => ({
	backendServer: `kaha-${index}`,
	service: 'kaha',
	failureDomain: `fd-${index}`,
	address: `127.0.0.1:${8000 + index}`,
	out: false,
}));

const event = fc.oneof(
	fc.record({
		kind: fc.constant('report' as const),
		server: fc.nat(3),
		/** Undefined means that the health endpoint did not answer. */
		draining: fc.constantFrom(true, false, undefined),
	}),
	fc.record({
		kind: fc.constant('ask' as const),
		endsAt: fc.integer({min: 1, max: 400}),
	}),
);

test('no request goes to a server whose last report was that it drains, whatever it answers in between', (t) => {
	const property = fc.property(fc.array(event, {maxLength: 80}), (events) => {
		const gauges = new Gauges(balancePolicy);
		const names = servers.map(({backendServer}) => backendServer);
		gauges.setServers(names, 0);
		const balancer = new TwoChoices(new SeededRandom(1), balancePolicy);
		const pool = new Pool<number>(gauges, balancer, balancePolicy);
		const draining = new Set<string>();
		for (const [at, each] of events.entries()) {
			const now = at * 100;
			if (each.kind === 'report') {
				const name = names[each.server];
				gauges.recordReport(name, {draining: each.draining}, now);
				if (each.draining === true) {
					draining.add(name);
				} else if (each.draining === false) {
					draining.delete(name);
				}

				continue;
			}

			const decisions = pool.submit(
				{
					service,
					candidates: servers,
					keyed: false,
					customer: 'tiktak-haus',
					weight: 1,
					deadlineAt: 1e9,
				},
				at,
				now,
			);
			for (const decision of decisions) {
				if (decision.kind !== 'picked') {
					continue;
				}

				const {backendServer} = decision.server;
				if (draining.has(backendServer)) {
					return false;
				}

				pool.done(
					backendServer,
					{kind: 'ran', latencyMs: each.endsAt},
					now + each.endsAt,
				);
			}
		}

		return true;
	});
	t.notThrows(() => {
		fc.assert(property, {numRuns: 300});
	});
});
