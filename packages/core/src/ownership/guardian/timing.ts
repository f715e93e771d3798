/** The durations that exclusive ownership depends on, in ms, and the allowance for clock drift. */
import {type Millis} from '../../time/clock.js';

/** The largest difference in rate between two clocks, as a share. */
const maxClockDrift = 1 / 1000;

/** Durations of one fleet; every daemon uses the same. */
export type Timing = {
	/** Length of a lease, counted from the reading of the server's clock that it is based on. */
	readonly leaseMs: Millis;
	readonly renewMs: Millis;
	/** Added to every wait that depends on another machine's clock. */
	readonly marginMs: Millis;
	/** How long after the reading it is based on an order may be accepted; at most `leaseMs`. */
	readonly validMs: Millis;
	/** Time without a message after which a daemon counts as lost. */
	readonly silenceMs: Millis;
	/** How long a loan of permission lasts, for servers that check no fence. */
	readonly loanMs: Millis;
};

/** The longest time on this clock that `ms` on another clock can take, plus the margin. */
export function maxLocalMs(ms: Millis, {marginMs}: Timing): Millis {
	return ms * (1 + maxClockDrift) + marginMs;
}
