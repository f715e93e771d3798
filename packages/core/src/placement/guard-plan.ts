/**
 * Plans guards. The planner writes the guard of a server that has none, or whose
 * guardian and successor are both proved gone. For other servers it sets the pair in
 * `next`, and the guardian hands over itself, since only the guardian can stand down
 * safely. A server that checks no fencing token keeps its guardian as long as that
 * daemon responds, since a delayed order of the former guardian would undo orders of
 * the new one.
 */
import {type Guard, type SliceTable} from '../ownership/slice-table.js';
import {type Change, type GuardReason} from './change.js';
import {DaemonPool} from './daemon-pool.js';
import {
	plannedPair,
	isSamePair,
	guardWithPair,
	type GuardPair,
} from './guard-pair.js';
import {type ServerPool} from './server-pool.js';
import {type Situation} from './situation.js';
import {inParts, type Steps} from './steps.js';

/** Maximum number of guards that one plan tries to move from daemons with too many. */
const maxSpreadServers = 50;
/** Guards processed in one part. */
const partLen = 32;
/** Guards tried for spreading in one part. */
const spreadPartLen = 8;

type Guards = SliceTable['guards'];

/** The guards after the plan, and the changes made. */
export type GuardPlan = {
	readonly guards: Guards;
	readonly changes: readonly Change[];
};

/** Plans the guards of all servers in the pool. */
export function* planGuards(
	situation: Situation,
	servers: ServerPool,
): Steps<GuardPlan> {
	const planner = new GuardPlanner(situation, servers);
	yield;
	yield* inParts(servers.all, partLen, (server) => {
		planner.guard(server);
	});
	yield;
	yield* planner.spread();
	return planner.result();
}

class GuardPlanner {
	readonly #daemons: DaemonPool;
	readonly #guards: Record<string, Guard>;
	readonly #changes: Change[] = [];

	constructor(
		private readonly situation: Situation,
		private readonly servers: ServerPool,
	) {
		this.#daemons = new DaemonPool(situation, servers);
		this.#guards = {...situation.table?.guards};
		for (const guard of Object.values(this.#guards)) {
			this.#daemons.addGuards(plannedPair(guard).guardian);
		}
	}

	result(): GuardPlan {
		return {guards: this.#guards, changes: this.#changes};
	}

	guard(server: string): void {
		const guard = this.#guards[server];
		if (this.#daemons.fit.size === 0) {
			return;
		}

		if (!guard?.guardian) {
			this.#replaceGuard(server, guard, 'unguarded');
		} else if (this.#isGone(guard.guardian) && this.#isGone(guard.successor)) {
			this.#replaceGuard(server, guard, 'both-gone');
		} else if (this.#isUnreachable(guard.guardian)) {
			this.#setNext(server, guard, undefined);
		} else {
			this.#improve(server, guard);
		}
	}

	/** Moves guards from daemons with many to daemons with few while their counts differ by two or more, if that breaks no more rules. */
	*spread(): Steps<void> {
		yield* inParts(this.#serversToSpread(), spreadPartLen, (server) => {
			const guard = this.#guards[server];
			const pair = this.#spreadPair(server, guard);
			if (pair) {
				this.#setNext(server, guard, pair, 'spread');
			}
		});
	}

	/** Servers whose guardian guards at least two more servers than some other daemon; at most `maxSpreadServers`. */
	#serversToSpread(): readonly string[] {
		if (!this.#canHandOver || this.#daemons.fit.size === 0) {
			return [];
		}

		const minGuards = Math.min(
			...[...this.#daemons.fit.keys()].map((id) =>
				this.#daemons.guardCount(id),
			),
		);
		return this.servers.all
			.filter((server) => this.#guardianGuardCount(server) >= minGuards + 2)
			.slice(0, maxSpreadServers);
	}

	get #canHandOver(): boolean {
		return this.situation.service.checksFence;
	}

	/** Number of servers that this server's guardian guards. */
	#guardianGuardCount(server: string): number {
		const guard = this.#guards[server];
		return guard ? this.#daemons.guardCount(guard.guardian) : 0;
	}

	#spreadPair(server: string, guard: Guard): GuardPair | undefined {
		const daemons = this.#daemons;
		const {guardian, successor} = guard;
		if (guard.next !== undefined || !daemons.fit.has(guardian)) {
			return undefined;
		}

		const betterGuardian = daemons.bestGuardian(server);
		const pair = this.#pairWith(server, betterGuardian, successor);
		return daemons.guardCount(betterGuardian) + 2 <=
			daemons.guardCount(guardian) &&
			daemons.penalty(server, pair) <= daemons.penalty(server, guard)
			? pair
			: undefined;
	}

	#improve(server: string, guard: Guard): void {
		const planned = plannedPair(guard);
		const reason = this.#reasonToImprove(server, planned);
		if (!reason) {
			const isDone =
				planned.guardian === guard.guardian &&
				planned.successor === guard.successor;
			this.#setNext(server, guard, isDone ? undefined : guard.next, 'spread');
			return;
		}

		const mayKeepGuardian =
			this.#daemons.fit.has(guard.guardian) || !this.#canHandOver;
		const pairIfKept = this.#pairWith(server, guard.guardian, guard.successor);
		const betterGuardian = this.#daemons.bestGuardian(server);
		const pairIfMoved = this.#pairWith(server, betterGuardian, guard.successor);
		const isBetter =
			this.#canHandOver &&
			this.#daemons.penalty(server, pairIfMoved) <
				this.#daemons.penalty(server, pairIfKept);
		const pair = mayKeepGuardian && !isBetter ? pairIfKept : pairIfMoved;
		this.#setNext(server, guard, pair, reason);
	}

	/** The pair of `guardian` and the present successor, or the best successor if the present one is unfit or breaks more rules. */
	#pairWith(server: string, guardian: string, successor: string): GuardPair {
		const best = {
			guardian,
			successor: this.#daemons.bestSuccessor(server, guardian),
		};
		const kept = {guardian, successor};
		const mayKeep = successor !== guardian && this.#daemons.fit.has(successor);
		return mayKeep &&
			this.#daemons.penalty(server, kept) <= this.#daemons.penalty(server, best)
			? kept
			: best;
	}

	#reasonToImprove(server: string, pair: GuardPair): GuardReason | undefined {
		const {guardian, successor} = pair;
		const daemons = this.#daemons;
		if (daemons.isOut(guardian)) {
			return 'guardian-out';
		}

		if (daemons.isOut(successor)) {
			return 'successor-out';
		}

		const canReplace = daemons.fit.size > (daemons.fit.has(guardian) ? 1 : 0);
		if (canReplace && (successor === '' || this.#isUnreachable(successor))) {
			return 'successor-lost';
		}

		const areFit = daemons.fit.has(guardian) && daemons.fit.has(successor);
		return areFit && daemons.minPenalty(server) < daemons.penalty(server, pair)
			? 'domain-rule'
			: undefined;
	}

	#isGone(id: string): boolean {
		return id === '' || this.situation.gone.has(id);
	}

	#isUnreachable(id: string): boolean {
		return this.#isGone(id) || !this.situation.recent.has(id);
	}

	#replaceGuard(
		server: string,
		guard: Guard | undefined,
		reason: GuardReason,
	): void {
		const guardian = this.#daemons.bestGuardian(server);
		const successor = this.#daemons.bestSuccessor(server, guardian);
		this.#daemons.addGuards(guardian);
		this.#guards[server] = guardWithPair(guard, {guardian, successor});
		this.#addChange('guard', server, {guardian, successor}, reason);
	}

	/** Sets the planned pair of a guard, or clears it if `pair` is undefined or the present pair; does nothing if that changes nothing. */
	#setNext(
		server: string,
		guard: Guard,
		pair: GuardPair | undefined,
		reason: GuardReason = 'spread',
	): void {
		const {next, ...rest} = guard;
		const isHandover = pair !== undefined && !isSamePair(pair, guard);
		const isUnchanged = isHandover
			? next && isSamePair(pair, next)
			: next === undefined;
		if (isUnchanged) {
			return;
		}

		this.#daemons.addGuards(plannedPair(guard).guardian, -1);
		const {guardian, successor} = isHandover ? pair : guard;
		this.#daemons.addGuards(guardian);
		this.#guards[server] = isHandover
			? {...rest, next: {guardian, successor}}
			: rest;
		this.#addChange('handover', server, {guardian, successor}, reason);
	}

	#addChange(
		kind: 'guard' | 'handover',
		server: string,
		pair: GuardPair,
		reason: GuardReason,
	): void {
		const sharesDomain = this.#daemons.penalty(server, pair) > 0;
		this.#changes.push({kind, server, ...pair, reason, sharesDomain});
	}
}
