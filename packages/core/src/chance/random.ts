/** Random numbers from one seeded source, so that a run can be repeated from its seed. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** A source of random numbers. */
export abstract class Random {
	/** A number in [0, 1). */
	fraction(): number {
		return this.below(0x1_00_00_00_00) / 0x1_00_00_00_00;
	}

	/** One of `items`, or undefined if it is empty. */
	pick<T>(items: readonly T[]): T | undefined {
		return items[this.below(Math.max(1, items.length))];
	}

	/** A uniformly random duration in [ms / 2, 3 ms / 2), so that equal timers drift apart. */
	jitter(ms: number): number {
		return ms * (0.5 + this.fraction());
	}

	/** A random integer in [0, bound). */
	abstract below(bound: number): number;
}

/** A random number generator determined by a 32-bit seed. */
export class SeededRandom extends Random {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		super();
		this.#generator = xoroshiro128plus(Math.trunc(seed));
	}

	override below(bound: number): number {
		return uniformInt(this.#generator, 0, bound - 1);
	}
}
