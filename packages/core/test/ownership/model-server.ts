/** A simulated backend server as its guardians see it: lease, grants and fence, on its own clock. */
import {type Order, type ServerState} from '../../src/index.js';

export class ModelServer {
	up = true;
	run = 1;
	#leaseEnd = 0;
	#fence: readonly [number, number, number] = [0, 0, 0];
	#held = new Map<number, number>();

	constructor(
		readonly name: string,
		private readonly checks: {
			readonly checksFence: boolean;
			readonly refusesLate: boolean;
		},
		/** The server's clock at a time of the simulation. */
		private readonly clock: (at: number) => number,
	) {}

	/** Starts a new run, which keeps nothing of the old one. */
	restart(): void {
		this.up = true;
		this.run++;
		this.#leaseEnd = 0;
		this.#fence = [0, 0, 0];
		this.#held = new Map();
	}

	accept(order: Order, at: number): boolean {
		const now = this.clock(at);
		const {checksFence, refusesLate} = this.checks;
		const isLate = refusesLate && now > order.validUntil;
		if (order.incarnation !== this.incarnation || isLate) {
			return false;
		}

		const fence = [order.term, order.rank, order.seq] as const;
		if (checksFence && !isAbove(fence, this.#fence)) {
			return false;
		}

		this.#fence = fence;
		this.#leaseEnd = Math.max(this.#leaseEnd, order.leaseEnd);
		for (const slice of order.revoke) {
			this.#held.delete(slice);
		}

		for (const {slice, epoch} of order.grant) {
			this.#held.set(slice, epoch);
		}

		return true;
	}

	/** Slices owned at a time of the simulation, with their epochs. */
	owned(at: number): ReadonlyMap<number, number> {
		return this.up && this.clock(at) < this.#leaseEnd ? this.#held : new Map();
	}

	state(at: number): ServerState {
		const [term, rank] = this.#fence;
		return {
			incarnation: this.incarnation,
			now: this.clock(at),
			term,
			rank,
			leaseEnd: this.#leaseEnd,
			held: [...this.#held].map(([slice, epoch]) => ({slice, epoch})),
		};
	}

	get incarnation(): string {
		return `${this.name}.${this.run}`;
	}
}

function isAbove(a: readonly number[], b: readonly number[]): boolean {
	const index = a.findIndex((part, at) => part !== b[at]);
	return index !== -1 && a[index] > b[index];
}
