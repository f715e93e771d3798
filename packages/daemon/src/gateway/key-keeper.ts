/**
 * Gives one service's keys to its backend servers, as long as this daemon holds the
 * service's lease: renews what they hold, and moves keys by the plan. The range
 * table in the store names a new holder before the holder hears of it.
 */
import {
	fold,
	moved,
	planKeys,
	without,
	type Clock,
	type KeyMove,
	type KeyRange,
	type ListedServer,
	type Millis,
	type RangeTable,
} from '@kingcuproute/core';
import {
	parseRangeTable,
	rangeTablesKind,
	rangeTableSpec,
	type KeyOrders,
	type ObjectStore,
	type StoredObject,
} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {type KeeperLease} from './keeper-lease.js';

/** Outlasts a change of keeper: lease, margin and the first renewal. */
const holdMs: Millis = 5500;
const renewMs: Millis = 1300;
const orderTimeoutMs: Millis = 800;
/** Longer than the longest work that a release may have to wait for. */
const releaseTimeoutMs: Millis = 3000;
/** A server's clock may run slow by this. */
const slowClock = 1.02;
const tickMs: Millis = 100;

/** Moves keys have been released, or their lease is over, and wait to be written. */
type Released = {readonly move: KeyMove; readonly handover: string | undefined};

export type KeyKeeperMeans = {
	readonly service: string;
	readonly lease: KeeperLease;
	readonly store: ObjectStore;
	readonly orders: KeyOrders;
	readonly clock: Clock;
	readonly log: Log;
	/** Servers of the service that may hold keys. */
	readonly servers: () => readonly ListedServer[];
	/** All servers of the service, those that leave included. */
	readonly listed: () => readonly ListedServer[];
};

export class KeyKeeper {
	#held: StoredObject | undefined;
	#table: RangeTable;
	/** By server and start: when no lease given to that run can last any more. */
	readonly #leaseOverAt = new Map<string, Millis>();
	readonly #renewedAt = new Map<string, Millis>();
	readonly #moving = new Set<KeyMove>();
	#released: Released[] = [];
	#writing = false;
	/** Whether the table was written under the lease now held: no older write can land after that. */
	#inForce = false;
	/** Grants to each run that are not answered yet. */
	readonly #inFlight = new Map<string, Set<Promise<void>>>();
	/** Until when a grant without an answer may still be taken by each run. */
	readonly #unsureUntil = new Map<string, Millis>();
	#cancel: (() => void) | undefined;

	constructor(private readonly means: KeyKeeperMeans) {
		this.#table = {service: means.service, nextFence: 1, ranges: []};
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

	/**
	 * Makes sure of the table: writes that the former keeper has on their way fail
	 * from here on. That keeper may have given leases until its own ended.
	 */
	async #takeOver(): Promise<void> {
		const {clock, log, service} = this.means;
		const table = {...this.#table, nextFence: this.#table.nextFence + 1};
		if (!(await this.#put(table))) {
			return;
		}

		this.#inForce = true;
		const until = clock.now() + holdMs * slowClock + orderTimeoutMs;
		for (const {owner, ownerStartedAt} of table.ranges) {
			this.#leaseOverAt.set(runOf(owner, ownerStartedAt), until);
		}

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
				const message = 'message' in error ? error.message : undefined;
				log.warn('table-not-written', {service, end: error.kind, message});
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
		const {clock, listed} = this.means;
		const now = clock.now();
		for (const server of listed()) {
			const run = runOf(server.backendServer, server.startedAt);
			if (now - (this.#renewedAt.get(run) ?? -Infinity) < renewMs) {
				continue;
			}

			const ranges = this.#rangesOf(server);
			if (ranges.length > 0) {
				this.#renewedAt.set(run, now);
				for (const range of ranges) {
					this.#send(server, range);
				}
			}
		}
	}

	/** What a server holds and is not about to give up. */
	#rangesOf(server: ListedServer): readonly KeyRange[] {
		let ranges = this.#table.ranges.filter(
			({owner, ownerStartedAt}) =>
				owner === server.backendServer && ownerStartedAt === server.startedAt,
		);
		for (const {from, to} of this.#moving) {
			ranges = ranges.flatMap((range) => without(range, from, to));
		}

		return ranges;
	}

	#send(server: ListedServer, range: KeyRange, handover?: string): void {
		const run = runOf(server.backendServer, server.startedAt);
		const sent = this.#inFlight.get(run) ?? new Set();
		this.#inFlight.set(run, sent);
		const grant = this.#grant(server, range, handover);
		sent.add(grant);
		const forget = async () => {
			await grant;
			sent.delete(grant);
		};

		void forget();
	}

	async #grant(
		server: ListedServer,
		{from, to, fence}: KeyRange,
		handover?: string,
	): Promise<void> {
		const {clock, orders, log, lease, service} = this.means;
		if (!lease.isHeld) {
			return;
		}

		const run = runOf(server.backendServer, server.startedAt);
		const lasting = holdMs * slowClock + orderTimeoutMs;
		this.#leaseOverAt.set(run, clock.now() + lasting);
		const order = {
			from,
			to,
			fence,
			leaseMs: holdMs,
			...(handover !== undefined && {handover}),
		};
		const end = await orders.grant(server.address, order, orderTimeoutMs);
		if (end.kind !== 'taken') {
			const {backendServer} = server;
			const message = end.kind === 'unknown' ? end.message : undefined;
			log.warn('grant-failed', {
				service,
				backendServer,
				from,
				to,
				fence,
				end: end.kind,
				message,
			});
			if (end.kind === 'unknown') {
				this.#unsureUntil.set(run, clock.now() + lasting);
			} else if (end.kind === 'unreachable') {
				// Nothing runs at the address: what held the keys there has ended.
				this.#leaseOverAt.set(run, clock.now());
			}
		}
	}

	#plan(): void {
		if (this.#moving.size > 0) {
			return;
		}

		for (const move of planKeys(this.#table, this.means.servers())) {
			this.#moving.add(move);
			void this.#free(move);
		}
	}

	/** Gets the move's keys free of their holder. */
	async #free(move: KeyMove): Promise<void> {
		const {clock, lease} = this.means;
		const {holder} = move;
		const handover = holder && (await this.#release(move, holder));
		if (holder && handover === undefined) {
			const run = runOf(holder.owner, holder.ownerStartedAt);
			for (;;) {
				const leftMs = (this.#leaseOverAt.get(run) ?? 0) - clock.now();
				if (leftMs <= 0 || !lease.isHeld) {
					break;
				}

				await clock.sleep(Math.min(leftMs, tickMs));
			}
		}

		if (lease.isHeld) {
			this.#released.push({move, handover});
		} else {
			this.#moving.delete(move);
		}
	}

	/** What the holder hands over; undefined where it did not answer and its lease is to be waited out. */
	async #release(
		{from, to}: KeyMove,
		holder: KeyRange,
	): Promise<string | undefined> {
		const {clock, orders, listed, log, service} = this.means;
		const {owner: backendServer, ownerStartedAt, fence} = holder;
		const server = listed().find(
			(one) =>
				one.backendServer === backendServer && one.startedAt === ownerStartedAt,
		);
		if (!server) {
			log.info('holder-gone', {service, backendServer, from, to, fence});
			return undefined;
		}

		// A grant still on its way must not be taken after the release.
		const run = runOf(backendServer, ownerStartedAt);
		const sent = this.#inFlight.get(run);
		if (sent) {
			await Promise.all(sent);
		}

		const end = await orders.release(
			server.address,
			{from, to, fence},
			releaseTimeoutMs,
		);
		log.info('keys-released', {
			service,
			backendServer,
			from,
			to,
			fence,
			end: end.kind,
		});
		const isSure = clock.now() >= (this.#unsureUntil.get(run) ?? -Infinity);
		return end.kind === 'taken' && isSure ? (end.handover ?? '') : undefined;
	}

	async #write(): Promise<void> {
		const batch = this.#released;
		if (batch.length === 0) {
			return;
		}

		let table = this.#table;
		for (const {move} of batch) {
			table = moved(table, move);
		}

		// What fails is tried again as it is, since the first try may still land.
		const written = (await this.#put(table)) || this.#has(table);
		if (written && this.means.lease.isHeld) {
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

	#give(batch: readonly Released[], {ranges}: RangeTable): void {
		const {log, service} = this.means;
		for (const {move, handover} of batch) {
			const {from, to, target} = move;
			const range = ranges.find((one) => one.from === from && one.to === to)!;
			const {fence} = range;
			const {backendServer} = target;
			log.info('keys-granted', {service, backendServer, from, to, fence});
			this.#send(target, range, handover === '' ? undefined : handover);
		}
	}
}

function runOf(server: string, startedAt: number): string {
	return `${server}\n${startedAt}`;
}
