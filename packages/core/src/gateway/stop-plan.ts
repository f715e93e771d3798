/**
 * Which requests a daemon still takes while it stops. Answers the load of a planned stop:
 * callers come until the load balancer has noticed, and kept connections bring requests
 * until they are closed. A request that could be cut by the end of the process is refused
 * before it runs, so that its caller sends it to another daemon at once.
 */
import {type Millis} from '../time/clock.js';

export type StopPlan = {
	/** Until then the load balancer may not have noticed the stop. */
	readonly noticedBy: Millis;
	/** When the process ends. */
	readonly endsAt: Millis;
};

/** Whether to take a request that arrives at `now` and may be in progress until `until`. */
export function takesRequest(
	{noticedBy, endsAt}: StopPlan,
	until: Millis,
	now: Millis,
): boolean {
	return now < noticedBy || until <= endsAt;
}
