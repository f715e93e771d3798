/**
 * What one daemon knows about one backend server: the daemon's own requests in
 * flight, a decaying average latency, the load that the server last reported (a hint
 * that counts less as it ages), and signs of coldness and failure. An immutable
 * value; each event produces a new one.
 */
import {type Millis} from '../time/clock.js';
import {type Outcome} from './outcome.js';
import {type BalancePolicy} from './policy.js';

export type Gauge = {
	/** Requests of this daemon in flight at the server. */
	readonly inFlight: number;
	/** Decaying average latency, raised further by slow answers. */
	readonly latencyMs: Millis;
	readonly latencyAt: Millis;
	/** Long-term mean latency, in which a slow answer has little weight; 0 before the first answer. */
	readonly baselineMs: Millis;
	/** Consecutive failures. */
	readonly failures: number;
	/** Number of answers received. */
	readonly answers: number;
	/** When the current ramp began; absent for a server that gets its full share. */
	readonly rampFrom?: Millis;
	/** Whether the ramp was started only because of slow answers. */
	readonly looksCold: boolean;
	/** Since when the server has reported that it is cold; absent if it does not. */
	readonly coldSince?: Millis;
	/** Since when the server has reported that it is draining; absent if it does not. */
	readonly drainingSince?: Millis;
	readonly ejectedUntil: Millis;
	readonly ejections: number;
	/** Requests of other daemons in flight at the server when it last reported its load. */
	readonly othersInFlight: number;
	readonly reportedAt: Millis;
	/** Identifies the server's current run, if the server reports it. */
	readonly incarnation?: string;
	/** When this daemon last sent a request. */
	readonly sentAt: Millis;
	/** Earliest time at which the next request may be sent while requests are paced. */
	readonly nextSendAt: Millis;
};

/** Number of answers over which the baseline latency is averaged. */
const baselineSamples = 64;

/** The gauge of a server that has not answered yet. */
export function initialGauge(policy: BalancePolicy): Gauge {
	return {
		inFlight: 0,
		latencyMs: policy.assumedLatencyMs,
		latencyAt: 0,
		baselineMs: 0,
		failures: 0,
		answers: 0,
		looksCold: false,
		ejectedUntil: 0,
		ejections: 0,
		othersInFlight: 0,
		reportedAt: Number.NEGATIVE_INFINITY,
		sentAt: 0,
		nextSendAt: 0,
	};
}

/** The gauge after one more request was sent. */
export function afterSend(
	gauge: Gauge,
	sentAt: Millis,
	nextSendAt: Millis,
): Gauge {
	return {...gauge, inFlight: gauge.inFlight + 1, sentAt, nextSendAt};
}

/** The gauge after a request ended. */
export function afterEnd(
	gauge: Gauge,
	outcome: Outcome,
	now: Millis,
	policy: BalancePolicy,
): Gauge {
	const next = {...gauge, inFlight: Math.max(0, gauge.inFlight - 1)};
	switch (outcome.kind) {
		case 'ran': {
			return {...withSample(next, outcome.latencyMs, now, policy), failures: 0};
		}

		case 'failed':
		case 'cut': {
			return {...next, failures: gauge.failures + 1};
		}

		case 'cancelled': {
			return outcome.latencyMs > gauge.latencyMs
				? withLatency(next, outcome.latencyMs, now, policy)
				: next;
		}

		case 'cold':
		case 'shed': {
			return next;
		}
	}
}

/** The gauge after the server reported `inFlight` requests from all daemons. */
export function afterReport(
	gauge: Gauge,
	inFlight: number,
	now: Millis,
): Gauge {
	const othersInFlight = Math.max(0, inFlight - gauge.inFlight);
	return {...gauge, othersInFlight, reportedAt: now};
}

/** Estimate of other daemons' requests: the last report, weighted down as it ages. */
export function currentOthersInFlight(
	gauge: Gauge,
	now: Millis,
	policy: BalancePolicy,
): number {
	const age = (now - gauge.reportedAt) / policy.reportMaxAgeMs;
	return gauge.othersInFlight * policy.reportWeight * Math.max(0, 1 - age);
}

/** The latency estimate at `now`; it decays towards 0 while no sample renews it. */
export function currentLatencyMs(
	gauge: Gauge,
	now: Millis,
	policy: BalancePolicy,
): Millis {
	const age = Math.max(0, now - gauge.latencyAt);
	return gauge.latencyMs * Math.exp(-age / policy.idleDecayMs);
}

function withSample(
	gauge: Gauge,
	latencyMs: Millis,
	now: Millis,
	policy: BalancePolicy,
): Gauge {
	const answers = gauge.answers + 1;
	const next = {...withLatency(gauge, latencyMs, now, policy), answers};
	if (gauge.baselineMs === 0) {
		return {...next, baselineMs: latencyMs};
	}

	const capped = Math.min(
		latencyMs,
		gauge.baselineMs * policy.maxBaselineRatio,
	);
	const weight = 1 / Math.min(answers, baselineSamples);
	return {
		...next,
		baselineMs: gauge.baselineMs + (capped - gauge.baselineMs) * weight,
	};
}

function withLatency(
	gauge: Gauge,
	latencyMs: Millis,
	now: Millis,
	policy: BalancePolicy,
): Gauge {
	const oldWeight = Math.exp(
		-Math.max(1, now - gauge.latencyAt) / policy.latencyDecayMs,
	);
	const average = gauge.latencyMs * oldWeight + latencyMs * (1 - oldWeight);
	const peak = Math.max(0, latencyMs - average) * policy.peakWeight;
	return {...gauge, latencyMs: average + peak, latencyAt: now};
}
