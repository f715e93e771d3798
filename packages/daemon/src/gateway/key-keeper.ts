/**
 * Gives one service's keys to its backend servers, as long as this daemon holds the
 * service's lease: renews what they hold, and moves keys by the plan. The range
 * table in the store names a new holder before the holder hears of it.
 */
import {
	fold,
	moved,
	planKeys,
	planLoad,
	refenced,
	isHeldBy,
	without,
	type KeyMove,
	type KeyRange,
	type KeyTraffic,
	type ListedServer,
	type Millis,
	type RangeTable,
} from '@kingcuproute/core';
import {
	parseRangeTable,
	rangeTablesKind,
	rangeTableSpec,
	shownError,
	type ObjectStore,
	type StoredObject,
} from '@kingcuproute/platform';
import {KeyGrants, type KeyGrantsMeans} from './key-grants.js';

const tickMs: Millis = 100;
/** How long keys that are free wait for others of their plan: every daemon reads each writing of the table. */
const batchMs: Millis = 250;
/** After moves that even out the load: the requests seen since then take that long to be reported. */
const settleMs: Millis = 2000;
/** Between two looks at the load: half of the time between two reports. */
const lookMs: Millis = 500;

/** A move whose keys nobody holds any more, which waits to be written. */
type Released = {
	readonly move: KeyMove;
	readonly handover: string | undefined;
	readonly at: Millis;
};

export type KeyKeeperMeans = KeyGrantsMeans & {
	readonly store: ObjectStore;
	/** Servers of the service that may hold keys. */
	readonly servers: () => readonly ListedServer[];
	/** What the fleet sees of the service's requests. */
	readonly traffic: () => KeyTraffic;
};

export class KeyKeeper {
	#held: StoredObject | undefined;
	#table: RangeTable;
	readonly #grants: KeyGrants;
	readonly #moving = new Set<KeyMove>();
	#released: Released[] = [];
	#writing = false;
	/** Whether the table was written under the lease now held: no older write can land after that. */
	#inForce = false;
	#wasKeeper = false;
	#nextLookAt: Millis = -Infinity;
	#cancel: (() => void) | undefined;

	constructor(private readonly means: KeyKeeperMeans) {
		this.#table = {service: means.service, nextFence: 1, ranges: []};
		this.#grants = new KeyGrants(means);
	}

	start(): void {
		this.#cancel = this.means.clock.repeat(tickMs, () => {
			void this.#tick();
		});
	}

	async stop(): Promise<void> {
		this.#cancel?.();
		await this.means.lease.standDown();
	}

	/** Takes in the table's object as the store has it. */
	heard(object: StoredObject | undefined): void {
		if ((object?.revision ?? 0) <= (this.#held?.revision ?? 0)) {
			return;
		}

		parseRangeTable(object?.spec).ifRight((table) => {
			this.#held = object;
			this.#table = table;
		});
	}

	async #tick(): Promise<void> {
		const {lease} = this.means;
		if (await lease.tend()) {
			this.#inForce = false;
			this.#moving.clear();
			this.#released = [];
		}

		this.#noteLoss();
		if (!lease.isHeld || this.#writing) {
			return;
		}

		if (this.#inForce) {
			this.#renew();
			this.#plan();
			await this.#write();
		} else {
			await this.#takeOver();
		}
	}

	/** Tells once that another daemon may order from here on; orders sent before may still be under way. */
	#noteLoss(): void {
		const {lease, log, service} = this.means;
		const {isHeld} = lease;
		if (this.#wasKeeper && !isHeld) {
			log.info('keeper-lost-lease', {service, ...this.#grants.open});
		}

		this.#wasKeeper = isHeld;
	}

	/**
	 * Makes sure of the table: writes that the former keeper has on their way fail
	 * from here on. That keeper may have given leases until its own ended, and servers
	 * may carry its grants out later still. They refuse those once they have taken a
	 * higher fence, so each range gets one.
	 */
	async #takeOver(): Promise<void> {
		const {log, service} = this.means;
		const {ranges} = this.#table;
		const table = refenced(this.#table);
		if (!(await this.#put(table))) {
			return;
		}

		this.#inForce = true;
		this.#grants.assumeSent(ranges);
		log.info('keeper-took-over', {
			service,
			ranges: table.ranges.length,
			nextFence: table.nextFence,
		});
	}

	/** Replaces the table in the store; false when that failed or may have failed. */
	async #put(table: RangeTable): Promise<boolean> {
		const {store, service, log} = this.means;
		this.#writing = true;
		const written = await store.write({
			kind: rangeTablesKind,
			name: service,
			revision: this.#held?.revision,
			spec: rangeTableSpec(table),
		});
		this.#writing = false;
		return fold(
			written,
			(error) => {
				log.warn('table-not-written', {service, error: shownError(error)});
				if (error.kind === 'conflict') {
					this.heard(error.held);
				}

				return false;
			},
			(object) => {
				this.#held = object;
				this.#table = table;
				return true;
			},
		);
	}

	#renew(): void {
		for (const server of this.means.listed()) {
			this.#grants.renew(server, this.#rangesOf(server));
		}
	}

	/** What a server holds and is not about to give up. */
	#rangesOf(server: ListedServer): readonly KeyRange[] {
		let ranges = this.#table.ranges.filter((range) => isHeldBy(range, server));
		for (const {from, to} of this.#moving) {
			ranges = ranges.flatMap((range) => without(range, from, to));
		}

		return ranges;
	}

	/** Plans as if the moves under way were done, and leaves their keys alone. */
	#plan(): void {
		const pending = [...this.#moving];
		if (this.#table.ranges.length === 0 && pending.length > 0) {
			return;
		}

		let table = this.#table;
		for (const move of pending) {
			table = moved(table, move);
		}

		// The entry of a run that has ended stays listed for some seconds.
		const servers = this.means
			.servers()
			.filter((server) => !this.#grants.hasEnded(server));
		const needed = this.#due(planKeys(table, servers), servers);
		const moves = needed.length > 0 ? needed : this.#evenOut(table, servers);
		for (const move of moves) {
			if (!pending.some((other) => overlaps(move, other))) {
				this.#moving.add(move);
				void this.#free(move);
			}
		}
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
				this.#grants.isSettled(holder, from, to),
		);
	}

	/** Gets the move's keys free of their holder; a move planned under a former lease is dropped. */
	async #free(move: KeyMove): Promise<void> {
		const {from, to, holder} = move;
		const handover = holder && (await this.#grants.takeBack(holder, from, to));
		if (this.#moving.has(move) && this.means.lease.isHeld) {
			this.#released.push({move, handover, at: this.means.clock.now()});
		} else {
			this.#moving.delete(move);
		}
	}

	async #write(): Promise<void> {
		const batch = [...this.#released];
		const waitedMs = this.means.clock.now() - (batch.at(0)?.at ?? Infinity);
		const isWhole = batch.length === this.#moving.size;
		if (batch.length === 0 || !(isWhole || waitedMs >= batchMs)) {
			return;
		}

		let table = this.#table;
		for (const {move} of batch) {
			table = moved(table, move);
		}

		// What fails is tried again as it is, since the first try may still land.
		const written = (await this.#put(table)) || this.#has(table);
		const isCurrent = batch.every(({move}) => this.#moving.has(move));
		if (written && isCurrent && this.means.lease.isHeld) {
			this.#released = this.#released.slice(batch.length);
			this.#give(batch, table);
			for (const {move} of batch) {
				this.#moving.delete(move);
			}
		}
	}

	/** Whether the table last heard of is `table`: a write whose answer was lost. */
	#has(table: RangeTable): boolean {
		return (
			JSON.stringify(rangeTableSpec(this.#table)) ===
			JSON.stringify(rangeTableSpec(table))
		);
	}

	/** Whether this very run of the server is listed, and not known to have ended. */
	#isThere(server: ListedServer): boolean {
		return (
			!this.#grants.hasEnded(server) &&
			this.means.listed().some((one) => isSameRun(one, server))
		);
	}

	#give(batch: readonly Released[], {ranges}: RangeTable): void {
		const {log, service} = this.means;
		for (const {move, handover} of batch) {
			const {from, to, target} = move;
			const range = ranges.find((one) => one.from === from && one.to === to)!;
			const {fence} = range;
			const {backendServer} = target;
			const keys = {service, backendServer, from, to, fence};
			if (this.#isThere(target)) {
				log.info('keys-granted', keys);
				this.#grants.give(target, range, handover);
			} else {
				// A later run at the address would take the grant by a fence that is not its own.
				log.info('taker-gone', keys);
			}
		}
	}
}

function isSameRun(a: ListedServer, b: ListedServer): boolean {
	return a.backendServer === b.backendServer && a.startedAt === b.startedAt;
}

function overlaps(a: KeyMove, b: KeyMove): boolean {
	return a.from <= b.to && b.from <= a.to;
}
