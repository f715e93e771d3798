/** A retry budget that changes: holds the newest of the immutable `RetryBudget` values. */
import {RetryBudget, type RetryBudgetOptions} from '@kingcuproute/core';

export class MutableRetryBudget {
	#budget: RetryBudget;

	constructor(options: RetryBudgetOptions) {
		this.#budget = RetryBudget.of(options);
	}

	get hasRetry(): boolean {
		return this.#budget.hasRetry;
	}

	recordSuccess(): void {
		this.#budget = this.#budget.afterSuccess();
	}

	recordRetry(): void {
		this.#budget = this.#budget.afterRetry();
	}
}
