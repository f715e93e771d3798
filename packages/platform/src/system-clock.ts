/** The only place that reads the system's clocks and sets timers. */
import {Clock, type Cancel, type Millis} from '@kingcuproute/core';

/** The longest timer that Node.js can set; a longer one would fire at once. */
const maxTimerMs: Millis = 2 ** 31 - 1;

/** Uses `performance.now`, which never goes backwards and keeps counting while the process is stopped. */
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
