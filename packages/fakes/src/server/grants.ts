/**
 * The lease and grants of a stand-in backend server. A server that checks its fence
 * refuses orders that are not above the highest (term, rank, seq) it has accepted; a
 * server that does not check accepts any order for its current run.
 */
import {type Grant, type Order, type ServerState} from '@kingcuproute/core';

export type GrantsOptions = {
	readonly incarnation: string;
	readonly checksFence: boolean;
	readonly now: () => number;
};

export class Grants {
	#term = 0;
	#rank = 0;
	#seq = 0;
	#leaseEnd = 0;
	readonly #epochs = new Map<number, number>();

	constructor(private readonly options: GrantsOptions) {}

	/** Carries out an order, or returns why it was refused. */
	take(order: Order): 'taken' | 'fenced' | 'late' {
		// The times in an order refer to the clock of one run of the server.
		if (order.incarnation !== this.options.incarnation) {
			return 'fenced';
		}

		if (this.options.checksFence && this.#isBelowFence(order)) {
			return 'fenced';
		}

		if (this.options.now() > order.validUntil) {
			return 'late';
		}

		this.#term = order.term;
		this.#rank = order.rank;
		this.#seq = order.seq;
		this.#leaseEnd = Math.max(this.#leaseEnd, order.leaseEnd);
		for (const slice of order.revoke) {
			this.#epochs.delete(slice);
		}

		for (const {slice, epoch} of order.grant) {
			this.#epochs.set(slice, epoch);
		}

		return 'taken';
	}

	/** Whether a request routed to `slice` at `epoch` may run now. */
	owns(slice: number, epoch: number): boolean {
		return (
			this.options.now() < this.#leaseEnd && this.#epochs.get(slice) === epoch
		);
	}

	state(): ServerState {
		const held: readonly Grant[] = [...this.#epochs].map(([slice, epoch]) => ({
			slice,
			epoch,
		}));
		return {
			incarnation: this.options.incarnation,
			now: this.options.now(),
			term: this.#term,
			rank: this.#rank,
			leaseEnd: this.#leaseEnd,
			held,
		};
	}

	#isBelowFence(order: Order): boolean {
		const difference =
			order.term - this.#term ||
			order.rank - this.#rank ||
			order.seq - this.#seq;
		return difference <= 0;
	}
}
