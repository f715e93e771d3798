/**
 * Decides which backend servers a request may be sent to, before load decides between
 * them. Answers the load of a service that loses servers for a while: those that leave
 * get new work only while no other server can take it, and only for a part of the time
 * that the platform allows; held servers get none.
 */
import {type Millis} from '../time/clock.js';
import {type LeavingServers} from './leaving-servers.js';
import {type ListedServer} from './listed-server.js';
import {type ServerHolds} from './server-holds.js';

export type Candidates = {
	/** The servers that may get the request. */
	readonly servers: readonly ListedServer[];
	/** If there are none because servers are held: when the first hold ends, from now. */
	readonly heldMs: Millis | undefined;
};

export type CandidateRules = {
	readonly leaving: LeavingServers;
	readonly holds: ServerHolds;
	/** How long a leaving server may still get requests that no other server can take. */
	readonly leavingMs: Millis;
};

/** The servers among `serving` that may get a request now. */
export function chooseCandidates(
	serving: readonly ListedServer[],
	{leaving, holds, leavingMs}: CandidateRules,
	now: Millis,
): Candidates {
	if (leaving.isEmpty && holds.isEmpty) {
		return {servers: serving, heldMs: undefined};
	}

	const usable = serving.filter((server) =>
		leaving.mayTake(server, leavingMs, now),
	);
	const open = usable.filter((server) => holds.leftMs(server, now) === 0);
	if (open.length === 0) {
		const left = usable.map((server) => holds.leftMs(server, now));
		return {
			servers: [],
			heldMs: left.length > 0 ? Math.min(...left) : undefined,
		};
	}

	const staying = open.filter((server) => !leaving.has(server));
	return {servers: staying.length > 0 ? staying : open, heldMs: undefined};
}
