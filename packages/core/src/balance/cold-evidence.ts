/**
 * Evidence from one daemon's answers that servers of a service are cold, kept until
 * it is reported. Latencies are compared with those of all servers of the service, so
 * that an overloaded service is not mistaken for a cold one. A small mutable object,
 * owned by the gauges.
 */
import {type Millis} from '../time/clock.js';
import {type Outcome} from './outcome.js';
import {type BalancePolicy} from './policy.js';
import {addAnswer, type Evidence, type Cusum} from './slowness.js';

/** One ended request, with what its server's latency was expected to be. */
export type Observation = {
	readonly outcome: Outcome;
	/** Mean latency of the server; 0 if unknown. */
	readonly baselineMs: Millis;
	/** The slowdown that the server's ramp implies, if it is ramped because it looked cold. */
	readonly expectedSlowdown: number | undefined;
};

/** Number of answers over which the peers' slowdown is averaged. */
const peerSamples = 128;
/** Cap on the slowdown that one answer adds to the peers' average. */
const maxPeerRatio = 3;
const zeroCusum: Cusum = {slow: 0, recovered: 0};

export class ColdEvidence {
	readonly #cusums = new Map<string, Cusum>();
	/** Recent latency of all servers, as a multiple of each server's baseline. */
	#peerSlowdown = 1;

	constructor(private readonly policy: BalancePolicy) {}

	/** Adds the latency of an answer, or of a request that was cancelled before its answer. */
	record(
		server: string,
		{outcome, baselineMs, expectedSlowdown}: Observation,
	): void {
		const {kind, latencyMs} = outcome;
		if (baselineMs === 0 || (kind !== 'ran' && kind !== 'cancelled')) {
			return;
		}

		const slowdown = latencyMs / baselineMs;
		const answered = kind === 'ran';
		if (answered) {
			const capped = Math.min(slowdown, maxPeerRatio);
			this.#peerSlowdown += (capped - this.#peerSlowdown) / peerSamples;
		}

		const latency = {ratio: slowdown / this.#peerSlowdown, whole: answered};
		const cusum = this.#cusums.get(server) ?? zeroCusum;
		this.#cusums.set(
			server,
			addAnswer(cusum, latency, expectedSlowdown, this.policy),
		);
	}

	/** Removes and returns the evidence that is strong enough to report to the servers' homes. */
	take(): readonly Evidence[] {
		const reports: Evidence[] = [];
		for (const [backendServer, {slow, recovered}] of this.#cusums) {
			if (Math.max(slow, recovered) >= this.policy.reportScore) {
				const score = slow >= recovered ? slow : -recovered;
				reports.push({backendServer, score});
				this.#cusums.delete(backendServer);
			}
		}

		return reports;
	}

	/** Discards the evidence on a server because its ramp changed or the server is gone. */
	forget(server: string): void {
		this.#cusums.delete(server);
	}
}
