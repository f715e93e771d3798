/**
 * Power of two choices: of two servers drawn at random, chooses the one where a
 * request should finish sooner, estimated from this daemon's requests in flight and
 * the server's decayed latency. The load that the server reports only adds to the
 * number of requests, as a hint; it never replaces this daemon's own count.
 */
import {type Random} from '../chance/random.js';
import {type Millis} from '../time/clock.js';
import {Balancer, type Candidate} from './balancer.js';
import {currentLatencyMs, currentOthersInFlight, type Gauge} from './gauge.js';
import {type BalancePolicy} from './policy.js';

export class TwoChoices extends Balancer {
	constructor(
		private readonly random: Random,
		private readonly policy: BalancePolicy,
	) {
		super();
	}

	override choose(candidates: readonly Candidate[], now: Millis): Candidate {
		const count = candidates.length;
		const first = this.random.below(count);
		if (count === 1) {
			return candidates[first];
		}

		const second = (first + 1 + this.random.below(count - 1)) % count;
		const a = candidates[first];
		const b = candidates[second];
		return this.#cost(a.gauge, now) <= this.#cost(b.gauge, now) ? a : b;
	}

	/** Estimated time until one more request would finish, in ms. */
	#cost(gauge: Gauge, now: Millis): number {
		const ahead =
			gauge.inFlight + currentOthersInFlight(gauge, now, this.policy);
		return (ahead + 1) * currentLatencyMs(gauge, now, this.policy);
	}
}
