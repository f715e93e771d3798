/** The daemons that may guard servers, and how many servers of the service each one guards. */
import {type DaemonRun} from './daemon-run.js';
import {type GuardPair} from './guard-pair.js';
import {GuardCandidates} from './guard-candidates.js';
import {type ServerPool} from './server-pool.js';
import {type Situation} from './situation.js';

export class DaemonPool {
	/** Daemons that respond and are not out, by id; all that respond if every one is out. */
	readonly fit: ReadonlyMap<string, DaemonRun>;
	readonly #responding: ReadonlyMap<string, DaemonRun>;
	readonly #candidates: GuardCandidates;
	readonly #guardCounts = new Map<string, number>();
	readonly #minPenalties = new Map<string, number>();

	constructor(
		situation: Situation,
		private readonly servers: ServerPool,
	) {
		const {daemons} = situation;
		const out = daemonsOut(situation);
		const inService = daemons.filter(({id}) => !out.has(id));
		const fit = inService.length > 0 ? inService : daemons;
		this.fit = new Map(fit.map((daemon) => [daemon.id, daemon]));
		this.#responding = new Map(daemons.map((daemon) => [daemon.id, daemon]));
		this.#candidates = new GuardCandidates(fit, situation.guardsElsewhere);
	}

	/** Counts `change` more servers as guarded by `guardian`. */
	addGuards(guardian: string, change = 1): void {
		this.#guardCounts.set(guardian, this.guardCount(guardian) + change);
		this.#candidates.addGuards(guardian, change);
	}

	/** Number of servers of the service that the daemon guards. */
	guardCount(id: string): number {
		return this.#guardCounts.get(id) ?? 0;
	}

	/** Whether the daemon responds but must not guard servers. */
	isOut(id: string): boolean {
		return this.#responding.has(id) && !this.fit.has(id);
	}

	/** The sum of the weights of the rules that the pair breaks; 0 if server, guardian and successor stand in three different failure domains. */
	penalty(server: string, {guardian, successor}: GuardPair): number {
		const domain = this.#domain(guardian);
		return (
			this.#guardianPenalty(server, domain) +
			this.#successorPenalty(server, domain, this.#domain(successor))
		);
	}

	/** The best guardian: lowest penalty first, then fewest guarded servers. */
	bestGuardian(server: string): string {
		return this.#candidates.best(server, '', (domain) =>
			this.#guardianPenalty(server, domain),
		);
	}

	/** The best successor for `guardian`; empty if there is no other daemon. */
	bestSuccessor(server: string, guardian: string): string {
		const guardianDomain = this.#domain(guardian);
		return this.#candidates.best(server, guardian, (domain) =>
			this.#successorPenalty(server, guardianDomain, domain),
		);
	}

	/** The lowest penalty of any pair for a server in this server's failure domain. */
	minPenalty(server: string): number {
		const domain = this.servers.domain(server);
		const penalty =
			this.#minPenalties.get(domain) ?? this.#computeMinPenalty(server);
		this.#minPenalties.set(domain, penalty);
		return penalty;
	}

	/** Tries up to two daemons of each domain, which covers every combination of domains. */
	#computeMinPenalty(server: string): number {
		const samples: string[] = [];
		const counts = new Map<string, number>();
		for (const {id, failureDomain} of this.fit.values()) {
			const count = (counts.get(failureDomain) ?? 0) + 1;
			counts.set(failureDomain, count);
			if (count <= 2) {
				samples.push(id);
			}
		}

		const pairs = samples.flatMap((guardian) =>
			samples
				.filter((successor) => successor !== guardian)
				.map((successor) => ({guardian, successor})),
		);
		return Math.min(...pairs.map((pair) => this.penalty(server, pair)));
	}

	#guardianPenalty(server: string, domain: string): number {
		return domain === this.servers.domain(server) ? 4 : 0;
	}

	#successorPenalty(
		server: string,
		guardianDomain: string,
		domain: string,
	): number {
		const serverPenalty = domain === this.servers.domain(server) ? 2 : 0;
		return serverPenalty + (domain === guardianDomain ? 1 : 0);
	}

	#domain(id: string): string {
		return this.#responding.get(id)?.failureDomain ?? '';
	}
}

/** Daemons whose VM or failure domain is out. */
function daemonsOut({
	daemons,
	vms,
	failureDomains,
}: Situation): ReadonlySet<string> {
	const vmsOut = new Set(vms.filter(({out}) => out).map(({vm}) => vm));
	const domainsOut = new Set(
		failureDomains
			.filter(({out}) => out)
			.map(({failureDomain}) => failureDomain),
	);
	const out = daemons.filter(
		({vm, failureDomain}) => vmsOut.has(vm) || domainsOut.has(failureDomain),
	);
	return new Set(out.map(({id}) => id));
}
