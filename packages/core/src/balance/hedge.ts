/**
 * Hedging of idempotent requests: if no answer has come after a high percentile of
 * recent latencies, a second attempt may start on another server, within a budget that
 * answers refill. A mutable object, because it takes a sample for every request.
 */
import {type Millis} from '../time/clock.js';
import {type BalancePolicy} from './policy.js';

const sampleLen = 256;
const refreshSamples = 32;
const minSamples = 32;

export class Hedge {
	#samples: Millis[] = [];
	#nextIndex = 0;
	#sampleCount = 0;
	#delayMs: Millis | undefined;
	#tokens = 0;

	constructor(private readonly policy: BalancePolicy) {}

	/** Adds the latency of one answered request, and refills the budget. */
	addSample(latencyMs: Millis): void {
		this.#samples[this.#nextIndex] = latencyMs;
		this.#nextIndex = (this.#nextIndex + 1) % sampleLen;
		this.#sampleCount++;
		this.#tokens = Math.min(
			this.policy.hedgeBurst,
			this.#tokens + this.policy.hedgeShare,
		);
		if (this.#sampleCount % refreshSamples === 0) {
			this.#refresh();
		}
	}

	/** How long to wait for an answer before hedging; undefined without enough samples or budget. */
	delay(): Millis | undefined {
		return this.#tokens >= 1 ? this.#delayMs : undefined;
	}

	/** Takes one hedge from the budget; returns false if the budget is empty. */
	spend(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}

	#refresh(): void {
		if (this.#samples.length < minSamples) {
			return;
		}

		const sorted = this.#samples.toSorted((a, b) => a - b);
		const index = Math.floor(sorted.length * this.policy.hedgePercentile);
		this.#delayMs = sorted[Math.min(index, sorted.length - 1)];
	}
}
