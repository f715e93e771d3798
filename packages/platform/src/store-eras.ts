/**
 * The era of each answer of the platform's store, which its header `Store-Era` names: the
 * number rises each time the store is restored from a copy. An answer of a former era that
 * arrives after one of a later era tells nothing of the present. A store that names no eras
 * is in era 0 throughout; once it has named one, an answer that names none can't be placed.
 */
import {firstEra, maxEra, type Clock, type StoreEra} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';

export const eraField = 'store-era';

/** Why an answer can't be used. */
export type EraFault = {readonly message: string};

export class StoreEras {
	#newest: StoreEra = {number: 0, since: -Infinity, isFirst: true};
	#isHeard = false;

	/** `onRise` is called when an answer names a later era than any before it. */
	constructor(
		private readonly clock: Clock,
		private readonly onRise: () => void,
	) {}

	/** The newest era that an answer named; era 0 before the first. */
	get newest(): StoreEra {
		return this.#newest;
	}

	/** The era of an answer with this header field. */
	read(
		field: string | readonly string[] | undefined,
	): Either<EraFault, number> {
		const number = field === undefined ? 0 : parseEra(field);
		if (number === undefined) {
			return Left({message: `Store-Era ${JSON.stringify(field)} is no era`});
		}

		if (number < this.#newest.number) {
			const named = field === undefined ? 'no era' : `era ${number}`;
			return Left({message: `${named} after era ${this.#newest.number}`});
		}

		if (number > this.#newest.number) {
			const isFirst = number <= firstEra && !this.#isHeard;
			this.#newest = {number, since: this.clock.now(), isFirst};
			this.onRise();
		}

		this.#isHeard = true;
		return Right(number);
	}
}

function parseEra(field: string | readonly string[]): number | undefined {
	const number =
		typeof field === 'string' && /^\d{1,4}$/.test(field)
			? Number(field)
			: Infinity;
	return number <= maxEra ? number : undefined;
}
