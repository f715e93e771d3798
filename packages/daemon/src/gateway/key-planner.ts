/**
 * Decides which keys of one service move to another server. Moves that are necessary
 * because a server is gone, leaving or new come first; without any, moves that even
 * out the load. Hot keys may last a few seconds only, so overloaded servers are relieved
 * as soon as reports show them; smaller differences are evened out rarely, since every
 * daemon reads the table after each plan.
 */
import {
	ownerKeyOf,
	applyMoves,
	MoveBudget,
	SteadyTraffic,
	partitionPoint,
	planKeyMoves,
	planLoadMoves,
	planTidyMoves,
	runKeyOf,
	type Clock,
	type KeyMove,
	type KeyTraffic,
	type ListedServer,
	type LoadPlanBounds,
	type Millis,
	type RangeTable,
} from '@kingcuproute/core';
import {type Log} from '../log/log.js';
import {type MoveCause} from './gateway-metrics.js';
import {type KeyGrants} from './key-grants.js';
import {PlannedLoads} from './planned-loads.js';

/** Pause after moves by load: about as long as they take. At 700 ms, the table was written 1.3 times as often, and 0.1% fewer requests were answered in time (design/key-placement.md). */
const settleMs: Millis = 1000;
/** Between two checks for overloaded servers. */
const checkMs: Millis = 250;
/** Between two plans from the same reports: moves that were not possible before may be so now. */
const sameTrafficMs: Millis = 1000;
/** Between two plans that move keys off servers that are not overloaded. At 2 s, four times as many keys moved without any load to even out. */
const evenOutMs: Millis = 4000;

export type KeyPlannerContext = {
	readonly service: string;
	readonly clock: Clock;
	readonly log: Log;
	/** Servers of the service that may hold keys. */
	readonly servers: () => readonly ListedServer[];
	/** The traffic of the service, as all daemons report it. */
	readonly traffic: () => KeyTraffic;
	/** The smallest target latency of the routes to the service; undefined if it has none. */
	readonly targetMs: () => Millis | undefined;
	/** The share of all keys that may move in a second to even out the load. */
	readonly movedKeysShare: () => number;
	/** Called with the number of keys that a plan moves. */
	readonly onMoves: (cause: MoveCause, keys: number) => void;
};

export class KeyPlanner {
	readonly #budget = new MoveBudget();
	readonly #steady = new SteadyTraffic();
	readonly #plannedLoads: PlannedLoads;
	#nextCheckAt: Millis = -Infinity;
	#nextEvenOutAt: Millis = -Infinity;
	/** What the last plan was made from, and when. */
	#planned: {readonly traffic: KeyTraffic; readonly at: Millis} | undefined;

	constructor(
		private readonly context: KeyPlannerContext,
		private readonly grants: Pick<KeyGrants, 'hasEnded' | 'isReleaseFinal'>,
	) {
		this.#plannedLoads = new PlannedLoads(context);
	}

	/** The moves to begin now. Planned as if the pending moves were done; none includes keys of a pending one. */
	plan(table: RangeTable, pending: readonly KeyMove[]): readonly KeyMove[] {
		const planned = applyMoves(table, pending);

		// The entry of a run that has ended stays listed for a few seconds.
		const servers = this.context
			.servers()
			.filter((server) => !this.grants.hasEnded(server));
		const needed = this.#movable(
			this.#planNeededMoves(planned, servers),
			servers,
		);
		const moves =
			needed.length > 0 ? needed : this.#planLoadMoves(planned, servers);
		const begun = moves.filter(overlapsNone(pending));
		if (begun.length > 0) {
			const cause = needed.length > 0 ? 'servers' : 'load';
			this.context.onMoves(cause, countKeys(begun));
		}

		return begun;
	}

	/** Adds up the traffic of all daemons only if there are such moves: this runs with every tick. */
	#planNeededMoves(
		table: RangeTable,
		servers: readonly ListedServer[],
	): readonly KeyMove[] {
		const {traffic, targetMs} = this.context;
		return planKeyMoves(table, servers).length > 0
			? planKeyMoves(table, servers, traffic(), targetMs())
			: [];
	}

	#planLoadMoves(
		table: RangeTable,
		servers: readonly ListedServer[],
	): readonly KeyMove[] {
		const {clock, traffic, targetMs, movedKeysShare} = this.context;
		const now = clock.now();
		if (now < this.#nextCheckAt) {
			return [];
		}

		const observed = traffic();
		this.#plannedLoads.observe(table, servers, observed);
		const isPlanned =
			observed === this.#planned?.traffic &&
			now - this.#planned.at < sameTrafficMs;
		if (isPlanned) {
			return [];
		}

		if (observed !== this.#planned?.traffic) {
			this.#steady.update(observed, now);
		}

		const isOverloadOnly = now < this.#nextEvenOutAt;
		const bounds = {
			targetMs: targetMs(),
			maxMovedKeys: this.#budget.left(movedKeysShare(), now),
			isOverloadOnly,
		};
		const byLoad = this.#planByLoad(table, servers, observed, bounds);
		const tidy = isOverloadOnly
			? []
			: planTidyMoves(table, servers, observed, {
					...bounds,
					maxMovedKeys: bounds.maxMovedKeys - countKeys(byLoad),
				});
		const wanted = [...byLoad, ...tidy.filter(overlapsNone(byLoad))];
		const moves = this.#movable(wanted, servers);
		this.#nextCheckAt = now + (moves.length > 0 ? settleMs : checkMs);
		// A plan of which no move is possible yet is made again at the next check.
		if (moves.length > 0 || wanted.length === 0) {
			this.#planned = {traffic: observed, at: now};
			this.#nextEvenOutAt =
				isOverloadOnly || observed.rates.size === 0
					? this.#nextEvenOutAt
					: now + evenOutMs;
		}

		if (moves.length > 0) {
			this.#recordMoves(moves, observed, bounds);
			const planned = applyMoves(table, moves);
			this.#plannedLoads.expect(planned, servers, observed, moves);
		}

		return moves;
	}

	/** Relieves overloaded servers by the present rates; else evens out by rates averaged over some seconds. */
	#planByLoad(
		table: RangeTable,
		servers: readonly ListedServer[],
		observed: KeyTraffic,
		bounds: LoadPlanBounds,
	): readonly KeyMove[] {
		const urgent = planLoadMoves(table, servers, observed, {
			...bounds,
			isOverloadOnly: true,
		});
		const {isOverloadOnly = false} = bounds;
		if (isOverloadOnly || urgent.length > 0) {
			return urgent;
		}

		const {spanMs} = this.#steady;
		const average = this.#steady.averageOf(observed);
		return planLoadMoves(table, servers, average, {...bounds, spanMs});
	}

	#recordMoves(
		moves: readonly KeyMove[],
		{rates, runMs}: KeyTraffic,
		bounds: LoadPlanBounds,
	): void {
		const {log, service} = this.context;
		const moved = countKeys(moves);
		this.#budget.spend(moved);
		log.info('load-evened-out', {
			service,
			count: moves.length,
			moved,
			keys: rates.size,
			servers: runMs.size,
			...bounds,
		});
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

function countKeys(moves: readonly KeyMove[]): number {
	let count = 0;
	for (const {from, to} of moves) {
		count += to - from + 1;
	}

	return count;
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
