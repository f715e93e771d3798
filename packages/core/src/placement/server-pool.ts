/** The backend servers of a service and whether they may have slices. */
import {type BackendServer} from '../config/backend-server.js';
import {type SliceTable} from '../ownership/slice-table.js';
import {type Situation} from './situation.js';

/** Whether a server may have slices, or why it may not. */
export type Fitness =
	'fit' | 'down' | 'server-out' | 'domain-out' | 'server-removed';

export class ServerPool {
	static of({servers, failureDomains, down, table}: Situation): ServerPool {
		const domainsOut = new Set(
			failureDomains
				.filter(({out}) => out)
				.map(({failureDomain}) => failureDomain),
		);
		return new ServerPool(
			new Map(servers.map((server) => [server.backendServer, server])),
			domainsOut,
			withLost(down, table?.guards ?? {}),
			table?.guards,
		);
	}

	/** Names of the servers that may have slices, sorted. */
	readonly fit: readonly string[];
	/** The fit servers that a guardian has heard from, or all fit servers before the first table; slices move only to these. */
	readonly receivers: readonly string[];

	private constructor(
		private readonly servers: ReadonlyMap<string, BackendServer>,
		private readonly domainsOut: ReadonlySet<string>,
		private readonly down: ReadonlySet<string>,
		guards: SliceTable['guards'] | undefined,
	) {
		this.fit = [...servers.keys()]
			.filter((name) => this.fitness(name) === 'fit')
			.sort();
		this.receivers = this.fit.filter(
			(name) => !guards || Boolean(guards[name]?.incarnation),
		);
	}

	/** Names of all servers, sorted. */
	get all(): readonly string[] {
		return [...this.servers.keys()].sort();
	}

	fitness(name: string): Fitness {
		const server = this.servers.get(name);
		if (!server) {
			return 'server-removed';
		}

		if (server.out) {
			return 'server-out';
		}

		if (this.domainsOut.has(server.failureDomain)) {
			return 'domain-out';
		}

		return this.down.has(name) ? 'down' : 'fit';
	}

	/** Whether the server is silent or marked as lost, whether or not it is out. */
	isDown(name: string): boolean {
		return this.down.has(name);
	}

	/** The server's failure domain; empty if the server is unknown. */
	domain(name: string): string {
		return this.servers.get(name)?.failureDomain ?? '';
	}

	/** Whether the two stand in different failure domains; unknown servers share the domain ''. */
	areInDifferentDomains(a: string, b: string): boolean {
		return this.domain(a) !== this.domain(b);
	}
}

/** Servers that are silent now, and those that their guardians have marked as lost. */
function withLost(
	down: ReadonlySet<string>,
	guards: SliceTable['guards'],
): ReadonlySet<string> {
	const lost = Object.entries(guards)
		.filter(([, guard]) => guard.lost)
		.map(([server]) => server);
	return new Set([...down, ...lost]);
}
