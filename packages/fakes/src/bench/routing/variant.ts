/** The ways of routing that are measured against each other. */
import {
	Balancer,
	balancePolicy,
	LeastInFlight,
	RoundRobin,
	TwoChoices,
	type BalancePolicy,
	type Candidate,
	type Random,
} from '@kingcuproute/core';

export type Variant = {
	readonly name: string;
	readonly policy: BalancePolicy;
	/** Whether servers are ramped, requests hedged and contracts held to their limits. */
	readonly whole: boolean;
	readonly balancer: (random: Random, policy: BalancePolicy) => Balancer;
};

/** No bound on requests in flight, no ejection, no evidence of coldness, no hedges. */
const bare: BalancePolicy = {
	...balancePolicy,
	overcommit: 1e6,
	ejectFailures: Number.POSITIVE_INFINITY,
	reportScore: Number.POSITIVE_INFINITY,
	hedgeShare: 0,
};

/** The entry's first choice: any server by chance. */
class AnyServer extends Balancer {
	constructor(private readonly random: Random) {
		super();
	}

	override choose(candidates: readonly Candidate[]): Candidate {
		return this.random.pick(candidates)!;
	}
}

/** The policy, with some parameters changed. */
export function policyVariant(
	name: string,
	changes: Partial<BalancePolicy> = {},
): Variant {
	return {
		name,
		policy: {...balancePolicy, ...changes},
		whole: true,
		balancer: (random, policy) => new TwoChoices(random, policy),
	};
}

export const policy = policyVariant('policy');

export const baselines: readonly Variant[] = [
	{
		name: 'any-server',
		policy: bare,
		whole: false,
		balancer: (random) => new AnyServer(random),
	},
	{
		name: 'round-robin',
		policy: bare,
		whole: false,
		balancer: (random) => new RoundRobin(random.below(1000)),
	},
	{
		name: 'least-in-flight',
		policy: bare,
		whole: false,
		balancer: (random) => new LeastInFlight(random),
	},
];
