/** Services, servers, requests and pools of several daemons, for tests of balancing. */
import {
	balancePolicy,
	Gauges,
	Pool,
	SeededRandom,
	TwoChoices,
	type PoolRequest,
	type BackendServer,
	type Decision,
	type Service,
} from '../src/index.js';

export function serviceWith(overrides: Partial<Service> = {}): Service {
	return {
		service: 'kaha',
		slices: 0,
		slots: 3,
		connections: 130,
		checksFence: true,
		deadlineMs: 5000,
		slowStartMs: 10_000,
		...overrides,
	};
}

export function serversNamed(count: number): readonly BackendServer[] {
	return Array.from({length: count}, (_, index) => ({
		backendServer: `kaha-${index}`,
		service: 'kaha',
		failureDomain: `fd-${index % 4}`,
		address: `127.0.0.1:${8000 + index}`,
		out: false,
	}));
}

export function requestOf(
	service: Service,
	overrides: Partial<PoolRequest> = {},
): PoolRequest {
	return {
		service,
		candidates: serversNamed(8),
		keyed: false,
		customer: 'tiktak-haus',
		weight: 1,
		deadlineAt: 1e9,
		...overrides,
	};
}

/** Pools of `count` daemons that do not see each other's requests. */
export function poolsOf(
	count: number,
	servers: readonly BackendServer[],
	seed = 1,
) {
	return Array.from({length: count}, (_, rank) => {
		const gauges = new Gauges(balancePolicy);
		const names = servers.map(({backendServer}) => backendServer);
		gauges.setServers(names, 0);
		gauges.setCallerRanks(new Map(names.map((name) => [name, {rank, count}])));
		const balancer = new TwoChoices(
			new SeededRandom(seed + rank),
			balancePolicy,
		);
		return new Pool<number>(gauges, balancer, balancePolicy);
	});
}

export function pickedBy(decisions: ReadonlyArray<Decision<number>>) {
	return decisions.flatMap((decision) =>
		decision.kind === 'picked' ? [decision.server.backendServer] : [],
	);
}
