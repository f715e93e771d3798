/**
 * Guards: written by the planner for servers that have none or whose guard is
 * proved gone whole; for the others, a wish in `next` that the guardian carries
 * out itself, since only it can stand down in good order. A server that checks no
 * fence keeps its guardian as long as that one answers: an order of the old one
 * that comes late would undo what the new one does.
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

/** Guards of crowded daemons that one plan looks at. */
const maxSpreadServers = 50;
/** Guards planned in one part. */
const partLen = 32;
/** Guards of crowded daemons looked at in one part. */
const spreadPartLen = 8;

type Guards = SliceTable['guards'];

/** Guards after the plan, and what was changed. */
export type GuardPlan = {
	readonly guards: Guards;
	readonly changes: readonly Change[];
};

/** Plans the guards of every server of the pool. */
export function* planGuards(
	situation: Situation,
	servers: ServerPool,
): Steps<GuardPlan> {
	const plan = new GuardPlanner(situation, servers);
	yield;
	yield* inParts(servers.all, partLen, (server) => {
		plan.guard(server);
	});
	yield;
	yield* plan.spread();
	return plan.result();
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

	/** Moves guards from daemons with many to those with few, while two differ by two and the rules allow it. */
	*spread(): Steps<void> {
		yield* inParts(this.#serversToSpread(), spreadPartLen, (server) => {
			const guard = this.#guards[server];
			const pair = this.#spreadPair(server, guard);
			if (pair) {
				this.#setNext(server, guard, pair, 'spread');
			}
		});
	}

	/** Servers whose guardian guards at least two more than another daemon; a few of them. */
	#serversToSpread(): readonly string[] {
		if (!this.#canHandOver || this.#daemons.fit.size === 0) {
			return [];
		}

		const least = Math.min(
			...[...this.#daemons.fit.keys()].map((id) =>
				this.#daemons.guardCount(id),
			),
		);
		return this.servers.all
			.filter((server) => this.#guardianGuardCount(server) >= least + 2)
			.slice(0, maxSpreadServers);
	}

	get #canHandOver(): boolean {
		return this.situation.service.checksFence;
	}

	/** Servers that the server's guardian guards. */
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

		const better = daemons.bestGuardian(server);
		const pair = this.#pairWith(server, better, successor);
		return daemons.guardCount(better) + 2 <= daemons.guardCount(guardian) &&
			daemons.penalty(server, pair) <= daemons.penalty(server, guard)
			? pair
			: undefined;
	}

	#improve(server: string, guard: Guard): void {
		const wished = plannedPair(guard);
		const reason = this.#reasonToImprove(server, wished);
		if (!reason) {
			const isDone =
				wished.guardian === guard.guardian &&
				wished.successor === guard.successor;
			this.#setNext(server, guard, isDone ? undefined : guard.next, 'spread');
			return;
		}

		const mayStay = this.#daemons.fit.has(guard.guardian) || !this.#canHandOver;
		const stays = this.#pairWith(server, guard.guardian, guard.successor);
		const better = this.#daemons.bestGuardian(server);
		const moves = this.#pairWith(server, better, guard.successor);
		const isBetter =
			this.#canHandOver &&
			this.#daemons.penalty(server, moves) <
				this.#daemons.penalty(server, stays);
		const pair = mayStay && !isBetter ? stays : moves;
		this.#setNext(server, guard, pair, reason);
	}

	/** A pair of `guardian` and the present successor, or the best one where that one is unfit. */
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

		const areHeard = daemons.fit.has(guardian) && daemons.fit.has(successor);
		return areHeard &&
			daemons.minPenalty(server) < daemons.penalty(server, pair)
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

	/** Sets or clears the wish of a guard, if it changes. */
	#setNext(
		server: string,
		guard: Guard,
		pair: GuardPair | undefined,
		reason: GuardReason = 'spread',
	): void {
		const {next, ...rest} = guard;
		const isWish = pair !== undefined && !isSamePair(pair, guard);
		const isOld = isWish ? next && isSamePair(pair, next) : next === undefined;
		if (isOld) {
			return;
		}

		this.#daemons.addGuards(plannedPair(guard).guardian, -1);
		const {guardian, successor} = isWish ? pair : guard;
		this.#daemons.addGuards(guardian);
		this.#guards[server] = isWish
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
