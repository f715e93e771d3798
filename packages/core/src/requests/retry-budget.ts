/**
 * A retry budget: retries are limited to a share of recent successes, so that they cannot
 * multiply the load during a widespread failure.
 */

/** How fast a budget fills and how much it holds. */
export type RetryBudgetOptions = {
	/** Retries earned by one success. */
	readonly share: number;
	/** Retries available at the start, and the most that can accumulate. */
	readonly burst: number;
};

/** The retries that are still allowed; immutable. */
export class RetryBudget {
	static of(options: RetryBudgetOptions): RetryBudget {
		return new RetryBudget(options, options.burst);
	}

	private constructor(
		private readonly options: RetryBudgetOptions,
		private readonly held: number,
	) {}

	get hasRetry(): boolean {
		return this.held >= 1;
	}

	/** The same budget with at most `burst` retries. */
	withBurst(burst: number): RetryBudget {
		return new RetryBudget(
			{...this.options, burst},
			Math.min(burst, this.held),
		);
	}

	/** The budget after a request that succeeded. */
	afterSuccess(): RetryBudget {
		const {share, burst} = this.options;
		return new RetryBudget(this.options, Math.min(burst, this.held + share));
	}

	/** The budget after a retry; call it only while one is available. */
	afterRetry(): RetryBudget {
		return new RetryBudget(this.options, this.held - 1);
	}
}
