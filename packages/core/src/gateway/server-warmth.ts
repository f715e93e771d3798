/**
 * What a daemon believes about which backend servers are cold: for some time after its
 * start, or after a time without requests, a server can take only a few requests a second.
 * Guards against flooding a server whose entry in the platform's store does not say, or
 * not yet, that it has become cold. Such a server is the idlest of all, so each daemon
 * that takes it for warm prefers it. An entry therefore counts only while the entries are
 * current, and not for a server that may have become cold since; otherwise the server's own
 * answers to health checks count, each for a short time.
 */
import {type Millis} from '../time/clock.js';
import {type ListedServer} from './listed-server.js';
import {runKeyOf, type ServerRun} from './server-run.js';

/** Whether a server is cold; `unknown` if it has to be asked before it may get a request. */
export type Warmth = 'warm' | 'cold' | 'unknown';

/** A server that has become cold, or warm again. */
export type WarmthChange = {
	readonly server: ListedServer;
	readonly isCold: boolean;
};

/** For how long a server counts as warm that said so while the entries were not current: it may be taken back, cold, at any moment. */
const warmAnswerMs: Millis = 100;
/** For how long a server that did not answer a check counts as cold while the entries are not current. */
const unansweredMs: Millis = 500;
/** The longest time that a server's own answer makes it count as cold; by then its entry is current, or it is asked again. */
const maxColdMs: Millis = 60_000;
/** A server reports to the store, and its report reaches the daemons, within this time after it became cold. */
const entryLagMs: Millis = 3000;

type Belief = {
	/** When the server's entry was first seen with its present cold time. */
	readonly entryAt: Millis;
	readonly entryColdMs: Millis;
	/** By its own answer, the server is cold until then. */
	readonly coldUntil: Millis;
	/** When the server last answered that it is warm. */
	readonly warmAt: Millis;
	/** When the server last may have become cold without its entry saying so. */
	readonly suspectAt: Millis;
	/** When the server last left a check unanswered. */
	readonly unansweredAt: Millis;
};

const initialBelief: Belief = {
	entryAt: -Infinity,
	entryColdMs: 0,
	coldUntil: -Infinity,
	warmAt: -Infinity,
	suspectAt: -Infinity,
	unansweredAt: -Infinity,
};

export class ServerWarmth {
	readonly #beliefs = new Map<string, Belief>();

	/** Updates the beliefs with the servers' entries; returns the servers whose entry says otherwise than before. */
	update(servers: readonly ListedServer[], now: Millis): WarmthChange[] {
		const changes: WarmthChange[] = [];
		for (const server of servers) {
			const {entryColdMs} = this.#belief(server);
			const {coldMs} = server;
			if (entryColdMs !== coldMs) {
				this.#set(server, {entryColdMs: coldMs, entryAt: now});
			}

			const isCold = coldMs > 0;
			if (isCold !== entryColdMs > 0) {
				changes.push({server, isCold});
			}
		}

		const listed = new Set(servers.map((server) => runKeyOf(server)));
		for (const key of this.#beliefs.keys()) {
			if (!listed.has(key)) {
				this.#beliefs.delete(key);
			}
		}

		return changes;
	}

	/**
	 * Records that the server may have become cold although its entry says that it is warm.
	 * It is asked once; if it does not answer, its entry counts.
	 */
	suspect(server: ServerRun, now: Millis): void {
		const {suspectAt} = this.#belief(server);
		if (now - suspectAt >= entryLagMs) {
			this.#set(server, {suspectAt: now});
		}
	}

	/**
	 * Records that the server is back from a time without requests, and may be cold for
	 * that, whatever it answered before; it is asked as after `suspect`.
	 */
	returned(server: ServerRun, now: Millis): void {
		this.#set(server, {suspectAt: now, warmAt: -Infinity});
	}

	/** Records the server's answer to a check: for how much longer it is cold. */
	answered(server: ServerRun, coldMs: Millis, now: Millis): void {
		this.#set(
			server,
			coldMs > 0
				? {coldUntil: now + Math.min(coldMs, maxColdMs)}
				: {coldUntil: -Infinity, warmAt: now},
		);
	}

	/** Records that the server left a check unanswered. */
	unanswered(server: ServerRun, now: Millis): void {
		this.#set(server, {unansweredAt: now});
	}

	/** Whether the server is cold. `isCurrent` says whether the entries of servers are current. */
	of(server: ListedServer, isCurrent: boolean, now: Millis): Warmth {
		const {entryAt, entryColdMs, coldUntil, warmAt, suspectAt, unansweredAt} =
			this.#belief(server);
		const isColdByEntry =
			entryColdMs > 0 && (isCurrent || now < entryAt + entryColdMs);
		if (isColdByEntry || now < coldUntil) {
			return 'cold';
		}

		const checkedAt = Math.max(warmAt, unansweredAt);
		const isSuspect = suspectAt > checkedAt && now - suspectAt < entryLagMs;
		if (now - warmAt < warmAnswerMs || (isCurrent && !isSuspect)) {
			return 'warm';
		}

		return now - unansweredAt < unansweredMs ? 'cold' : 'unknown';
	}

	/** For how much longer the server is cold by its entry or its own answer; 0 if by neither. */
	coldLeftMs(server: ServerRun, now: Millis): Millis {
		const {entryAt, entryColdMs, coldUntil} = this.#belief(server);
		const coldByEntryUntil =
			entryColdMs > 0 ? entryAt + entryColdMs : -Infinity;
		return Math.max(0, coldByEntryUntil - now, coldUntil - now);
	}

	#belief(server: ServerRun): Belief {
		return this.#beliefs.get(runKeyOf(server)) ?? initialBelief;
	}

	#set(server: ServerRun, change: Partial<Belief>): void {
		const belief = {...this.#belief(server), ...change};
		this.#beliefs.set(runKeyOf(server), belief);
	}
}
