/** The one place that reads the system's clock and sets its timers. */
import {Clock, type Cancel, type Millis} from '@kingcuproute/core';

/** A timer beyond this would fire at once. */
const maxTimerMs: Millis = 2 ** 31 - 1;

/** Readings of `performance.now`, which does not go back; it goes on while the process is stopped. */
export class SystemClock extends Clock {
	override now(): Millis {
		return performance.now();
	}

	override wall(): Millis {
		return Date.now();
	}

	override after(ms: Millis, act: () => void): Cancel {
		const end = this.now() + ms;
		let timer: NodeJS.Timeout;
		const wait = () => {
			const leftMs = end - this.now();
			timer =
				leftMs > maxTimerMs
					? setTimeout(wait, maxTimerMs)
					: setTimeout(act, leftMs);
		};

		wait();
		return () => {
			clearTimeout(timer);
		};
	}
}
