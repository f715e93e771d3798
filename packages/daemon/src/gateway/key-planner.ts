/**
 * Which keys of one service are to change hands now: first what must, since a server
 * is gone, leaving or new, and else what evens the load out.
 */
import {
	isHeldBy,
	moved,
	planKeys,
	planLoad,
	type Clock,
	type KeyMove,
	type KeyTraffic,
	type ListedServer,
	type Millis,
	type RangeTable,
} from '@kingcuproute/core';
import {type Log} from '../log/log.js';
import {type KeyGrants} from './key-grants.js';

/** After moves that even out the load: the requests seen since then take that long to be reported. */
const settleMs: Millis = 2000;
/** Between two looks at the load: half of the time between two reports. */
const lookMs: Millis = 500;

export type KeyPlannerMeans = {
	readonly service: string;
	readonly clock: Clock;
	readonly log: Log;
	/** Servers of the service that may hold keys. */
	readonly servers: () => readonly ListedServer[];
	/** What the fleet sees of the service's requests. */
	readonly traffic: () => KeyTraffic;
};

export class KeyPlanner {
	#nextLookAt: Millis = -Infinity;

	constructor(
		private readonly means: KeyPlannerMeans,
		private readonly grants: KeyGrants,
	) {}

	/** The moves to begin, planned as if those that are pending were done, and of none of their keys. */
	moves(table: RangeTable, pending: readonly KeyMove[]): readonly KeyMove[] {
		let after = table;
		for (const move of pending) {
			after = moved(after, move);
		}

		// The entry of a run that has ended stays listed for some seconds.
		const servers = this.means
			.servers()
			.filter((server) => !this.grants.hasEnded(server));
		const needed = this.#due(planKeys(after, servers), servers);
		const moves = needed.length > 0 ? needed : this.#evenOut(after, servers);
		return moves.filter(
			(move) => !pending.some((other) => overlaps(move, other)),
		);
	}

	#evenOut(
		table: RangeTable,
		servers: readonly ListedServer[],
	): readonly KeyMove[] {
		const {clock, traffic, log, service} = this.means;
		const now = clock.now();
		if (now < this.#nextLookAt) {
			return [];
		}

		const seen = traffic();
		const moves = this.#due(planLoad(table, servers, seen), servers);
		this.#nextLookAt = now + (moves.length > 0 ? settleMs : lookMs);
		if (moves.length > 0) {
			const count = moves.length;
			log.info('load-evened-out', {service, count, keys: seen.rates.size});
		}

		return moves;
	}

	/**
	 * Puts off moves that are not urgent while their holder may still carry out a grant:
	 * nobody would serve their keys until every lease on them is over.
	 */
	#due(
		moves: readonly KeyMove[],
		servers: readonly ListedServer[],
	): readonly KeyMove[] {
		return moves.filter(
			({holder, from, to}) =>
				!holder ||
				!servers.some((server) => isHeldBy(holder, server)) ||
				this.grants.isSettled(holder, from, to),
		);
	}
}

function overlaps(a: KeyMove, b: KeyMove): boolean {
	return a.from <= b.to && b.from <= a.to;
}
