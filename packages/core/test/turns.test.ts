import test from 'ava';
import fc from 'fast-check';
import {Clock, type Cancel, type Millis} from '../src/index.js';

type Timer = {readonly at: Millis; readonly act: () => void};

/** A clock that `run` advances. It fires timers in order of time, some of them late, and counts them. */
class ManualClock extends Clock {
	firedCount = 0;
	#now = 0;
	#timers: Timer[] = [];

	override now(): Millis {
		return this.#now;
	}

	override wall(): Millis {
		return this.#now;
	}

	override after(ms: Millis, act: () => void): Cancel {
		const timer = {at: this.#now + ms, act};
		this.#timers.push(timer);
		return () => {
			this.#timers = this.#timers.filter((each) => each !== timer);
		};
	}

	/** Runs until `endMs`, with each timer late by 0, half of `lateMs` or `lateMs`. */
	run(endMs: Millis, lateMs: Millis): void {
		for (;;) {
			const [timer] = this.#timers.toSorted((a, b) => a.at - b.at);
			if (!timer || timer.at > endMs) {
				this.#now = endMs;
				return;
			}

			this.#timers = this.#timers.filter((each) => each !== timer);
			this.#now =
				Math.max(this.#now, timer.at) + lateMs * ((this.firedCount % 3) / 2);
			this.firedCount++;
			timer.act();
		}
	}
}

const periods = fc.array(fc.integer({min: 4, max: 500}), {
	minLength: 1,
	maxLength: 8,
});

test('each task keeps near its period, whatever else is repeated and however late the timers are', (t) => {
	fc.assert(
		fc.property(periods, fc.integer({min: 0, max: 20}), (all, lateMs) => {
			const clock = new ManualClock();
			const times = all.map((ms) => {
				const calls = [clock.now()];
				clock.repeat(ms, () => calls.push(clock.now()));
				return calls;
			});
			clock.run(3000, lateMs);
			return times.every((calls, index) =>
				calls.slice(1).every((at, call) => {
					const gap = at - calls[call];
					const ms = all[index];
					return gap >= ms / 4 && gap <= ms * 1.5 + lateMs;
				}),
			);
		}),
	);
	t.pass();
});

test('tasks keep their rate on timers that are not late', (t) => {
	fc.assert(
		fc.property(periods, (all) => {
			const clock = new ManualClock();
			const counts = all.map(() => 0);
			for (const [index, ms] of all.entries()) {
				clock.repeat(ms, () => {
					counts[index]++;
				});
			}

			clock.run(5000, 0);
			return counts.every(
				(count, index) => Math.abs(count - 5000 / all[index]) <= 1,
			);
		}),
	);
	t.pass();
});

test('tasks that can run together wake the process once', (t) => {
	const clock = new ManualClock();
	for (const ms of [40, 40, 100, 100, 200, 200]) {
		clock.repeat(ms, () => undefined);
	}

	clock.run(10_000, 0);
	t.is(clock.firedCount, 300);
});

test('a cancelled task is not called again, even if another task cancels it at the same time', (t) => {
	const clock = new ManualClock();
	let calls = 0;
	const cancels: Cancel[] = [];
	clock.repeat(40, () => {
		for (const cancel of cancels) {
			cancel();
		}
	});
	cancels.push(
		clock.repeat(40, () => {
			calls++;
		}),
	);
	clock.run(1000, 0);
	t.is(calls, 0);
});
