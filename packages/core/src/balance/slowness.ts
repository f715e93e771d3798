/**
 * Evidence that a server answers more slowly than its peers, as cumulative sums of
 * log likelihood ratios (CUSUM). Service times are assumed to be exponentially
 * distributed, so each answer adds a fixed function of its latency, and the sums of
 * several daemons can be added up.
 *
 * For a server with its full share, the hypotheses are that it is as fast as its peers
 * or `slowFactor` times as slow. A server that is ramped because it looked cold is
 * expected to be as slow as its ramp implies. If it is already as fast as its peers, it
 * has recovered; if it is slower than its ramp implies, it has not begun to warm up.
 */
import {type BalancePolicy} from './policy.js';

/** One daemon's evidence about a server since its last report. */
export type Evidence = {
	readonly backendServer: string;
	/** Log likelihood ratio: positive if the server looks slow, negative if it looks recovered. */
	readonly score: number;
};

/** Verdict for all callers of a server: `cold` starts or restarts its ramp, `recovered` ends the ramp. */
export type ColdVerdict = {
	readonly kind: 'cold' | 'recovered';
	readonly backendServer: string;
};

/** The latency of one request, relative to the server's peers. */
export type RelativeLatency = {
	/** Latency as a multiple of the peers' latency. */
	readonly ratio: number;
	/** False if the request was cancelled, so that its answer would have taken longer. */
	readonly whole: boolean;
};

/** How many times slower than its ramp implies a server is assumed to be if it doesn't warm up. */
const notWarmingFactor = 2;

/** The cumulative sums of one server, each at least 0. */
export type Cusum = {
	/** Evidence that the server is slower than expected. */
	readonly slow: number;
	/** Evidence that the server is faster than its ramp implies. */
	readonly recovered: number;
};

/**
 * The sums after one more answer. `expectedSlowdown` is what the server's ramp implies;
 * undefined unless it is ramped because it looked cold.
 */
export function addAnswer(
	{slow, recovered}: Cusum,
	latency: RelativeLatency,
	expectedSlowdown: number | undefined,
	policy: BalancePolicy,
): Cusum {
	if (expectedSlowdown === undefined) {
		const added = logLikelihoodRatio(latency, policy.slowFactor, policy);
		return {slow: Math.max(0, slow + added), recovered: 0};
	}

	const relativeToRamp = {...latency, ratio: latency.ratio / expectedSlowdown};
	const slower = logLikelihoodRatio(relativeToRamp, notWarmingFactor, policy);
	const isTelling = expectedSlowdown >= policy.minRecoveryFactor;
	const faster = -logLikelihoodRatio(latency, expectedSlowdown, policy);
	return {
		slow: Math.max(0, slow + slower),
		recovered: isTelling ? Math.max(0, recovered + faster) : 0,
	};
}

/**
 * Log likelihood ratio of the hypothesis that the server is `factor` times as slow as
 * its peers to the hypothesis that it is as fast as they are.
 */
function logLikelihoodRatio(
	{ratio, whole}: RelativeLatency,
	factor: number,
	{maxSlowRatio}: BalancePolicy,
): number {
	const scaled = Math.min(ratio, maxSlowRatio) * (1 - 1 / factor);
	return whole ? scaled - Math.log(factor) : scaled;
}
