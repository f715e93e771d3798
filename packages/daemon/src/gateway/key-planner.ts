/**
 * Decides which keys of one service move to another server. Moves that are necessary
 * because a server is gone, leaving or new come first; without any, moves that even
 * out the load.
 */
import {
	isHeldBy,
	applyMove,
	planKeyMoves,
	planLoadMoves,
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
		let planned = table;
		for (const move of pending) {
			planned = applyMove(planned, move);
		}

		// The entry of a run that has ended stays listed for a few seconds.
		const servers = this.context
			.servers()
			.filter((server) => !this.grants.hasEnded(server));
		const needed = this.#movable(planKeyMoves(planned, servers), servers);
		const moves =
			needed.length > 0 ? needed : this.#planLoadMoves(planned, servers);
		return moves.filter(
			(move) => !pending.some((other) => overlaps(move, other)),
		);
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
		return moves.filter(
			({holder, from, to}) =>
				!holder ||
				!servers.some((server) => isHeldBy(holder, server)) ||
				this.grants.isReleaseFinal(holder, from, to),
		);
	}
}

function overlaps(a: KeyMove, b: KeyMove): boolean {
	return a.from <= b.to && b.from <= a.to;
}
