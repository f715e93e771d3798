/**
 * A short queue that shares service among customers by weight (start-time fair
 * queuing). When it is full, it evicts the newest request of the customer with the
 * largest backlog relative to its weight. A small mutable object, owned by one pool.
 */
import {type Millis} from '../time/clock.js';

/** A queued item: the customer and its weight, the item's cost, and when it expires. */
export type QueueItem = {
	readonly customer: string;
	readonly weight: number;
	readonly cost: number;
	/** Latest time at which the item can start and still finish before its deadline. */
	readonly startBy: Millis;
};

/** An item and its start tag, in virtual time. */
type Entry<T> = {readonly item: T; readonly start: number};

export class FairQueue<T extends QueueItem> {
	#entries: Array<Entry<T>> = [];
	#virtualTime = 0;
	readonly #finishTimes = new Map<string, number>();

	constructor(private readonly maxLen: number) {}

	get length(): number {
		return this.#entries.length;
	}

	/** Adds `item`; returns the item evicted to make room, if any. It may be `item` itself. */
	push(item: T): T | undefined {
		const start = Math.max(
			this.#virtualTime,
			this.#finishTimes.get(item.customer) ?? 0,
		);
		this.#finishTimes.set(item.customer, start + item.cost / item.weight);
		this.#entries.push({item, start});
		return this.#entries.length > this.maxLen ? this.#evict() : undefined;
	}

	/** The queued items in the order in which they should be served. */
	inOrder(): readonly T[] {
		return this.#entries
			.toSorted((a, b) => a.start - b.start)
			.map(({item}) => item);
	}

	/** Removes `item`, which is about to be served. */
	take(item: T): void {
		const index = this.#entries.findIndex((entry) => entry.item === item);
		const [entry] = this.#entries.splice(index, 1);
		this.#virtualTime = Math.max(this.#virtualTime, entry.start);
		if (this.#entries.length === 0) {
			this.#finishTimes.clear();
			this.#virtualTime = 0;
		}
	}

	/** Removes and returns the items that can no longer start in time. */
	expire(now: Millis): readonly T[] {
		const expired = this.#entries.filter(({item}) => item.startBy < now);
		if (expired.length > 0) {
			this.#entries = this.#entries.filter(({item}) => item.startBy >= now);
		}

		return expired.map(({item}) => item);
	}

	#evict(): T {
		const backlog = new Map<string, number>();
		for (const {item} of this.#entries) {
			const sum = backlog.get(item.customer) ?? 0;
			backlog.set(item.customer, sum + item.cost / item.weight);
		}

		const [largest] = [...backlog].sort((a, b) => b[1] - a[1])[0];
		const index = this.#entries.findLastIndex(
			({item}) => item.customer === largest,
		);
		const [{item}] = this.#entries.splice(index, 1) as [Entry<T>];
		this.#finishTimes.set(
			largest,
			(this.#finishTimes.get(largest) ?? 0) - item.cost / item.weight,
		);
		return item;
	}
}
