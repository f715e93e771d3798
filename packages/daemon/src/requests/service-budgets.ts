/**
 * A retry budget for each service. Its retries are a share of its own successes, so
 * that a failing service cannot use up retries earned by the others.
 */
import {RetryAllowance, type Clock, type RetryBounds} from '@kingcuproute/core';

/** The retry budget of one service. */
export type ServiceBudget = {
	readonly hasRetry: boolean;
	recordSuccess(): void;
	recordRetry(): void;
};

export class ServiceBudgets {
	readonly #budgets = new Map<string, ServiceBudget>();
	#slack: number;

	constructor(
		private readonly bounds: RetryBounds & {readonly slack: number},
		private readonly clock: Clock,
	) {
		this.#slack = bounds.slack;
	}

	/** The service's budget. */
	of(service: string): ServiceBudget {
		let budget = this.#budgets.get(service);
		if (!budget) {
			budget = this.#create();
			this.#budgets.set(service, budget);
		}

		return budget;
	}

	/** Sets how many retries each budget, present and future, allows in a window without any success. */
	setSlack(slack: number): void {
		this.#slack = slack;
	}

	#create(): ServiceBudget {
		const allowance = new RetryAllowance(this.bounds);
		const {clock} = this;
		const hasRetry = () => allowance.hasRetry(this.#slack, clock.now());
		return {
			get hasRetry() {
				return hasRetry();
			},
			recordSuccess() {
				allowance.recordSuccess(clock.now());
			},
			recordRetry() {
				allowance.recordRetry(clock.now());
			},
		};
	}
}
