/** A retry budget that changes: holds the newest of the immutable `RetryBudget` values. */
import {RetryBudget, type RetryBudgetOptions} from '@kingcuproute/core';

export class MutableRetryBudget {
	#budget: RetryBudget;

	constructor(options: RetryBudgetOptions) {
		this.#budget = RetryBudget.of(options);
	}

	get hasOne(): boolean {
		return this.#budget.hasOne;
	}

	/** Limits the budget to `burst` retries from now on. */
	setBurst(burst: number): void {
		this.#budget = this.#budget.within(burst);
	}

	earn(): void {
		this.#budget = this.#budget.earned();
	}

	spend(): void {
		this.#budget = this.#budget.spent();
	}
}
