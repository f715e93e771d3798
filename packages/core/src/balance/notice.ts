/** Changes in balancing that operators should see, each logged as one line. */
import {type Millis} from '../time/clock.js';

/** A change of one server's share of the requests. */
export type Notice =
	| {
			readonly kind: 'ejected';
			readonly backendServer: string;
			readonly forMs: Millis;
			readonly failures: number;
	  }
	| {
			readonly kind: 'ramping';
			readonly backendServer: string;
			readonly cause: RampCause;
	  }
	| {readonly kind: 'ramped'; readonly backendServer: string}
	/** The server reports that it is draining. */
	| {readonly kind: 'draining'; readonly backendServer: string};

/** Why a server's ramp started. */
export type RampCause =
	| 'new'
	| 'restarted'
	| 'reported-cold'
	| 'answered-cold'
	| 'looks-cold'
	| 'returned'
	| 'was-ejected';
