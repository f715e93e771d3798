/** How a request to a backend server ended, as far as balancing is concerned. */
import {type Millis} from '../time/clock.js';

/**
 * `ran`: answered. `failed`: answered with a server error. `cold`: the server
 * answered that it is still starting. `shed`: the server refused the request because
 * of its load. `cut`: the connection broke or no answer came. `cancelled`: the daemon
 * gave up on the request, for example on the loser of a hedge.
 */
export type OutcomeKind =
	'ran' | 'failed' | 'cold' | 'shed' | 'cut' | 'cancelled';

/** One ended request. */
export type Outcome = {
	readonly kind: OutcomeKind;
	/** Time from sending to the head of the answer, or to the end if there was no answer. */
	readonly latencyMs: Millis;
};
