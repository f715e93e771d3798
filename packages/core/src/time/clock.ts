/**
 * The system's access to time: in milliseconds, from a monotonic clock for
 * durations. Pure code takes readings as numbers; only tasks hold a clock.
 */
import {RepeatingTasks} from './repeating-tasks.js';

/** Milliseconds: a duration, or a reading of a monotonic clock. */
export type Millis = number;

/** Cancels a pending timer; does nothing once the timer has fired. */
export type Cancel = () => void;

/** The only source of time. The only implementation that reads the system's clock is `SystemClock`. */
export abstract class Clock {
	readonly #tasks = new RepeatingTasks(this);

	/** Resolves `ms` from now. */
	async sleep(ms: Millis): Promise<void> {
		return new Promise((resolve) => {
			this.after(ms, resolve);
		});
	}

	/**
	 * Calls `act` about every `ms` until cancelled, together with other repeated calls
	 * where possible. A slow call delays the next one and never adds an extra one.
	 */
	repeat(ms: Millis, act: () => void): Cancel {
		return this.#tasks.add(ms, act);
	}

	/** A monotonic reading in ms, counted from an arbitrary origin. */
	abstract now(): Millis;

	/** Milliseconds since the Unix epoch, for logs and for people; never for durations. */
	abstract wall(): Millis;

	/** Calls `act` once, `ms` from now. */
	abstract after(ms: Millis, act: () => void): Cancel;
}
