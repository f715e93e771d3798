/**
 * Grants one service's keys to its backend servers while this daemon holds the
 * service's lease: renews the servers' leases and carries out planned moves. The range
 * table in the store names a new holder before that server is sent its grant.
 */
import {
	applyMoves,
	firstFenceOf,
	joinRanges,
	rangesByOwner,
	revisionText,
	runKeyOf,
	withNewFences,
	withoutAll,
	type KeyMove,
	type ListedServer,
	type Millis,
	type RangeTable,
} from '@kingcuproute/core';
import {type StoredObject} from '@kingcuproute/platform';
import {KeptTable, type KeptTableContext} from './kept-table.js';
import {KeyGrants, maxLeaseMs, type KeyGrantsContext} from './key-grants.js';
import {KeyPlanner, type KeyPlannerContext} from './key-planner.js';

const tickMs: Millis = 100;
/** How long freed keys wait for others of their plan, since every daemon reads each write of the table. */
const batchMs: Millis = 250;
/** Most ranges joined in one write of the table, since each joined range is granted anew. */
const maxJoined = 64;

/** A move whose keys are held by no server any more and that waits to be written. */
type FreedMove = {
	readonly move: KeyMove;
	readonly handover: string | undefined;
	readonly at: Millis;
};

export type KeyKeeperContext = KeyGrantsContext &
	KeptTableContext &
	KeyPlannerContext;

export class KeyKeeper {
	readonly #table: KeptTable;
	readonly #grants: KeyGrants;
	readonly #planner: KeyPlanner;
	readonly #pendingMoves = new Set<KeyMove>();
	#freedMoves: FreedMove[] = [];
	#tenure = 0;
	#wasHeld = false;
	/** Until when this daemon grants no keys, since others may hold them. */
	#waitsUntil: Millis | undefined;
	#cancel: (() => void) | undefined;

	constructor(private readonly context: KeyKeeperContext) {
		this.#table = new KeptTable(context);
		this.#grants = new KeyGrants(context);
		this.#planner = new KeyPlanner(context, this.#grants);
	}

	start(): void {
		this.#cancel = this.context.clock.repeat(tickMs, () => {
			void this.#tick();
		});
	}

	async stop(): Promise<void> {
		this.#cancel?.();
		await this.context.lease.release();
	}

	/** Applies the range table's object as read from the store at a revision. */
	update(object: StoredObject | undefined, asOf?: number): void {
		this.#table.update(object, asOf);
	}

	async #tick(): Promise<void> {
		const {lease} = this.context;
		await lease.renewOrAcquire();
		if (lease.tenure !== this.#tenure) {
			this.#tenure = lease.tenure;
			this.#table.beginTenure();
			this.#waitsUntil = undefined;
			this.#pendingMoves.clear();
			this.#freedMoves = [];
		}

		this.#logLeaseLoss();
		if (!lease.isHeld || this.#table.isWriting) {
			return;
		}

		if (this.#table.isWrittenUnderLease) {
			this.#renew();
			this.#plan();
			await this.#writeFreed();
		} else {
			await this.#takeOver();
		}
	}

	/** Logs once that the lease is lost: another daemon may now send orders, and orders of this one may still be in flight. */
	#logLeaseLoss(): void {
		const {lease, log, service} = this.context;
		const {isHeld} = lease;
		if (this.#wasHeld && !isHeld) {
			log.info('keeper-lost-lease', {service, ...this.#grants.pendingCounts});
		}

		this.#wasHeld = isHeld;
	}

	/**
	 * Writes the table once under the new lease, so that writes of the former keeper that
	 * are still in flight fail. That keeper may have sent grants until its own lease ended,
	 * and servers may carry them out even later. A server refuses them once it has taken a
	 * higher fence, so each range gets a new one. Those of a later era of the store are
	 * higher than any of a former one, also than those that the store has forgotten.
	 */
	async #takeOver(): Promise<void> {
		const {log, service, lease, store} = this.context;
		if (this.#mustWait()) {
			return;
		}

		const {tenure} = lease;
		const {ranges} = this.#table.value;
		const readRevision = this.#table.revision;
		const lowestFence = this.#table.isFromFormerEra
			? firstFenceOf(store.era.number)
			: 1;
		const table = withNewFences(this.#table.value, lowestFence);
		const written = await this.#table.write(table);
		if (!written || !lease.isHeld || lease.tenure !== tenure) {
			return;
		}

		this.#table.confirmTenure();
		this.#grants.assumeSent(ranges, lease.formerOrdersEndedAt);
		log.info('keeper-took-over', {
			service,
			ranges: table.ranges.length,
			nextFence: table.nextFence,
			readRevision: revisionText(readRevision),
			revision: revisionText(this.#table.revision),
		});
	}

	/**
	 * Whether servers that the table does not name may still hold keys by grants of former
	 * keepers. Where there is no table, these are of a former era, since a keeper writes the
	 * table before it grants.
	 */
	#mustWait(): boolean {
		const {clock, lease, log, service} = this.context;
		if (!this.#table.mayLackGrants) {
			return false;
		}

		const endedAt =
			this.#table.revision === undefined
				? Math.min(lease.formerEraEndedAt, lease.formerOrdersEndedAt)
				: lease.formerOrdersEndedAt;
		const until = endedAt + maxLeaseMs;
		const forMs = Math.round(until - clock.now());
		if (forMs > 0 && this.#waitsUntil !== until) {
			this.#waitsUntil = until;
			const revision = revisionText(this.#table.revision);
			log.warn('keeper-waits-for-leases', {service, forMs, revision});
		}

		return forMs > 0;
	}

	/** Renews the leases on all keys but those of pending moves. */
	#renew(): void {
		const {ranges} = this.#table.value;
		const byOwner = rangesByOwner(withoutAll(ranges, [...this.#pendingMoves]));
		for (const server of this.context.listed()) {
			this.#grants.renew(server, byOwner.get(runKeyOf(server)) ?? []);
		}
	}

	#plan(): void {
		const pending = [...this.#pendingMoves];
		const {value} = this.#table;
		if (value.ranges.length === 0 && pending.length > 0) {
			return;
		}

		for (const move of this.#planner.plan(value, pending)) {
			this.#pendingMoves.add(move);
			void this.#freeKeys(move);
		}
	}

	/** Reclaims the move's keys from their holder. A move planned under a former lease is dropped. */
	async #freeKeys(move: KeyMove): Promise<void> {
		const {from, to, holder} = move;
		const handover = holder && (await this.#grants.reclaim(holder, from, to));
		if (this.#pendingMoves.has(move) && this.context.lease.isHeld) {
			this.#freedMoves.push({move, handover, at: this.context.clock.now()});
		} else {
			this.#pendingMoves.delete(move);
		}
	}

	async #writeFreed(): Promise<void> {
		const {lease} = this.context;
		const {tenure} = lease;
		const batch = [...this.#freedMoves];
		const waitedMs = this.context.clock.now() - (batch.at(0)?.at ?? Infinity);
		const isComplete = batch.length === this.#pendingMoves.size;
		if (batch.length === 0 || !(isComplete || waitedMs >= batchMs)) {
			return;
		}

		// Ranges are joined only in a write that is due anyway, since every daemon reads it.
		const table = joinRanges(
			applyMoves(
				this.#table.value,
				batch.map(({move}) => move),
			),
			[...this.#pendingMoves],
			maxJoined,
		);

		// A failed write is repeated unchanged, since the first one may still succeed.
		const written =
			(await this.#table.write(table)) || this.#table.equals(table);
		const isCurrent =
			lease.isHeld &&
			lease.tenure === tenure &&
			batch.every(({move}) => this.#pendingMoves.has(move));
		if (written && isCurrent) {
			this.#freedMoves = this.#freedMoves.slice(batch.length);
			this.#grantFreed(batch, table);
			for (const {move} of batch) {
				this.#pendingMoves.delete(move);
			}
		}
	}

	#grantFreed(batch: readonly FreedMove[], {ranges}: RangeTable): void {
		const {log, service} = this.context;
		const listed = new Set(
			this.context.listed().map((server) => runKeyOf(server)),
		);
		const isRunning = (server: ListedServer) =>
			listed.has(runKeyOf(server)) && !this.#grants.hasEnded(server);
		const rangesByStart = new Map(ranges.map((range) => [range.from, range]));
		for (const {move, handover} of batch) {
			const {from, to, target} = move;
			const range = rangesByStart.get(from)!;
			const {fence} = range;
			const {backendServer} = target;
			const keys = {service, backendServer, from, to, fence};
			if (isRunning(target)) {
				log.info('keys-granted', keys);
				this.#grants.grant(target, range, handover);
			} else {
				// A later run at that address would accept the grant, though the fence belongs to the former run.
				log.info('taker-gone', keys);
			}
		}
	}
}
