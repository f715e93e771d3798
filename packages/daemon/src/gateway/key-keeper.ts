/**
 * Gives one service's keys to its backend servers, as long as this daemon holds the
 * service's lease: renews what they hold, and moves keys by the plan. The range
 * table in the store names a new holder before the holder hears of it.
 */
import {
	moved,
	isHeldBy,
	refenced,
	without,
	type KeyMove,
	type KeyRange,
	type ListedServer,
	type Millis,
	type RangeTable,
} from '@kingcuproute/core';
import {type StoredObject} from '@kingcuproute/platform';
import {KeptTable, type KeptTableMeans} from './kept-table.js';
import {KeyGrants, type KeyGrantsMeans} from './key-grants.js';
import {KeyPlanner, type KeyPlannerMeans} from './key-planner.js';

const tickMs: Millis = 100;
/** How long keys that are free wait for others of their plan: every daemon reads each writing of the table. */
const batchMs: Millis = 250;

/** A move whose keys nobody holds any more, which waits to be written. */
type Released = {
	readonly move: KeyMove;
	readonly handover: string | undefined;
	readonly at: Millis;
};

export type KeyKeeperMeans = KeyGrantsMeans & KeptTableMeans & KeyPlannerMeans;

export class KeyKeeper {
	readonly #table: KeptTable;
	readonly #grants: KeyGrants;
	readonly #planner: KeyPlanner;
	readonly #moving = new Set<KeyMove>();
	#released: Released[] = [];
	#tenure = 0;
	#wasKeeper = false;
	#cancel: (() => void) | undefined;

	constructor(private readonly means: KeyKeeperMeans) {
		this.#table = new KeptTable(means);
		this.#grants = new KeyGrants(means);
		this.#planner = new KeyPlanner(means, this.#grants);
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
		this.#table.heard(object);
	}

	async #tick(): Promise<void> {
		const {lease} = this.means;
		await lease.tend();
		if (lease.tenure !== this.#tenure) {
			this.#tenure = lease.tenure;
			this.#table.isInForce = false;
			this.#moving.clear();
			this.#released = [];
		}

		this.#noteLoss();
		if (!lease.isHeld || this.#table.isWriting) {
			return;
		}

		if (this.#table.isInForce) {
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
		const {log, service, lease} = this.means;
		const {tenure} = lease;
		const {ranges} = this.#table.value;
		const table = refenced(this.#table.value);
		const written = await this.#table.put(table);
		if (!written || !lease.isHeld || lease.tenure !== tenure) {
			return;
		}

		this.#table.isInForce = true;
		this.#grants.assumeSent(ranges);
		log.info('keeper-took-over', {
			service,
			ranges: table.ranges.length,
			nextFence: table.nextFence,
		});
	}

	#renew(): void {
		for (const server of this.means.listed()) {
			this.#grants.renew(server, this.#rangesOf(server));
		}
	}

	/** What a server holds and is not about to give up. */
	#rangesOf(server: ListedServer): readonly KeyRange[] {
		let ranges = this.#table.value.ranges.filter((range) =>
			isHeldBy(range, server),
		);
		for (const {from, to} of this.#moving) {
			ranges = ranges.flatMap((range) => without(range, from, to));
		}

		return ranges;
	}

	#plan(): void {
		const pending = [...this.#moving];
		const {value} = this.#table;
		if (value.ranges.length === 0 && pending.length > 0) {
			return;
		}

		for (const move of this.#planner.moves(value, pending)) {
			this.#moving.add(move);
			void this.#free(move);
		}
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
		const {lease} = this.means;
		const {tenure} = lease;
		const batch = [...this.#released];
		const waitedMs = this.means.clock.now() - (batch.at(0)?.at ?? Infinity);
		const isWhole = batch.length === this.#moving.size;
		if (batch.length === 0 || !(isWhole || waitedMs >= batchMs)) {
			return;
		}

		let table = this.#table.value;
		for (const {move} of batch) {
			table = moved(table, move);
		}

		// What fails is tried again as it is, since the first try may still land.
		const written = (await this.#table.put(table)) || this.#table.has(table);
		const isCurrent =
			lease.isHeld &&
			lease.tenure === tenure &&
			batch.every(({move}) => this.#moving.has(move));
		if (written && isCurrent) {
			this.#released = this.#released.slice(batch.length);
			this.#give(batch, table);
			for (const {move} of batch) {
				this.#moving.delete(move);
			}
		}
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
