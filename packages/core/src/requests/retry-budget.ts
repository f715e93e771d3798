/**
 * A retry budget: retries are a share of recent successes, so that a fault
 * everywhere cannot multiply the load that met it.
 */

/** How a budget fills and how much it holds. */
export type RetryBudgetOptions = {
	/** Retries earned by one success. */
	readonly share: number;
	/** Retries held at the start, and at most. */
	readonly burst: number;
};

/** Retries that may still be made; immutable. */
export class RetryBudget {
	static of(options: RetryBudgetOptions): RetryBudget {
		return new RetryBudget(options, options.burst);
	}

	private constructor(
		private readonly options: RetryBudgetOptions,
		private readonly held: number,
	) {}

	get hasOne(): boolean {
		return this.held >= 1;
	}

	/** The same budget that holds `burst` retries at most. */
	within(burst: number): RetryBudget {
		return new RetryBudget(
			{...this.options, burst},
			Math.min(burst, this.held),
		);
	}

	/** After a request that succeeded. */
	earned(): RetryBudget {
		const {share, burst} = this.options;
		return new RetryBudget(this.options, Math.min(burst, this.held + share));
	}

	/** After a retry; to be called only while `hasOne`. */
	spent(): RetryBudget {
		return new RetryBudget(this.options, this.held - 1);
	}
}
