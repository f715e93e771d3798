/** Chooses the server with the fewest requests in flight from this daemon, at random among equals. A baseline for comparison. */
import {type Random} from '../chance/random.js';
import {Balancer, type Candidate} from './balancer.js';

export class LeastInFlight extends Balancer {
	constructor(private readonly random: Random) {
		super();
	}

	override choose(candidates: readonly Candidate[]): Candidate {
		const fewest = Math.min(...candidates.map(({gauge}) => gauge.inFlight));
		return this.random.pick(
			candidates.filter(({gauge}) => gauge.inFlight === fewest),
		)!;
	}
}
