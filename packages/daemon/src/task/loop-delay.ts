/**
 * Watches how late timers fire, which is how long anything that arrives waits for the
 * process: it computes, or its VM gives it no processor time. Logs each span of delays.
 */
import {type Cancel, type Clock, type Millis} from '@kingcuproute/core';
import {type Log} from '../log/log.js';

const tickMs: Millis = 200;
/** Shorter delays are usual on a VM with a fraction of a core. */
const minDelayMs: Millis = 250;

export class LoopDelay {
	static watch(clock: Clock, log: Log): LoopDelay {
		return new LoopDelay(clock, log);
	}

	#cancel: Cancel | undefined;

	private constructor(
		private readonly clock: Clock,
		private readonly log: Log,
	) {
		this.#schedule();
	}

	stop(): void {
		this.#cancel?.();
	}

	#schedule(): void {
		const due = this.clock.now() + tickMs;
		this.#cancel = this.clock.after(tickMs, () => {
			const delayMs = Math.round(this.clock.now() - due);
			if (delayMs >= minDelayMs) {
				this.log.warn('loop-delayed', {delayMs});
			}

			this.#schedule();
		});
	}
}
