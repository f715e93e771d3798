/**
 * The tasks that one clock repeats, on a single timer. Tasks that are due within a
 * few ms of each other run together, so that an idle process wakes up less often and
 * the messages they send to one peer leave together.
 */
import {type Cancel, type Clock, type Millis} from './clock.js';

/** How early a task may run, in ms; but at most a quarter of its period. */
const slackMs: Millis = 5;

type RepeatingTask = {
	readonly ms: Millis;
	readonly act: () => void;
	dueAt: Millis;
};

export class RepeatingTasks {
	readonly #tasks = new Set<RepeatingTask>();
	#timerAt = Infinity;
	#cancelTimer: Cancel | undefined;

	constructor(private readonly clock: Clock) {}

	/**
	 * Calls `act` every `ms`, near whole multiples of that period on the clock, so
	 * that tasks that can run together do. Two calls are at least a quarter of a period
	 * and at most one and a half periods apart, apart from delays of the timer.
	 */
	add(ms: Millis, act: () => void): Cancel {
		const task = {ms, act, dueAt: this.#next(ms)};
		this.#tasks.add(task);
		this.#schedule();
		return () => {
			this.#tasks.delete(task);
			this.#schedule();
		};
	}

	#next(ms: Millis): Millis {
		return (Math.round(this.clock.now() / ms) + 1) * ms;
	}

	#schedule(): void {
		const nextAt = Math.min(...[...this.#tasks].map((task) => task.dueAt));
		if (nextAt === this.#timerAt) {
			return;
		}

		this.#cancelTimer?.();
		this.#timerAt = nextAt;
		if (nextAt < Infinity) {
			this.#cancelTimer = this.clock.after(
				Math.max(0, nextAt - this.clock.now()),
				() => {
					this.#runDue();
				},
			);
		}
	}

	#runDue(): void {
		this.#timerAt = Infinity;
		const now = this.clock.now();
		const due = [...this.#tasks].filter(
			(task) => task.dueAt - Math.min(slackMs, task.ms / 4) <= now,
		);
		for (const task of due) {
			task.dueAt = this.#next(task.ms);
		}

		this.#schedule();
		for (const task of due) {
			if (this.#tasks.has(task)) {
				task.act();
			}
		}
	}
}
