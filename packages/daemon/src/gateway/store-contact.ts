/** Remembers when a call to the platform's store last failed, of whatever kind: the first sign that this daemon or the store is cut off. */
import {type Clock, type Millis} from '@kingcuproute/core';
import {type ObjectError} from '@kingcuproute/platform';
import {type Either} from 'purify-ts';
import {inject, singleton} from 'tsyringe';

@singleton()
export class StoreContact {
	#lastFailureAt: Millis = -Infinity;

	constructor(@inject('Clock') private readonly clock: Clock) {}

	/** -Infinity if no call has failed. */
	get lastFailureAt(): Millis {
		return this.#lastFailureAt;
	}

	/** Records the outcome of a call. An object that is missing, or at another revision, is an answer. */
	record(outcome: Either<ObjectError, unknown>): void {
		outcome.ifLeft(({kind}) => {
			if (kind === 'refused' || kind === 'unknown') {
				this.#lastFailureAt = this.clock.now();
			}
		});
	}
}
