import {Clock, type Cancel, type Millis} from '@kingcuproute/core';

/** Turns of the event loop in which all work that waits for no timer is done. */
const turns = 20;

/** Lets all work finish that waits for no timer. */
async function runPendingWork(): Promise<void> {
	for (let turn = 0; turn < turns; turn++) {
		await new Promise(setImmediate);
	}
}

/** A clock whose time the test advances; timers fire in the order of their times. */
export class ManualClock extends Clock {
	#now: Millis = 0;
	#pending: ReadonlyArray<readonly [Millis, () => void]> = [];

	override now(): Millis {
		return this.#now;
	}

	override wall(): Millis {
		return this.#now;
	}

	override after(ms: Millis, act: () => void): Cancel {
		const timer = [this.#now + ms, act] as const;
		this.#pending = [...this.#pending, timer];
		return () => {
			this.#pending = this.#pending.filter((each) => each !== timer);
		};
	}

	/** Advances the time by `ms`. Pending work, and the work that a timer starts, finishes before the next timer fires. */
	async advance(ms: Millis): Promise<void> {
		const end = this.#now + ms;
		await runPendingWork();
		for (;;) {
			const [next] = this.#pending.toSorted(([a], [b]) => a - b);
			if (!next || next[0] > end) {
				this.#now = end;
				return;
			}

			this.#pending = this.#pending.filter((each) => each !== next);
			[this.#now] = next;
			next[1]();
			await runPendingWork();
		}
	}
}
