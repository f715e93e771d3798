/** The daemons that may guard, and how many servers of the service each already guards. */
import {type DaemonRun} from './daemon-run.js';
import {type GuardPair} from './guard-pair.js';
import {GuardCandidates} from './guard-candidates.js';
import {type ServerPool} from './server-pool.js';
import {type Situation} from './situation.js';

export class DaemonPool {
	/** Daemons that answer and are not out, by id; all that answer if every one is out. */
	readonly fit: ReadonlyMap<string, DaemonRun>;
	readonly #known: ReadonlyMap<string, DaemonRun>;
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
		this.#known = new Map(daemons.map((daemon) => [daemon.id, daemon]));
		this.#candidates = new GuardCandidates(fit, situation.guardsElsewhere);
	}

	/** Counts a server as guarded by `guardian`. */
	addGuards(guardian: string, change = 1): void {
		this.#guardCounts.set(guardian, this.guardCount(guardian) + change);
		this.#candidates.addGuards(guardian, change);
	}

	/** Servers of the service that the daemon guards. */
	guardCount(id: string): number {
		return this.#guardCounts.get(id) ?? 0;
	}

	/** Whether the daemon answers but is not to guard. */
	isOut(id: string): boolean {
		return this.#known.has(id) && !this.fit.has(id);
	}

	/** The rules that a pair breaks: 0 if server, guardian and successor stand in three domains. */
	penalty(server: string, {guardian, successor}: GuardPair): number {
		const domain = this.#domain(guardian);
		return (
			this.#guardianPenalty(server, domain) +
			this.#successorPenalty(server, domain, this.#domain(successor))
		);
	}

	/** The best guardian: rules first, then the fewest guarded. */
	bestGuardian(server: string): string {
		return this.#candidates.best(server, '', (domain) =>
			this.#guardianPenalty(server, domain),
		);
	}

	/** The best successor beside `guardian`; empty when there is no other daemon. */
	bestSuccessor(server: string, guardian: string): string {
		const beside = this.#domain(guardian);
		return this.#candidates.best(server, guardian, (domain) =>
			this.#successorPenalty(server, beside, domain),
		);
	}

	/** The fewest rules that any pair breaks for a server of this domain. */
	minPenalty(server: string): number {
		const domain = this.servers.domain(server);
		const known =
			this.#minPenalties.get(domain) ?? this.#computeMinPenalty(server);
		this.#minPenalties.set(domain, known);
		return known;
	}

	/** With one daemon of each domain, or two, every kind of pair is tried. */
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

	#successorPenalty(server: string, beside: string, domain: string): number {
		const besideServer = domain === this.servers.domain(server) ? 2 : 0;
		return besideServer + (domain === beside ? 1 : 0);
	}

	#domain(id: string): string {
		return this.#known.get(id)?.failureDomain ?? '';
	}
}

/** Daemons that are out, or whose failure domain is. */
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
