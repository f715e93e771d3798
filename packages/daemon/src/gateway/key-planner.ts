/**
 * Decides which keys of one service move to another server. Moves that are necessary
 * because a server is gone, leaving or new come first; without any, moves that even
 * out the load.
 */
import {
	ownerKeyOf,
	applyMoves,
	partitionPoint,
	planKeyMoves,
	planLoadMoves,
	runKeyOf,
	type Clock,
	type KeyMove,
	type KeyTraffic,
	type ListedServer,
	type Millis,
	type RangeTable,
} from '@kingcuproute/core';
import {type Log} from '../log/log.js';
import {type KeyGrants} from './key-grants.js';

/** Pause after moves that even out the load: the requests seen since then take that long to be reported. */
const settleMs: Millis = 2000;
/** Between two checks of the load: half of the time between two reports. */
const checkMs: Millis = 500;

export type KeyPlannerContext = {
	readonly service: string;
	readonly clock: Clock;
	readonly log: Log;
	/** Servers of the service that may hold keys. */
	readonly servers: () => readonly ListedServer[];
	/** The traffic of the service, as all daemons report it. */
	readonly traffic: () => KeyTraffic;
};

export class KeyPlanner {
	#nextCheckAt: Millis = -Infinity;

	constructor(
		private readonly context: KeyPlannerContext,
		private readonly grants: KeyGrants,
	) {}

	/** The moves to begin now. Planned as if the pending moves were done; none includes keys of a pending one. */
	plan(table: RangeTable, pending: readonly KeyMove[]): readonly KeyMove[] {
		const planned = applyMoves(table, pending);

		// The entry of a run that has ended stays listed for a few seconds.
		const servers = this.context
			.servers()
			.filter((server) => !this.grants.hasEnded(server));
		const needed = this.#movable(planKeyMoves(planned, servers), servers);
		const moves =
			needed.length > 0 ? needed : this.#planLoadMoves(planned, servers);
		return moves.filter(overlapsNone(pending));
	}

	#planLoadMoves(
		table: RangeTable,
		servers: readonly ListedServer[],
	): readonly KeyMove[] {
		const {clock, traffic, log, service} = this.context;
		const now = clock.now();
		if (now < this.#nextCheckAt) {
			return [];
		}

		const observed = traffic();
		const moves = this.#movable(
			planLoadMoves(table, servers, observed),
			servers,
		);
		this.#nextCheckAt = now + (moves.length > 0 ? settleMs : checkMs);
		if (moves.length > 0) {
			const count = moves.length;
			log.info('load-evened-out', {service, count, keys: observed.rates.size});
		}

		return moves;
	}

	/**
	 * Leaves out moves from a working server that may still carry out a grant of the keys:
	 * no server could serve them until every lease on them has expired.
	 */
	#movable(
		moves: readonly KeyMove[],
		servers: readonly ListedServer[],
	): readonly KeyMove[] {
		const working = new Set(servers.map((server) => runKeyOf(server)));
		return moves.filter(
			({holder, from, to}) =>
				!holder ||
				!working.has(ownerKeyOf(holder)) ||
				this.grants.isReleaseFinal(holder, from, to),
		);
	}
}

/** A test for moves that include no key of one of `pending`. */
function overlapsNone(pending: readonly KeyMove[]): (move: KeyMove) => boolean {
	const sorted = pending.toSorted((a, b) => a.from - b.from);
	return ({from, to}) => {
		// The pending moves do not overlap each other, so they are ordered by their ends, too.
		const next = sorted.at(partitionPoint(sorted, (other) => other.to < from));
		return !next || next.from > to;
	};
}
