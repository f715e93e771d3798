/** Chooses the servers in turn, regardless of load and latency. A baseline for comparison. */
import {Balancer, type Candidate} from './balancer.js';

export class RoundRobin extends Balancer {
	#nextTurn: number;

	constructor(firstTurn = 0) {
		super();
		this.#nextTurn = firstTurn;
	}

	override choose(candidates: readonly Candidate[]): Candidate {
		return candidates[this.#nextTurn++ % candidates.length];
	}
}
