/** The daemon's retry budget: the newest of the immutable values, held in one place. */
import {RetryBudget, type RetryBudgetOptions} from '@kingcuproute/core';

export class Budget {
	#budget: RetryBudget;

	constructor(options: RetryBudgetOptions) {
		this.#budget = RetryBudget.of(options);
	}

	get hasOne(): boolean {
		return this.#budget.hasOne;
	}

	/** Holds `burst` retries at most from now on. */
	limit(burst: number): void {
		this.#budget = this.#budget.within(burst);
	}

	earn(): void {
		this.#budget = this.#budget.earned();
	}

	spend(): void {
		this.#budget = this.#budget.spent();
	}
}
