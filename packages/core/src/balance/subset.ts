/**
 * Subsetting: which servers a daemon connects to. The m servers are arranged on a ring
 * in hash order, which mixes failure domains. Daemon r of n starts at index r * m / n
 * and takes the next few servers, so the numbers of daemons at any two servers differ
 * by at most one. When a daemon or server comes or goes, a daemon's start index moves
 * by at most max(1, m / n), apart from the shift by the server inserted or removed.
 */
import {hash32} from '../chance/hash.js';

/** The servers that one daemon connects to, and its maximum number of connections to each. */
export type Subset = {
	readonly servers: readonly string[];
	readonly connectionsEach: number;
};

export type SubsetOptions = {
	readonly daemon: string;
	/** All live daemons, including this one. */
	readonly daemons: readonly string[];
	readonly servers: readonly string[];
	/** Maximum number of connections to one server from all daemons together. */
	readonly connections: number;
};

/** With fewer connections to a server, a daemon's requests wait for each other. */
const minUsefulConnections = 3;

/** The subset of one daemon. Daemons with the same lists compute consistent subsets. */
export function subsetOf(options: SubsetOptions): Subset {
	const {daemon, servers, connections} = options;
	const daemons = [...options.daemons].sort();
	const ring = hashRing(servers);
	const size = subsetSize(daemons.length, ring.length, connections);
	const start = startIndex(
		daemons.indexOf(daemon),
		daemons.length,
		ring.length,
	);
	const callers = Math.ceil((size * daemons.length) / Math.max(1, ring.length));
	return {
		servers: Array.from(
			{length: size},
			(_, step) => ring[(start + step) % ring.length],
		),
		connectionsEach: Math.max(
			1,
			Math.floor(connections / Math.max(1, callers)),
		),
	};
}

/** The daemons whose subsets contain `server`, ordered by name. */
export function callersOf(
	server: string,
	options: Omit<SubsetOptions, 'daemon'>,
): readonly string[] {
	const daemons = [...options.daemons].sort();
	const ring = hashRing(options.servers);
	const size = subsetSize(daemons.length, ring.length, options.connections);
	const index = ring.indexOf(server);
	return daemons.filter((_, rank) => {
		const start = startIndex(rank, daemons.length, ring.length);
		return (index - start + ring.length) % ring.length < size;
	});
}

function startIndex(rank: number, daemons: number, servers: number): number {
	return Math.floor((Math.max(0, rank) * servers) / Math.max(1, daemons));
}

function subsetSize(
	daemons: number,
	servers: number,
	connections: number,
): number {
	const callers = Math.floor(connections / minUsefulConnections);
	const size = Math.floor((callers * servers) / Math.max(1, daemons));
	return Math.min(servers, Math.max(1, size));
}

function hashRing(servers: readonly string[]): readonly string[] {
	return servers
		.map((server) => ({server, at: hash32(server)}))
		.sort((a, b) => a.at - b.at || (a.server < b.server ? -1 : 1))
		.map(({server}) => server);
}
