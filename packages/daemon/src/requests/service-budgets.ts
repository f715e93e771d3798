/**
 * A retry budget for each service: its retries are a share of its own successes, so
 * that a service in trouble is not sent what the others earn.
 */
import {type RetryBudgetOptions} from '@kingcuproute/core';
import {Budget} from './budget.js';

export class ServiceBudgets {
	readonly #budgets = new Map<string, Budget>();
	#burst: number;

	constructor(private readonly options: RetryBudgetOptions) {
		this.#burst = options.burst;
	}

	/** The service's budget. */
	of(service: string): Budget {
		let budget = this.#budgets.get(service);
		if (!budget) {
			budget = new Budget({...this.options, burst: this.#burst});
			this.#budgets.set(service, budget);
		}

		return budget;
	}

	/** Each budget holds `burst` retries at most from now on. */
	limit(burst: number): void {
		this.#burst = burst;
		for (const budget of this.#budgets.values()) {
			budget.limit(burst);
		}
	}
}
