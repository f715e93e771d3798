/** Strategies for choosing among servers that all have room for one more request. */
import {type BackendServer} from '../config/backend-server.js';
import {type Millis} from '../time/clock.js';
import {type Gauge} from './gauge.js';

/** A server and this daemon's gauge of it. */
export type Candidate = {
	readonly server: BackendServer;
	readonly gauge: Gauge;
};

/** A load balancing strategy. */
export abstract class Balancer {
	/** Returns one of `candidates`, which must not be empty. */
	abstract choose(candidates: readonly Candidate[], now: Millis): Candidate;
}
