/**
 * A retry budget for each service. Its retries are a share of its own successes, so
 * that a failing service cannot use up retries earned by the others.
 */
import {type RetryBudgetOptions} from '@kingcuproute/core';
import {MutableRetryBudget} from './budget.js';

export class ServiceBudgets {
	readonly #budgets = new Map<string, MutableRetryBudget>();
	#burst: number;

	constructor(private readonly options: RetryBudgetOptions) {
		this.#burst = options.burst;
	}

	/** The service's budget. */
	of(service: string): MutableRetryBudget {
		let budget = this.#budgets.get(service);
		if (!budget) {
			budget = new MutableRetryBudget({...this.options, burst: this.#burst});
			this.#budgets.set(service, budget);
		}

		return budget;
	}

	/** Limits each budget, present and future, to `burst` retries from now on. */
	setBurst(burst: number): void {
		this.#burst = burst;
		for (const budget of this.#budgets.values()) {
			budget.setBurst(burst);
		}
	}
}
