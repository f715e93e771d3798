/** Rendezvous hashing of many keys over one list of names: hashes each name only once and sorts nothing. */
import {factor32, hash32} from '../chance/hash.js';

export class Ranking {
	static of(names: readonly string[]): Ranking {
		return new Ranking(
			names,
			Int32Array.from(names, (name) => hash32(name)),
		);
	}

	private constructor(
		readonly names: readonly string[],
		private readonly hashes: Int32Array,
	) {}

	/**
	 * The name ranked highest for `key` that passes, or undefined; `passes` is called
	 * only for names that rank above the best one found so far.
	 */
	first(key: string, passes: (name: string) => boolean): string | undefined {
		const {names, hashes} = this;
		const factor = factor32(key);
		let best: string | undefined;
		let bestScore = -Infinity;
		for (const [index, name] of names.entries()) {
			const score = Math.imul(factor, hashes[index]);
			if (score > bestScore && passes(name)) {
				best = name;
				bestScore = score;
			}
		}

		return best;
	}
}
