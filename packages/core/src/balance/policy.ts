/** The parameters of balancing; durations are in ms. */
import {type Millis} from '../time/clock.js';

export type BalancePolicy = {
	/** Time constant of the decaying average latency. */
	readonly latencyDecayMs: Millis;
	/** Time constant by which a latency estimate decays while no sample renews it. */
	readonly idleDecayMs: Millis;
	/** How far one slow answer raises the estimate: 0 only averages it in, 1 raises the estimate to the answer's latency. */
	readonly peakWeight: number;
	/** Age at which a reported load has no weight left. */
	readonly reportMaxAgeMs: Millis;
	/** Weight of a reported load when fresh, in [0, 1]. */
	readonly reportWeight: number;
	/** Limit of requests in flight at a server from all daemons together, as a multiple of its slots. */
	readonly overcommit: number;
	/** Consecutive failures after which a server is ejected. */
	readonly ejectFailures: number;
	/** Duration of a server's first ejection; each further one is twice as long. */
	readonly ejectMs: Millis;
	readonly maxEjectMs: Millis;
	/** Largest fraction of a service's servers that this daemon may eject, or ramp for looking cold. */
	readonly maxEjectedShare: number;
	/** Cap on the latency that one answer adds to a server's baseline, as a multiple of the baseline. */
	readonly maxBaselineRatio: number;
	/** Assumed slowdown of a cold server, relative to its peers. */
	readonly slowFactor: number;
	/** Expected slowdown below which answers don't show whether a ramped server has recovered. */
	readonly minRecoveryFactor: number;
	/** Cap on the latency that counts as evidence, as a multiple of the peers' latency. */
	readonly maxSlowRatio: number;
	/** Evidence, as a log likelihood ratio, at which a daemon reports to the server's home. */
	readonly reportScore: number;
	/** Evidence of all callers together at which they all ramp the server. */
	readonly coldScore: number;
	/** Further evidence at which they restart the ramp of a server already found cold. */
	readonly restartScore: number;
	/** Evidence of recovery at which they end the ramp early. */
	readonly recoverScore: number;
	/** Time constant by which evidence decays. */
	readonly evidenceDecayMs: Millis;
	/** Minimum time between two `cold` verdicts on a server. */
	readonly repeatMs: Millis;
	/** Longest time without a request for a server that looks cold, as long as it has room for one. */
	readonly probeMs: Millis;
	/** How long a server's own reports that it is cold are accepted. */
	readonly maxReportedColdMs: Millis;
	/** Maximum number of requests in one queue: of one owner, or of all requests of the service without a key. */
	readonly maxQueueLen: number;
	/** Latency assumed for a server that has not answered yet. */
	readonly assumedLatencyMs: Millis;
	/** Percentile of latency after which an idempotent request is hedged, in (0, 1). */
	readonly hedgePercentile: number;
	/** Hedges added to the budget by each answered request. */
	readonly hedgeShare: number;
	/** Maximum number of hedges in the budget. */
	readonly hedgeBurst: number;
};

export const balancePolicy: BalancePolicy = {
	latencyDecayMs: 1000,
	idleDecayMs: 3000,
	peakWeight: 0.5,
	reportMaxAgeMs: 2000,
	reportWeight: 0.25,
	overcommit: 2,
	ejectFailures: 5,
	ejectMs: 2000,
	maxEjectMs: 30_000,
	maxEjectedShare: 0.34,
	maxBaselineRatio: 2,
	slowFactor: 2.5,
	minRecoveryFactor: 1.5,
	maxSlowRatio: 5,
	reportScore: 3,
	coldScore: 12,
	restartScore: 3,
	recoverScore: 4,
	evidenceDecayMs: 2000,
	repeatMs: 500,
	probeMs: 200,
	maxReportedColdMs: 120_000,
	maxQueueLen: 128,
	assumedLatencyMs: 10,
	hedgePercentile: 0.98,
	hedgeShare: 0.05,
	hedgeBurst: 20,
};
