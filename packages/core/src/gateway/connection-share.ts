/** Shares the connections that a backend server accepts among the daemons that send requests there. */

/** A daemon's connection for health checks, beside those for requests. */
const checkConnections = 1;

/** How many connections for requests each of `daemons` may have to a server that accepts `connections` in all; at least one. */
export function connectionShare(connections: number, daemons: number): number {
	return Math.max(1, Math.floor(connections / daemons) - checkConnections);
}
